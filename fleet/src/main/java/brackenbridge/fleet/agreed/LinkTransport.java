package brackenbridge.fleet.agreed;

import brackenbridge.fleet.peer.MemberStatus;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import io.microraft.RaftEndpoint;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;

/** Sends the Raft library's messages over the links of the fleet. */
final class LinkTransport implements Transport {
    private final PeerLinks links;

    LinkTransport(PeerLinks links) {
        this.links = links;
    }

    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
        links.send(((VoterEndpoint) target).name(), MessageStream.AGREED, AgreementCodec.frame(message));
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return links.status(((VoterEndpoint) endpoint).name()) != MemberStatus.DEAD;
    }
}

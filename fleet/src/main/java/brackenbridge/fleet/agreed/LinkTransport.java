package brackenbridge.fleet.agreed;

import brackenbridge.fleet.peer.Links;
import brackenbridge.fleet.peer.Standing;
import brackenbridge.fleet.peer.Stream;
import io.microraft.RaftEndpoint;
import io.microraft.model.message.RaftMessage;
import io.microraft.transport.Transport;

/** The Raft library's messages over the links of the fleet. */
final class LinkTransport implements Transport {
    private final Links links;

    LinkTransport(Links links) {
        this.links = links;
    }

    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
        links.send(((Endpoint) target).name(), Stream.AGREED, Codec.frame(message));
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return links.standing(((Endpoint) endpoint).name()) != Standing.GONE;
    }
}

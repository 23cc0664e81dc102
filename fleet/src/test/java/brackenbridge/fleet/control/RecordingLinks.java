package brackenbridge.fleet.control;

import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.MemberStatus;
import brackenbridge.fleet.peer.MessageStream;
import brackenbridge.fleet.peer.PeerLinks;
import java.util.List;

/** Links to one peer that record the last sent message and the receiver. */
final class RecordingLinks implements PeerLinks {
    byte[] sent;
    Receiver receiver;

    @Override
    public Member self() {
        return new Member("c1", "127.0.0.1:1", "z1");
    }

    @Override
    public long incarnation() {
        return 1;
    }

    @Override
    public List<Member> peers() {
        return List.of(new Member("c2", "127.0.0.1:2", "z2"));
    }

    @Override
    public MemberStatus status(String peer) {
        return MemberStatus.ALIVE;
    }

    @Override
    public boolean send(String peer, MessageStream stream, byte[] body) {
        sent = body;
        return true;
    }

    @Override
    public void setReceiver(MessageStream stream, Receiver newReceiver) {
        receiver = newReceiver;
    }

    @Override
    public void addWatcher(Watcher watcher) {
        // Statuses never change.
    }

    @Override
    public void start() {
        // Nothing to open.
    }

    @Override
    public void close() {
        // Nothing to close.
    }
}

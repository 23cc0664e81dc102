package brackenbridge.fleet.peer;

import java.util.List;

/**
 * A member's links to all other members. Messages between two members may be lost, delayed and, across a reconnect,
 * duplicated or reordered; those that arrive are complete and unchanged. Sending never blocks.
 */
public interface PeerLinks extends AutoCloseable {
    /** Receives messages of peers; called sequentially per peer, on that peer's reading thread. */
    @FunctionalInterface
    interface Receiver {
        /**
         * Called for each message.
         *
         * @param peer the sender
         * @param incarnation the sender's incarnation
         * @param body the message; the receiver may keep it
         */
        void onMessage(String peer, long incarnation, byte[] body);
    }

    /** Notified of each change of a peer's status. */
    @FunctionalInterface
    interface Watcher {
        /** Called after the peer's status has changed. */
        void onStatus(String peer, MemberStatus status, long incarnation);
    }

    /** This member. */
    Member self();

    /** This member's incarnation: grows with each start. */
    long incarnation();

    /** The other members, configured at the start or joined since. */
    List<Member> peers();

    /** The peer's status in this member's view. */
    MemberStatus status(String peer);

    /** Queues a message; returns false, without queuing it, if the peer is not connected or its queue is full. */
    boolean send(String peer, MessageStream stream, byte[] body);

    /** Sets the receiver of this stream's messages. Must be called before {@link #start}. */
    void setReceiver(MessageStream stream, Receiver receiver);

    /** Adds a watcher of peer statuses. Must be called before {@link #start}. */
    void addWatcher(Watcher watcher);

    /** Starts to listen and to connect to peers. */
    void start() throws java.io.IOException;

    @Override
    void close();
}

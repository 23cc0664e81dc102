package brackenbridge.fleet.peer;

import java.util.List;

/**
 * A member's links to all the others. Messages between two members may be lost, late and, over a broken link, repeated
 * or out of order; those that arrive are whole and unchanged. Sending never blocks.
 */
public interface PeerLinks extends AutoCloseable {
    /** Receives messages of peers; called on that peer's own thread, one message after another. */
    @FunctionalInterface
    interface Receiver {
        /**
         * A message has come.
         *
         * @param peer who sent it
         * @param incarnation the sender's life
         * @param body the message; the receiver may keep it
         */
        void onMessage(String peer, long incarnation, byte[] body);
    }

    /** Is notified of each change of a peer's status. */
    @FunctionalInterface
    interface Watcher {
        /** The peer's status has changed. */
        void onStatus(String peer, MemberStatus status, long incarnation);
    }

    /** This member. */
    Member self();

    /** This member's life: greater at each start. */
    long incarnation();

    /** The other members, as they are configured or have joined. */
    List<Member> peers();

    /** The peer's status as this member holds it. */
    MemberStatus status(String peer);

    /** Queues a message; false if there is no link to this peer or its queue is full: nothing was taken then. */
    boolean send(String peer, MessageStream stream, byte[] body);

    /** Sets the receiver of this stream's messages; before {@link #start}. */
    void setReceiver(MessageStream stream, Receiver receiver);

    /** Adds a watcher of statuses; before {@link #start}. */
    void addWatcher(Watcher watcher);

    /** Begins to listen and to link. */
    void start() throws java.io.IOException;

    @Override
    void close();
}

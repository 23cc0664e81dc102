package brackenbridge.fleet.peer;

import java.util.List;

/**
 * A member's links to all the others. Messages between two members may be lost, late and, over a broken link, repeated
 * or out of order; those that arrive are whole and unchanged. Sending never blocks.
 */
public interface PeerLinks extends AutoCloseable {
    /** Takes what a peer has sent; called on that peer's own thread, one message after another. */
    @FunctionalInterface
    interface Receiver {
        /**
         * A message has come.
         *
         * @param peer who sent it
         * @param life the sender's life
         * @param body the message; the receiver may keep it
         */
        void took(String peer, long life, byte[] body);
    }

    /** Hears of each change of a peer's standing. */
    @FunctionalInterface
    interface Watcher {
        /** The peer's standing is another from now on. */
        void changed(String peer, MemberStatus standing, long life);
    }

    /** This member. */
    Member me();

    /** This member's life: greater at each start. */
    long life();

    /** The other members, as they are configured or have joined. */
    List<Member> peers();

    /** What is held of this peer's life. */
    MemberStatus standing(String peer);

    /** Queues a message; false if there is no link to this peer or its queue is full: nothing was taken then. */
    boolean send(String peer, MessageStream stream, byte[] body);

    /** Who takes this stream's messages; before {@link #start}. */
    void receive(MessageStream stream, Receiver receiver);

    /** Who hears of standings; before {@link #start}. */
    void watch(Watcher watcher);

    /** Begins to listen and to link. */
    void start() throws java.io.IOException;

    @Override
    void close();
}

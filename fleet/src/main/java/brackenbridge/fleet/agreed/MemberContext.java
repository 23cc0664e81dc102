package brackenbridge.fleet.agreed;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.peer.PeerLinks;

/**
 * What the parts of one member share.
 *
 * @param name the member's name
 * @param processLife tells this process from others of the same member; unchanged if the links take a later life
 * @param clock the member's clock
 * @param settings the same at all members, but for the seed
 * @param links the links to the other members
 * @param thread the one thread on which all parts run
 * @param counters the member's metrics
 * @param alarm what is wrong, for operators
 * @param sender sends a message to a member, this one included
 */
record MemberContext(
        String name,
        long incarnation,
        Clock clock,
        AgreedSettings settings,
        PeerLinks links,
        MemberThread thread,
        AgreementCounters counters,
        MemberAlarm alarm,
        MessageSender sender) {

    /** Sends messages to members by name. */
    @FunctionalInterface
    interface MessageSender {
        /** Sends a message; it may be lost, delayed or repeated. */
        void send(String peer, AgreementMessage message);
    }

    /** The member's time, in milliseconds. */
    double nowMs() {
        return clock.nowMs();
    }

    void send(String peer, AgreementMessage message) {
        sender.send(peer, message);
    }

    /** Runs an event on the member's thread, behind all that waits already. */
    void execute(Runnable event) {
        thread.execute(event);
    }

    /** Sends a message to all other members. */
    void broadcast(AgreementMessage message) {
        links.peers().forEach(peer -> send(peer.name(), message));
    }

    boolean isVoter() {
        return settings.voters().contains(name);
    }
}

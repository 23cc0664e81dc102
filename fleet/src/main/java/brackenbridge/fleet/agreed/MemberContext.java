package brackenbridge.fleet.agreed;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.peer.PeerLinks;

/**
 * Dependencies shared by the components of one member.
 *
 * @param name the member's name
 * @param incarnation distinguishes this process from others of the same member; unchanged if the links take a later
 *     incarnation
 * @param clock the member's clock
 * @param settings the same at all members except for the seed
 * @param links the links to the other members
 * @param thread the only thread on which the components run
 * @param counters the member's metrics
 * @param alarm the member's alarm, for operators
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
        /** Sends a message; it may be lost, delayed or duplicated. */
        void send(String peer, AgreementMessage message);
    }

    /** The time of the member's clock, in milliseconds. */
    double nowMs() {
        return clock.nowMs();
    }

    void send(String peer, AgreementMessage message) {
        sender.send(peer, message);
    }

    /** Runs an event on the member's thread, after all queued events. */
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

package brackenbridge.fleet.peer;

import java.util.HashSet;
import java.util.Set;

/** The failure detector's state of one member. Times are milliseconds of the detector's clock. */
final class MemberState {
    /** A time before all others. */
    static final double NEVER = Double.NEGATIVE_INFINITY;
    /** Number of latest messages whose send times are kept. */
    private static final int SENT_WINDOW_MESSAGES = 256;

    final String name;
    /** Members that suspect this one at its present refutation number. */
    final Set<String> suspectedBy = new HashSet<>();
    /** Members that requested a probe of this one and wait for the reply. */
    final Set<String> probeRequesters = new HashSet<>();

    private final double[] sentAtMs = new double[SENT_WINDOW_MESSAGES];

    /** Whether any process of this name is known. */
    boolean known;

    MemberStatus status = MemberStatus.UNKNOWN;
    long incarnation;
    long instance;
    /** SWIM's incarnation number, counted within the present incarnation: grows with each refutation. */
    int refutationNumber;
    /** The refutation number at which the member was declared dead; -1 if none. */
    int deadRefutationNumber = -1;
    /** Whether it announced its shutdown. */
    boolean left;

    /** The latest time at which it is known to have been alive, by its own messages or gossip. */
    double lastAliveMs = NEVER;
    /** The latest time at which it is known to have been alive, by its own messages. */
    double lastDirectMs = NEVER;
    /** When its status, incarnation or refutation number last changed. */
    double changedMs = NEVER;
    /** When its present incarnation was first heard of. */
    double incarnationLearnedMs = NEVER;
    /** The part of its silence during which this process itself was paused or did not read. */
    double discountedMs;

    double discountedAtMs = NEVER;

    boolean connected;
    /** The instance number of the process at the other end of the connection. */
    long connectionInstance;

    double connectedAtMs;
    /** The sequence number of the last message sent on the connection. */
    int sentSequence;
    /** The greatest sequence number that the member has acknowledged, and when that message was sent. */
    int acknowledgedSequence;

    double acknowledgedSentAtMs;
    /** The sequence number of the last message received on the connection, and when it arrived. */
    int receivedSequence;

    double receivedAtMs;
    /** For how long this member's messages had been unacknowledged when the member sent its last one. */
    double unacknowledgedForMs;

    /** The helper that last reported this member alive: it is asked first. */
    String preferredHelper;
    /** Index in the member table at which the search for the next helper begins. */
    int nextHelperIndex;

    FailureDetector.Conflict conflict;
    double conflictMs = NEVER;
    long reportedInstance;

    MemberState(String name) {
        this.name = name;
    }

    /** A connection was established whose handshake began at {@code openedAtMs}. */
    void onConnected(double now, double openedAtMs, long connectedInstance) {
        connected = true;
        connectionInstance = connectedInstance;
        connectedAtMs = now;
        acknowledgedSequence = 0;
        acknowledgedSentAtMs = openedAtMs;
        sentSequence = 0;
        receivedSequence = 0;
        receivedAtMs = now;
        unacknowledgedForMs = 0;
    }

    void onDisconnected() {
        connected = false;
        unacknowledgedForMs = 0;
        probeRequesters.clear();
    }

    /** Assigns a sequence number to a message sent now. */
    int nextSequence(double now) {
        sentSequence++;
        sentAtMs[sentSequence % SENT_WINDOW_MESSAGES] = now;
        return sentSequence;
    }

    /**
     * A lower bound of the time at which this message was sent: the send time of our message that it acknowledges, plus
     * the delay of the acknowledgement.
     */
    double sendTimeLowerBound(double now, SwimMessage message) {
        int ackSequence = message.ackSequence();
        if (ackSequence > acknowledgedSequence && ackSequence <= sentSequence) {
            acknowledgedSentAtMs =
                    inWindow(ackSequence) ? sentAtMs[ackSequence % SENT_WINDOW_MESSAGES] : acknowledgedSentAtMs;
            acknowledgedSequence = ackSequence;
        }
        if (ackSequence == acknowledgedSequence) {
            return Math.min(now, acknowledgedSentAtMs + message.ackDelayMs());
        }
        // An outdated acknowledgement, or a number that was never sent: proves only that the connection existed.
        return Math.min(now, connectedAtMs);
    }

    /** Records the sequence number of a message received on the connection and sent at {@code sentMs}. */
    void onSequence(double now, int number, double sentMs) {
        if (number > receivedSequence) {
            receivedSequence = number;
            receivedAtMs = now;
            unacknowledgedForMs =
                    sentSequence == acknowledgedSequence ? 0 : Math.max(0, sentMs - firstUnacknowledgedSentAtMs());
        }
    }

    /** The send time of the first message that the member has not acknowledged. */
    private double firstUnacknowledgedSentAtMs() {
        int first = acknowledgedSequence + 1;
        return inWindow(first) ? sentAtMs[first % SENT_WINDOW_MESSAGES] : acknowledgedSentAtMs;
    }

    private boolean inWindow(int number) {
        return number > sentSequence - SENT_WINDOW_MESSAGES;
    }

    /** Records that the member was alive at this time. */
    void recordAlive(double atMs) {
        if (atMs > lastAliveMs) {
            lastAliveMs = atMs;
            discountedMs = Math.min(discountedMs, Math.max(0, discountedAtMs - atMs));
        }
    }

    /** Records that the member itself sent a message at this time. */
    void recordDirectContact(double atMs) {
        recordAlive(atMs);
        lastDirectMs = Math.max(lastDirectMs, atMs);
    }

    /** Subtracts time from the member's silence during which this process itself was paused or did not read. */
    void discountSilence(double ms, double now) {
        discountedMs += ms;
        discountedAtMs = now;
    }

    /** For how long no member has heard from this one, less the discounted time. */
    double silenceMs(double now) {
        return Math.max(0, now - lastAliveMs - discountedMs);
    }

    /** A greater refutation number refutes earlier suspicions (SWIM, section 4.2). */
    void raiseRefutationNumber(double now, int number) {
        if (number > refutationNumber) {
            refutationNumber = number;
            suspectedBy.clear();
            changedMs = now;
        }
    }

    /** Resets the state for another process of the member. */
    void beginIncarnation(double now, long newIncarnation, long newInstance) {
        known = true;
        incarnation = newIncarnation;
        instance = newInstance;
        refutationNumber = 0;
        deadRefutationNumber = -1;
        left = false;
        suspectedBy.clear();
        incarnationLearnedMs = now;
        changedMs = now;
        lastAliveMs = NEVER;
        lastDirectMs = NEVER;
        discountedMs = 0;
        conflictMs = NEVER;
    }

    /** The gossip entry about this member. */
    SwimMessage.Entry toEntry(double now) {
        double ageMs = lastAliveMs == NEVER ? -1 : now - lastAliveMs;
        return new SwimMessage.Entry(name, incarnation, instance, refutationNumber, status, left, ageMs);
    }
}

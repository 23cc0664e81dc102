package brackenbridge.fleet.peer;

import java.util.HashSet;
import java.util.Set;

/** What the failure detector holds of one member. Times are milliseconds of the detector's clock. */
final class MemberState {
    /** Stands for a time before all others. */
    static final double NEVER = Double.NEGATIVE_INFINITY;
    /** Of so many messages the times of sending are kept, the latest ones. */
    private static final int SENT_WINDOW_MESSAGES = 256;

    final String name;
    /** Members that suspect this one too, in its present incarnation. */
    final Set<String> suspectedBy = new HashSet<>();
    /** Members that have asked for a probe of this one and wait for the answer. */
    final Set<String> probeRequesters = new HashSet<>();

    private final double[] sentAtMs = new double[SENT_WINDOW_MESSAGES];

    /** Whether any process of this name was heard of. */
    boolean known;

    MemberStatus status = MemberStatus.UNKNOWN;
    long incarnation;
    long instance;
    /** SWIM's incarnation number within this life: greater after each refutation. */
    int refutationNumber;
    /** The incarnation that was declared dead; -1 if none. */
    int deadRefutationNumber = -1;
    /** Whether it has said farewell. */
    boolean left;

    /** When it was last surely alive, by its own word or that of others. */
    double lastAliveMs = NEVER;
    /** When it was last surely alive, by its own word. */
    double lastDirectMs = NEVER;
    /** When its status, life or incarnation last changed. */
    double changedMs = NEVER;
    /** When its present life was first heard of. */
    double incarnationLearnedMs = NEVER;
    /** The part of its silence during which this member itself did not run or read. */
    double discountedMs;

    double discountedAtMs = NEVER;

    boolean connected;
    /** The process at the other end of the connection. */
    long connectionInstance;

    double connectedAtMs;
    /** The number of the last message sent over the connection. */
    int sentSequence;
    /** The greatest of these numbers that the member has acknowledged, and when it was sent. */
    int acknowledgedSequence;

    double acknowledgedSentAtMs;
    /** The number of the last message received over the connection, and when it came. */
    int receivedSequence;

    double receivedAtMs;
    /** For how long the member had not heard what it was sent, by its last message. */
    double unacknowledgedForMs;

    /** The member that last heard this silent one: it is asked first. */
    String preferredHelper;
    /** Where in the member table the next helper is looked for. */
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

    /** Numbers a message that is sent now. */
    int nextSequence(double now) {
        sentSequence++;
        sentAtMs[sentSequence % SENT_WINDOW_MESSAGES] = now;
        return sentSequence;
    }

    /**
     * A time no later than the sending of this message: that of our message which it acknowledges, and the time for
     * which the member has held the acknowledgement.
     */
    double sendTimeLowerBound(double now, SwimMessage message) {
        int echo = message.ackSequence();
        if (echo > acknowledgedSequence && echo <= sentSequence) {
            acknowledgedSentAtMs = inWindow(echo) ? sentAtMs[echo % SENT_WINDOW_MESSAGES] : acknowledgedSentAtMs;
            acknowledgedSequence = echo;
        }
        if (echo == acknowledgedSequence) {
            return Math.min(now, acknowledgedSentAtMs + message.ackDelayMs());
        }
        // One that was overtaken, or a number that was never sent: proves only that the connection was there.
        return Math.min(now, connectedAtMs);
    }

    /** Notes the number of a message that came over the connection and was sent at {@code sentMs}. */
    void onSequence(double now, int number, double sentMs) {
        if (number > receivedSequence) {
            receivedSequence = number;
            receivedAtMs = now;
            unacknowledgedForMs =
                    sentSequence == acknowledgedSequence ? 0 : Math.max(0, sentMs - firstUnacknowledgedSentAtMs());
        }
    }

    /** When the first message was sent that the member has not acknowledged. */
    private double firstUnacknowledgedSentAtMs() {
        int first = acknowledgedSequence + 1;
        return inWindow(first) ? sentAtMs[first % SENT_WINDOW_MESSAGES] : acknowledgedSentAtMs;
    }

    private boolean inWindow(int number) {
        return number > sentSequence - SENT_WINDOW_MESSAGES;
    }

    /** The member was surely alive at this time. */
    void recordAlive(double atMs) {
        if (atMs > lastAliveMs) {
            lastAliveMs = atMs;
            discountedMs = Math.min(discountedMs, Math.max(0, discountedAtMs - atMs));
        }
    }

    /** The member itself has sent something at this time. */
    void recordDirectContact(double atMs) {
        recordAlive(atMs);
        lastDirectMs = Math.max(lastDirectMs, atMs);
    }

    /** So much of the member's silence is this member's own fault. */
    void discountSilence(double ms, double now) {
        discountedMs += ms;
        discountedAtMs = now;
    }

    /** For how long nobody has heard the member, less what is excused. */
    double silenceMs(double now) {
        return Math.max(0, now - lastAliveMs - discountedMs);
    }

    /** A greater incarnation refutes suspicions of the earlier ones (SWIM, section 4.2). */
    void raiseRefutationNumber(double now, int heard) {
        if (heard > refutationNumber) {
            refutationNumber = heard;
            suspectedBy.clear();
            changedMs = now;
        }
    }

    /** Another process of the member, of which nothing is held yet. */
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

    /** As other members are told of it. */
    SwimMessage.Entry toEntry(double now) {
        double ageMs = lastAliveMs == NEVER ? -1 : now - lastAliveMs;
        return new SwimMessage.Entry(name, incarnation, instance, refutationNumber, status, left, ageMs);
    }
}

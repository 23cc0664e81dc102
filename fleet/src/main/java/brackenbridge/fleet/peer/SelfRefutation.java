package brackenbridge.fleet.peer;

/**
 * Handles gossip about this member itself. Refutes suspicions by a greater refutation number (SWIM, section 4.2), and
 * distinguishes ended processes of this member's name from a second one that is running.
 */
final class SelfRefutation {
    private final String self;
    private final long instance;
    private final MemberTable members;
    private long incarnation;
    private int refutationNumber;
    private double startedMs = MemberState.NEVER;
    private long endedIncarnation = Long.MIN_VALUE;
    private long reportedInstance;
    private long refutations;

    SelfRefutation(String self, long incarnation, long instance, MemberTable members) {
        this.self = self;
        this.incarnation = incarnation;
        this.instance = instance;
        this.members = members;
    }

    /** This member takes another incarnation. */
    void beginIncarnation(long nextIncarnation) {
        incarnation = nextIncarnation;
        refutationNumber = 0;
        reportedInstance = 0;
    }

    /** Records the time of the first call as the start of this member. */
    void onStarted(double now) {
        startedMs = startedMs == MemberState.NEVER ? now : startedMs;
    }

    /** Processes a peer's entry about this member, sent at this time. */
    void onEntry(double sentMs, SwimMessage.Entry entry) {
        if (entry.incarnation() > incarnation || entry.incarnation() == incarnation && entry.instance() != instance) {
            onOtherProcess(sentMs, entry);
            return;
        }
        boolean suspected = entry.status() == MemberStatus.SUSPECT || entry.status() == MemberStatus.DEAD;
        if (entry.incarnation() == incarnation
                && suspected
                && entry.refutationNumber() >= refutationNumber
                && entry.refutationNumber() < Integer.MAX_VALUE) {
            refutationNumber = entry.refutationNumber() + 1;
            refutations++;
        }
    }

    private void onOtherProcess(double sentMs, SwimMessage.Entry entry) {
        if (hasEnded(sentMs, entry)) {
            endedIncarnation = Math.max(endedIncarnation, entry.incarnation());
        } else if (reportedInstance != entry.instance()) {
            reportedInstance = entry.instance();
            members.addConflict(
                    new FailureDetector.Conflict(self, incarnation, instance, entry.incarnation(), entry.instance()));
        }
    }

    /** Whether the other process has ended, rather than running beside this one. */
    private boolean hasEnded(double sentMs, SwimMessage.Entry entry) {
        return entry.status() == MemberStatus.DEAD || entry.ageMs() >= 0 && sentMs - entry.ageMs() < startedMs;
    }

    /** See {@link FailureDetector#endedIncarnation}. */
    long endedIncarnation() {
        return endedIncarnation >= incarnation ? endedIncarnation : Long.MIN_VALUE;
    }

    /** This member's refutation number in its present incarnation. */
    int refutationNumber() {
        return refutationNumber;
    }

    /** The number of suspicions that this member has refuted. */
    long refutations() {
        return refutations;
    }
}

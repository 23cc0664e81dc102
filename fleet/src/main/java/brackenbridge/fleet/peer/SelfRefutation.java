package brackenbridge.fleet.peer;

/**
 * What peers hold of this member itself. Suspicions are refuted by a greater incarnation (SWIM, section 4.2); other
 * processes of this member's name are told apart into ended ones and a second one that lives.
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

    /** This member has taken another life. */
    void beginIncarnation(long nextIncarnation) {
        incarnation = nextIncarnation;
        refutationNumber = 0;
        reportedInstance = 0;
    }

    /** Notes the time of the first call as that of this member's start. */
    void onStarted(double now) {
        startedMs = startedMs == MemberState.NEVER ? now : startedMs;
    }

    /** A peer tells at this time what it holds of this member. */
    void onEntry(double at, SwimMessage.Entry entry) {
        if (entry.incarnation() > incarnation || entry.incarnation() == incarnation && entry.instance() != instance) {
            onOtherProcess(at, entry);
            return;
        }
        boolean doubted = entry.status() == MemberStatus.SUSPECT || entry.status() == MemberStatus.DEAD;
        if (entry.incarnation() == incarnation
                && doubted
                && entry.refutationNumber() >= refutationNumber
                && entry.refutationNumber() < Integer.MAX_VALUE) {
            refutationNumber = entry.refutationNumber() + 1;
            refutations++;
        }
    }

    private void onOtherProcess(double at, SwimMessage.Entry entry) {
        if (hasEnded(at, entry)) {
            endedIncarnation = Math.max(endedIncarnation, entry.incarnation());
        } else if (reportedInstance != entry.instance()) {
            reportedInstance = entry.instance();
            members.addConflict(
                    new FailureDetector.Conflict(self, incarnation, instance, entry.incarnation(), entry.instance()));
        }
    }

    /** Whether the other process is an earlier one, not a second one that lives. */
    private boolean hasEnded(double at, SwimMessage.Entry entry) {
        return entry.status() == MemberStatus.DEAD || entry.ageMs() >= 0 && at - entry.ageMs() < startedMs;
    }

    /** See {@link FailureDetector#endedIncarnation}. */
    long endedIncarnation() {
        return endedIncarnation >= incarnation ? endedIncarnation : Long.MIN_VALUE;
    }

    /** This member's incarnation number in its present life. */
    int refutationNumber() {
        return refutationNumber;
    }

    /** Suspicions of this member that it has refuted. */
    long refutations() {
        return refutations;
    }
}

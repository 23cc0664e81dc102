package brackenbridge.core.generation;

/**
 * The lease state of a node: which generations it may use, and until when. Immutable; each event returns a new value.
 *
 * <p>Guarantee: whether messages arrive late, twice or in any order, {@link #effectiveGenerations} includes a
 * generation that the authority still waits for. Assumptions: times are of one monotonic clock of this process, whose
 * rate error is at most {@link LeaseTerms#drift}; a restarted process uses an incarnation that was never used before.
 *
 * @param id the number of the node
 * @param incarnation the incarnation of its process
 * @param lastRequestNumber the number of its last lease request; 0 if there was none
 * @param lastRequestAtMs when it sent that request
 * @param decided the latest decision that it received
 * @param untilMs the end of the lease, until which it may use this decision
 * @param rejectedGeneration the generation that it can't use; 0 if none
 */
public record LeaseHolder(
        int id,
        long incarnation,
        long lastRequestNumber,
        double lastRequestAtMs,
        DecidedVersion decided,
        double untilMs,
        long rejectedGeneration) {
    /** Returns the state of a process that has just started: in doubt until it receives a grant. */
    public static LeaseHolder start(int id, long incarnation) {
        return new LeaseHolder(
                id, incarnation, 0, Double.NEGATIVE_INFINITY, DecidedVersion.NONE, Double.NEGATIVE_INFINITY, 0);
    }

    /**
     * Records that a request is being sent now, which is {@link #lastRequest}. Grants for earlier requests are ignored
     * from now on.
     */
    public LeaseHolder sendRequest(double nowMs) {
        return new LeaseHolder(id, incarnation, lastRequestNumber + 1, nowMs, decided, untilMs, rejectedGeneration);
    }

    /** Its last request. */
    public LeaseRequest lastRequest() {
        return new LeaseRequest(id, incarnation, lastRequestNumber, decided.version(), rejectedGeneration);
    }

    /** Records a grant. */
    public LeaseHolder onGrant(LeaseGrant grant) {
        // Guards against grants for another incarnation or an earlier request, whose lease began at another time, and
        // against superseded decisions, since the version that this holder has reported must remain valid.
        if (grant.incarnation() != incarnation
                || grant.requestNumber() != lastRequestNumber
                || grant.decided().version() < decided.version()) {
            return this;
        }
        return new LeaseHolder(
                id,
                incarnation,
                lastRequestNumber,
                lastRequestAtMs,
                grant.decided(),
                lastRequestAtMs + grant.leaseMs(),
                rejectedGeneration);
    }

    /** Records that this generation can't be used: its content is missing, unreadable or unsuitable. */
    public LeaseHolder rejectGeneration(long generation) {
        return new LeaseHolder(id, incarnation, lastRequestNumber, lastRequestAtMs, decided, untilMs, generation);
    }

    /**
     * Returns the generations that it may use now. Has to be called before each decision, whichever timer or grant
     * caused it.
     */
    public EffectiveGenerations effectiveGenerations(double nowMs) {
        if (!(nowMs < untilMs)
                || decided.inForce() == 0
                || rejectedGeneration != 0
                        && (rejectedGeneration == decided.inForce() || rejectedGeneration == decided.staged())) {
            return EffectiveGenerations.IN_DOUBT;
        }
        return decided.staged() == 0
                ? EffectiveGenerations.of(decided.inForce())
                : EffectiveGenerations.ofBoth(decided.inForce(), decided.staged());
    }
}

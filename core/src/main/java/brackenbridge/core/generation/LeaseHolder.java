package brackenbridge.core.generation;

/**
 * A node as lease holder: which generations it may use, and until when. Immutable; each event returns a new value.
 *
 * <p>Guarantee: whatever arrives, late, twice or in any order, {@link #effectiveVersions} obeys a generation that the
 * authority still waits for. Assumptions: times are of one clock of this process, which never goes back and whose rate
 * is off by {@link LeaseTerms#drift} at most; a process that restarts takes an incarnation that it never had.
 *
 * @param id its number
 * @param incarnation the incarnation of its process
 * @param lastRequestNumber the number of its last request; 0 if there was none
 * @param lastRequestAtMs when it sent that request
 * @param decided the latest decision that it received
 * @param untilMs until when it may use it
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
    /** A process that has just started: in doubt until it receives a grant. */
    public static LeaseHolder start(int id, long incarnation) {
        return new LeaseHolder(
                id, incarnation, 0, Double.NEGATIVE_INFINITY, DecidedVersion.NONE, Double.NEGATIVE_INFINITY, 0);
    }

    /**
     * It sends a request now, which is {@link #lastRequest}. Grants for earlier requests are ignored from now on.
     */
    public LeaseHolder sendRequest(double nowMs) {
        return new LeaseHolder(id, incarnation, lastRequestNumber + 1, nowMs, decided, untilMs, rejectedGeneration);
    }

    /** Its last request. */
    public LeaseRequest lastRequest() {
        return new LeaseRequest(id, incarnation, lastRequestNumber, decided.version(), rejectedGeneration);
    }

    /** A grant has arrived. */
    public LeaseHolder onGrant(LeaseGrant grant) {
        // Guards against grants for another incarnation or an older request, whose lease runs from another time, and
        // against superseded decisions: the version that this holder has reported must stay true.
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

    /** It can't use this generation: its content is absent, can't be read or doesn't fit. */
    public LeaseHolder rejectGeneration(long generation) {
        return new LeaseHolder(id, incarnation, lastRequestNumber, lastRequestAtMs, decided, untilMs, generation);
    }

    /** The generations that it may use now; to be called before each decision, whatever timer or grant led to it. */
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

package brackenbridge.core.generation;

/**
 * A node's side of the agreement: what it may act by, and until when. Immutable; each event makes another.
 *
 * <p>Promise: whatever arrives, late, twice or in any order, {@link #effectiveVersions} keeps to a generation that
 * the authority
 * still waits for. Assumed: the time given is of one clock of this process, which never goes back and whose rate is
 * off by {@link LeaseTerms#drift} at the most; a process that starts again takes a life that it never had.
 *
 * @param id who it is
 * @param incarnation which of its lives
 * @param lastRequestNumber the number of its last question; 0 if it has asked none
 * @param lastRequestAtMs when it asked that
 * @param decided the latest word that it was told
 * @param untilMs until when it may act by it
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
    /** A process that has just started: in doubt until it is told. */
    public static LeaseHolder start(int id, long life) {
        return new LeaseHolder(id, life, 0, Double.NEGATIVE_INFINITY, DecidedVersion.NONE, Double.NEGATIVE_INFINITY, 0);
    }

    /**
     * It asks now; {@link #lastRequest} is the question. An answer to an earlier one counts for nothing from here on.
     */
    public LeaseHolder sendRequest(double nowMs) {
        return new LeaseHolder(id, incarnation, lastRequestNumber + 1, nowMs, decided, untilMs, rejectedGeneration);
    }

    /** Its last question. */
    public LeaseRequest lastRequest() {
        return new LeaseRequest(id, incarnation, lastRequestNumber, decided.version(), rejectedGeneration);
    }

    /** An answer has come. */
    public LeaseHolder onGrant(LeaseGrant g) {
        // Guards against answers to another life or an older question, whose lease runs from another moment, and
        // against words that were overtaken: what this holder has said that it acts by must stay true.
        if (g.incarnation() != incarnation
                || g.requestNumber() != lastRequestNumber
                || g.decided().version() < decided.version()) {
            return this;
        }
        return new LeaseHolder(
                id,
                incarnation,
                lastRequestNumber,
                lastRequestAtMs,
                g.decided(),
                lastRequestAtMs + g.leaseMs(),
                rejectedGeneration);
    }

    /** It can't use this generation: its content is absent, can't be read or doesn't fit. */
    public LeaseHolder rejectGeneration(long generation) {
        return new LeaseHolder(id, incarnation, lastRequestNumber, lastRequestAtMs, decided, untilMs, generation);
    }

    /** What it may act by at this moment: to be asked before each decision, whatever timer or answer led to it. */
    public EffectiveVersions effectiveVersions(double nowMs) {
        if (!(nowMs < untilMs)
                || decided.inForce() == 0
                || rejectedGeneration != 0
                        && (rejectedGeneration == decided.inForce() || rejectedGeneration == decided.staged())) {
            return EffectiveVersions.IN_DOUBT;
        }
        return decided.staged() == 0
                ? EffectiveVersions.of(decided.inForce())
                : EffectiveVersions.ofBoth(decided.inForce(), decided.staged());
    }
}

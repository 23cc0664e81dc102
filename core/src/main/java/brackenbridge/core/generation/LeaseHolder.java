package brackenbridge.core.generation;

/**
 * A node's side of the agreement: what it may act by, and until when. Immutable; each event makes another.
 *
 * <p>Promise: whatever arrives, late, twice or in any order, {@link #acts} keeps to a generation that the authority
 * still waits for. Assumed: the time given is of one clock of this process, which never goes back and whose rate is
 * off by {@link LeaseTerms#drift} at the most; a process that starts again takes a life that it never had.
 *
 * @param id who it is
 * @param life which of its lives
 * @param asked the number of its last question; 0 if it has asked none
 * @param askedAtMs when it asked that
 * @param word the latest word that it was told
 * @param untilMs until when it may act by it
 * @param refused the generation that it can't use; 0 if none
 */
public record LeaseHolder(
        int id, long life, long asked, double askedAtMs, DecidedVersion word, double untilMs, long refused) {
    /** A process that has just started: in doubt until it is told. */
    public static LeaseHolder start(int id, long life) {
        return new LeaseHolder(id, life, 0, Double.NEGATIVE_INFINITY, DecidedVersion.NONE, Double.NEGATIVE_INFINITY, 0);
    }

    /** It asks now; {@link #ask} is the question. An answer to an earlier one counts for nothing from here on. */
    public LeaseHolder asks(double nowMs) {
        return new LeaseHolder(id, life, asked + 1, nowMs, word, untilMs, refused);
    }

    /** Its last question. */
    public LeaseRequest ask() {
        return new LeaseRequest(id, life, asked, word.version(), refused);
    }

    /** An answer has come. */
    public LeaseHolder told(LeaseGrant g) {
        // Guards against answers to another life or an older question, whose lease runs from another moment, and
        // against words that were overtaken: what this holder has said that it acts by must stay true.
        if (g.life() != life || g.number() != asked || g.word().version() < word.version()) {
            return this;
        }
        return new LeaseHolder(id, life, asked, askedAtMs, g.word(), askedAtMs + g.leaseMs(), refused);
    }

    /** It can't use this generation: its content is absent, can't be read or doesn't fit. */
    public LeaseHolder cannotUse(long generation) {
        return new LeaseHolder(id, life, asked, askedAtMs, word, untilMs, generation);
    }

    /** What it may act by at this moment: to be asked before each decision, whatever timer or answer led to it. */
    public EffectiveVersions acts(double nowMs) {
        if (!(nowMs < untilMs)
                || word.inForce() == 0
                || refused != 0 && (refused == word.inForce() || refused == word.staged())) {
            return EffectiveVersions.IN_DOUBT;
        }
        return word.staged() == 0
                ? EffectiveVersions.by(word.inForce())
                : EffectiveVersions.byBoth(word.inForce(), word.staged());
    }
}

package brackenbridge.core.generation;

import java.util.Map;
import java.util.TreeMap;

/**
 * The authority's side: it decides which generation is in force, and waits for all who may act by another.
 *
 * <p>Two phases. A proposal is staged: who hears of it keeps to both, the one in force and the one that is staged. Once
 * each holder has said that it has heard, or can no longer act by what it was told before, the staged one is in force.
 *
 * <p>Assumed: its word and {@code last} are durable before anyone is told of them; grants are given only by the one
 * authority that a majority follows at that moment; a new one, in another process or life, begins with {@link #start}.
 * Immutable; each event makes another.
 *
 * @param terms the terms of leases
 * @param word what is decided
 * @param last the last number that was given to a generation
 * @param settledMs until when holders that it knows nothing of may act by what an earlier authority told them
 * @param holders those that may act by what they were told
 */
public record LeaseAuthority(
        LeaseTerms terms, DecidedVersion word, long last, double settledMs, Map<Integer, Held> holders) {
    /**
     * A holder that was granted a lease.
     *
     * @param untilMs until when it may act by it, whatever its clock
     * @param heard the version that it acts by at the least
     */
    public record Held(double untilMs, long heard) {}

    /** What came of a proposal. */
    public enum Verdict {
        /** It is staged. */
        STAGED,
        /** Another generation is in force than the one that the proposal was made against. */
        OVERTAKEN,
        /** Another one is staged. */
        ANOTHER_STAGED
    }

    /** Keeps its own copy. */
    public LeaseAuthority {
        holders = Map.copyOf(holders);
    }

    /** One that takes over at this time, with what is durable; it knows nothing of the leases that were granted. */
    public static LeaseAuthority start(LeaseTerms terms, double nowMs, DecidedVersion word, long last) {
        return new LeaseAuthority(terms, word, last, nowMs + terms.waitMs(), Map.of());
    }

    /** What a proposal against this generation would come to. */
    public Verdict judge(long expected) {
        return word.staged() != 0
                ? Verdict.ANOTHER_STAGED
                : expected != word.inForce() ? Verdict.OVERTAKEN : Verdict.STAGED;
    }

    /** A new generation is staged; its number is {@link #last} from then on. */
    public LeaseAuthority stage() {
        if (word.staged() != 0) {
            throw new IllegalStateException("generation " + word.staged() + " is staged");
        }
        return with(word.stage(last + 1), last + 1, holders);
    }

    /** Whether the staged generation may be in force from now on. */
    public boolean mayActivate(double nowMs) {
        if (word.staged() == 0 || nowMs < settledMs) {
            return false;
        }
        for (Held h : holders.values()) {
            if (nowMs < h.untilMs() && h.heard() < word.version()) {
                return false;
            }
        }
        return true;
    }

    /** From when the staged generation may be in force if nobody who is waited for is heard of; milliseconds. */
    public double mayActivateAtMs() {
        double at = settledMs;
        for (Held h : holders.values()) {
            at = h.heard() < word.version() ? Math.max(at, h.untilMs()) : at;
        }
        return at;
    }

    /** The staged generation is in force. */
    public LeaseAuthority activate(double nowMs) {
        if (!mayActivate(nowMs)) {
            throw new IllegalStateException("not before " + mayActivateAtMs() + " ms, it is " + nowMs);
        }
        return with(word.activate(), last, holders);
    }

    /** The staged generation will never be in force; its number is not used again. */
    public LeaseAuthority abandon() {
        return with(word.abandon(), last, holders);
    }

    /** Whether the asker can't use the generation that is staged. */
    public boolean refusedBy(LeaseRequest a) {
        return a.refused() != 0 && a.refused() == word.staged();
    }

    /** A holder has asked; {@link #grant} is the answer. */
    public LeaseAuthority asked(double nowMs, LeaseRequest a) {
        Map<Integer, Held> next = new TreeMap<>();
        // Leases that have run out bind nobody: guards memory against holders that are gone for good.
        holders.forEach((id, h) -> {
            if (nowMs < h.untilMs()) {
                next.put(id, h);
            }
        });
        // Whatever was said was true when it was said, a later life hears no earlier word, and one that has heard none
        // is in doubt: so the highest version ever said holds, in whatever order the questions come.
        Held before = next.get(a.holder());
        long heard = before == null ? a.heard() : Math.max(before.heard(), a.heard());
        next.put(a.holder(), new Held(nowMs + terms.waitMs(), heard));
        return with(word, last, next);
    }

    /** The answer to a question, with what is decided now. */
    public LeaseGrant grant(LeaseRequest a) {
        return new LeaseGrant(a.life(), a.number(), word, terms.leaseMs());
    }

    private LeaseAuthority with(DecidedVersion nextWord, long nextLast, Map<Integer, Held> nextHolders) {
        return new LeaseAuthority(terms, nextWord, nextLast, settledMs, nextHolders);
    }
}

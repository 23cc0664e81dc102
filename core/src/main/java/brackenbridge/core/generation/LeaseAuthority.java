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
 * @param decided what is decided
 * @param lastGeneration the last number that was given to a generation
 * @param earlierLeasesExpireMs until when holders that it knows nothing of may act by what an earlier authority told
 *     them
 * @param holders those that may act by what they were told
 */
public record LeaseAuthority(
        LeaseTerms terms,
        DecidedVersion decided,
        long lastGeneration,
        double earlierLeasesExpireMs,
        Map<Integer, GrantedLease> holders) {
    /**
     * A holder that was granted a lease.
     *
     * @param untilMs until when it may act by it, whatever its clock
     * @param effectiveVersion the version that it acts by at the least
     */
    public record GrantedLease(double untilMs, long effectiveVersion) {}

    /** What came of a proposal. */
    public enum ProposalVerdict {
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
        return new LeaseAuthority(terms, word, last, nowMs + terms.authorityWaitMs(), Map.of());
    }

    /** What a proposal against this generation would come to. */
    public ProposalVerdict judgeProposal(long expected) {
        return decided.staged() != 0
                ? ProposalVerdict.ANOTHER_STAGED
                : expected != decided.inForce() ? ProposalVerdict.OVERTAKEN : ProposalVerdict.STAGED;
    }

    /** A new generation is staged; its number is {@link #lastGeneration} from then on. */
    public LeaseAuthority stage() {
        if (decided.staged() != 0) {
            throw new IllegalStateException("generation " + decided.staged() + " is staged");
        }
        return with(decided.stage(lastGeneration + 1), lastGeneration + 1, holders);
    }

    /** Whether the staged generation may be in force from now on. */
    public boolean mayActivate(double nowMs) {
        if (decided.staged() == 0 || nowMs < earlierLeasesExpireMs) {
            return false;
        }
        for (GrantedLease h : holders.values()) {
            if (nowMs < h.untilMs() && h.effectiveVersion() < decided.version()) {
                return false;
            }
        }
        return true;
    }

    /** From when the staged generation may be in force if nobody who is waited for is heard of; milliseconds. */
    public double mayActivateAtMs() {
        double at = earlierLeasesExpireMs;
        for (GrantedLease h : holders.values()) {
            at = h.effectiveVersion() < decided.version() ? Math.max(at, h.untilMs()) : at;
        }
        return at;
    }

    /** The staged generation is in force. */
    public LeaseAuthority activate(double nowMs) {
        if (!mayActivate(nowMs)) {
            throw new IllegalStateException("not before " + mayActivateAtMs() + " ms, it is " + nowMs);
        }
        return with(decided.activate(), lastGeneration, holders);
    }

    /** The staged generation will never be in force; its number is not used again. */
    public LeaseAuthority abandon() {
        return with(decided.abandon(), lastGeneration, holders);
    }

    /** Whether the asker can't use the generation that is staged. */
    public boolean isStagedRejectedBy(LeaseRequest a) {
        return a.rejectedGeneration() != 0 && a.rejectedGeneration() == decided.staged();
    }

    /** A holder has asked; {@link #grant} is the answer. */
    public LeaseAuthority onRequest(double nowMs, LeaseRequest a) {
        Map<Integer, GrantedLease> next = new TreeMap<>();
        // Leases that have run out bind nobody: guards memory against holders that are gone for good.
        holders.forEach((id, h) -> {
            if (nowMs < h.untilMs()) {
                next.put(id, h);
            }
        });
        // Whatever was said was true when it was said, a later life hears no earlier word, and one that has heard none
        // is in doubt: so the highest version ever said holds, in whatever order the questions come.
        GrantedLease before = next.get(a.holder());
        long heard = before == null ? a.effectiveVersion() : Math.max(before.effectiveVersion(), a.effectiveVersion());
        next.put(a.holder(), new GrantedLease(nowMs + terms.authorityWaitMs(), heard));
        return with(decided, lastGeneration, next);
    }

    /** The answer to a question, with what is decided now. */
    public LeaseGrant grant(LeaseRequest a) {
        return new LeaseGrant(a.incarnation(), a.requestNumber(), decided, terms.leaseMs());
    }

    private LeaseAuthority with(DecidedVersion nextWord, long nextLast, Map<Integer, GrantedLease> nextHolders) {
        return new LeaseAuthority(terms, nextWord, nextLast, earlierLeasesExpireMs, nextHolders);
    }
}

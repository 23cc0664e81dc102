package brackenbridge.core.generation;

import java.util.Map;
import java.util.TreeMap;

/**
 * The lease authority: decides which generation is in force, and waits for all lease holders that may use another one.
 *
 * <p>A change takes two phases. First a proposal is staged: a holder that receives it obeys both the generation in
 * force and the staged one. Once each holder has acknowledged it, or its lease on an earlier decision has expired, the
 * staged generation is activated.
 *
 * <p>Assumptions: the decision and {@code lastGeneration} are durable before any holder receives them; only the
 * authority that a majority currently follows grants leases; a new authority, in another process or incarnation, begins
 * with {@link #start}. Immutable; each event returns a new value.
 *
 * @param terms the terms of leases
 * @param decided the latest decision
 * @param lastGeneration the highest generation number assigned so far
 * @param earlierLeasesExpireMs when the leases granted by earlier authorities to unknown holders expire
 * @param holders the holders whose leases may still be valid
 */
public record LeaseAuthority(
        LeaseTerms terms,
        DecidedVersion decided,
        long lastGeneration,
        double earlierLeasesExpireMs,
        Map<Integer, GrantedLease> holders) {
    /**
     * The lease of a holder.
     *
     * @param untilMs the time at which the lease has expired by any holder's clock
     * @param acknowledgedVersion the lowest decision version that the holder may use
     */
    public record GrantedLease(double untilMs, long acknowledgedVersion) {}

    /** The result of a proposal. */
    public enum ProposalVerdict {
        /** It is staged. */
        STAGED,
        /** The generation in force is not the one that the proposal expected. */
        OVERTAKEN,
        /** Another generation is already staged. */
        ANOTHER_STAGED
    }

    /** Makes an immutable copy. */
    public LeaseAuthority {
        holders = Map.copyOf(holders);
    }

    /**
     * Creates an authority that takes over at this time with the durable values; it doesn't know which leases were
     * granted.
     */
    public static LeaseAuthority start(LeaseTerms terms, double nowMs, DecidedVersion decided, long lastGeneration) {
        return new LeaseAuthority(terms, decided, lastGeneration, nowMs + terms.authorityWaitMs(), Map.of());
    }

    /** Returns the result of a proposal that expects this generation to be in force. */
    public ProposalVerdict evaluateProposal(long expected) {
        return decided.staged() != 0
                ? ProposalVerdict.ANOTHER_STAGED
                : expected != decided.inForce() ? ProposalVerdict.OVERTAKEN : ProposalVerdict.STAGED;
    }

    /** Stages a new generation; its number is the {@link #lastGeneration} of the result. */
    public LeaseAuthority stage() {
        if (decided.staged() != 0) {
            throw new IllegalStateException("generation " + decided.staged() + " is already staged");
        }
        return with(decided.stage(lastGeneration + 1), lastGeneration + 1, holders);
    }

    /** Returns whether the staged generation may be activated now. */
    public boolean mayActivate(double nowMs) {
        if (decided.staged() == 0 || nowMs < earlierLeasesExpireMs) {
            return false;
        }
        for (GrantedLease holder : holders.values()) {
            if (nowMs < holder.untilMs() && holder.acknowledgedVersion() < decided.version()) {
                return false;
            }
        }
        return true;
    }

    /** When the staged generation may be activated if no further holder acknowledges it; milliseconds. */
    public double mayActivateAtMs() {
        double atMs = earlierLeasesExpireMs;
        for (GrantedLease holder : holders.values()) {
            atMs = holder.acknowledgedVersion() < decided.version() ? Math.max(atMs, holder.untilMs()) : atMs;
        }
        return atMs;
    }

    /** Activates the staged generation. */
    public LeaseAuthority activate(double nowMs) {
        if (!mayActivate(nowMs)) {
            throw new IllegalStateException(
                    "the staged generation may be activated at " + mayActivateAtMs() + " ms, now is " + nowMs + " ms");
        }
        return with(decided.activate(), lastGeneration, holders);
    }

    /** Abandons the staged generation; its number is not reused. */
    public LeaseAuthority abandon() {
        return with(decided.abandon(), lastGeneration, holders);
    }

    /** Returns whether the requesting holder can't use the staged generation. */
    public boolean isStagedRejectedBy(LeaseRequest request) {
        return request.rejectedGeneration() != 0 && request.rejectedGeneration() == decided.staged();
    }

    /** Records a lease request of a holder; {@link #grant} returns the response. */
    public LeaseAuthority onRequest(double nowMs, LeaseRequest request) {
        Map<Integer, GrantedLease> next = new TreeMap<>();
        // Drops expired leases, which no longer matter. Guards memory against holders that never return.
        holders.forEach((id, lease) -> {
            if (nowMs < lease.untilMs()) {
                next.put(id, lease);
            }
        });
        // Requests may arrive in any order. Each reported version was correct when it was sent, a later incarnation
        // never receives an earlier decision, and an incarnation that has received none is in doubt: so the highest
        // reported version is valid.
        GrantedLease previous = next.get(request.holder());
        long acknowledged = previous == null
                ? request.decidedVersion()
                : Math.max(previous.acknowledgedVersion(), request.decidedVersion());
        next.put(request.holder(), new GrantedLease(nowMs + terms.authorityWaitMs(), acknowledged));
        return with(decided, lastGeneration, next);
    }

    /** Returns the response to a request, with the latest decision. */
    public LeaseGrant grant(LeaseRequest request) {
        return new LeaseGrant(request.incarnation(), request.requestNumber(), decided, terms.leaseMs());
    }

    private LeaseAuthority with(
            DecidedVersion nextDecided, long nextLastGeneration, Map<Integer, GrantedLease> nextHolders) {
        return new LeaseAuthority(terms, nextDecided, nextLastGeneration, earlierLeasesExpireMs, nextHolders);
    }
}

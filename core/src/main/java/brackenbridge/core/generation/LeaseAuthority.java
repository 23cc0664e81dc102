package brackenbridge.core.generation;

import java.util.Map;
import java.util.TreeMap;

/**
 * The authority of the agreement: decides which generation is in force, and waits for all holders that may use another.
 *
 * <p>Two phases. A proposal is staged: a holder that receives it obeys both, the generation in force and the staged
 * one. Once each holder has acknowledged it, or its lease on an earlier decision has expired, the staged one is in
 * force.
 *
 * <p>Assumptions: its decision and {@code lastGeneration} are durable before any holder receives them; only the one
 * authority that a majority follows at that time grants leases; a new one, in another process or incarnation, begins
 * with {@link #start}.
 * Immutable; each event makes another.
 *
 * @param terms the terms of leases
 * @param decided the latest decision
 * @param lastGeneration the highest number given to a generation
 * @param earlierLeasesExpireMs until when holders unknown to it may use leases of an earlier authority
 * @param holders holders with a lease that may be valid
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
     * @param untilMs until when it may use the lease, whatever its clock
     * @param effectiveVersion the lowest version that it may use
     */
    public record GrantedLease(double untilMs, long acknowledgedVersion) {}

    /** The result of a proposal. */
    public enum ProposalVerdict {
        /** It is staged. */
        STAGED,
        /** The generation in force is not the one that the proposal was made against. */
        OVERTAKEN,
        /** Another generation is staged. */
        ANOTHER_STAGED
    }

    /** Makes an immutable copy. */
    public LeaseAuthority {
        holders = Map.copyOf(holders);
    }

    /**
     * An authority that takes over at this time with the durable values; it does not know which leases were granted.
     */
    public static LeaseAuthority start(LeaseTerms terms, double nowMs, DecidedVersion decided, long lastGeneration) {
        return new LeaseAuthority(terms, decided, lastGeneration, nowMs + terms.authorityWaitMs(), Map.of());
    }

    /** The result that a proposal against this generation would have. */
    public ProposalVerdict evaluateProposal(long expected) {
        return decided.staged() != 0
                ? ProposalVerdict.ANOTHER_STAGED
                : expected != decided.inForce() ? ProposalVerdict.OVERTAKEN : ProposalVerdict.STAGED;
    }

    /** Stages a new generation; its number is {@link #lastGeneration} from then on. */
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
        for (GrantedLease holder : holders.values()) {
            if (nowMs < holder.untilMs() && holder.acknowledgedVersion() < decided.version()) {
                return false;
            }
        }
        return true;
    }

    /** From when the staged generation may be in force if no awaited holder sends a request; milliseconds. */
    public double mayActivateAtMs() {
        double atMs = earlierLeasesExpireMs;
        for (GrantedLease holder : holders.values()) {
            atMs = holder.acknowledgedVersion() < decided.version() ? Math.max(atMs, holder.untilMs()) : atMs;
        }
        return atMs;
    }

    /** Puts the staged generation in force. */
    public LeaseAuthority activate(double nowMs) {
        if (!mayActivate(nowMs)) {
            throw new IllegalStateException("not before " + mayActivateAtMs() + " ms, it is " + nowMs);
        }
        return with(decided.activate(), lastGeneration, holders);
    }

    /** Drops the staged generation; its number is not used again. */
    public LeaseAuthority abandon() {
        return with(decided.abandon(), lastGeneration, holders);
    }

    /** Whether the requesting holder can't use the staged generation. */
    public boolean isStagedRejectedBy(LeaseRequest request) {
        return request.rejectedGeneration() != 0 && request.rejectedGeneration() == decided.staged();
    }

    /** A holder has requested a lease; {@link #grant} is the response. */
    public LeaseAuthority onRequest(double nowMs, LeaseRequest request) {
        Map<Integer, GrantedLease> next = new TreeMap<>();
        // Expired leases bind nobody. Guards memory against holders that never return.
        holders.forEach((id, lease) -> {
            if (nowMs < lease.untilMs()) {
                next.put(id, lease);
            }
        });
        // Each reported version was true when it was sent, a later incarnation receives no earlier decision, and one
        // that has received none is in doubt: so the highest version reported is valid, in whatever order requests
        // come.
        GrantedLease before = next.get(request.holder());
        long acknowledged = before == null
                ? request.decidedVersion()
                : Math.max(before.acknowledgedVersion(), request.decidedVersion());
        next.put(request.holder(), new GrantedLease(nowMs + terms.authorityWaitMs(), acknowledged));
        return with(decided, lastGeneration, next);
    }

    /** The response to a request, with the latest decision. */
    public LeaseGrant grant(LeaseRequest request) {
        return new LeaseGrant(request.incarnation(), request.requestNumber(), decided, terms.leaseMs());
    }

    private LeaseAuthority with(
            DecidedVersion nextDecided, long nextLastGeneration, Map<Integer, GrantedLease> nextHolders) {
        return new LeaseAuthority(terms, nextDecided, nextLastGeneration, earlierLeasesExpireMs, nextHolders);
    }
}

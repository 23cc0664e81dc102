package brackenbridge.fleet.agreed;

import brackenbridge.core.generation.DecidedVersion;
import brackenbridge.core.generation.LeaseAuthority;
import brackenbridge.core.generation.LeaseGrant;
import brackenbridge.core.generation.LeaseRequest;
import brackenbridge.core.generation.LeaseTerms;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The leases granted in one leader term, by name and role. The term begins when its first entry is applied, after which
 * no earlier leader is followed. The leases granted in earlier terms are unknown, so the leader waits until all of them
 * must have expired (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
 * Consistency", 1989).
 *
 * <p>The methods that grant a lease ({@link #renew}, {@link #claimRole}) must be called only after a majority has
 * confirmed, later than the request arrived, that it follows this leader.
 */
final class LeaderLeases {
    /** Maximum size of the contents in one response, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 600 * 1024;

    /** How a claim is processed. */
    sealed interface ClaimDecision {
        /** It is answered at once. */
        record Respond(AgreementMessage.ClaimResponse response) implements ClaimDecision {}

        /** A command must be replicated first; once it is applied, {@link #grantRole} returns the response. */
        record WriteFirst(LogCommand.GrantRole command) implements ClaimDecision {}

        /** Another command for the role is in flight: the claim is not answered, and its sender retries. */
        record Ignore() implements ClaimDecision {}
    }

    private record RoleLease(double untilMs, boolean inFlight) {}

    private final LeaseTerms terms;
    private final AgreedState state;
    private final long leaderTerm;
    private final double earlierLeasesEndMs;
    private final Map<String, LeaseAuthority> authorityByName = new TreeMap<>();
    private final Map<String, String> rejectedBy = new HashMap<>();
    private final Map<String, Integer> holderIds = new HashMap<>();
    private final Map<Integer, Double> leaseEndById = new HashMap<>();
    private final Map<String, RoleLease> roleLeases = new HashMap<>();
    private final Set<String> inFlight = new HashSet<>();

    /** Creates the leases of a leader term that begins now. */
    LeaderLeases(LeaseTerms terms, AgreedState state, double nowMs) {
        this.terms = terms;
        this.state = state;
        this.leaderTerm = state.leaderTerm();
        this.earlierLeasesEndMs = nowMs + terms.authorityWaitMs();
        state.names()
                .values()
                .forEach(value -> authorityByName.put(
                        value.name(), LeaseAuthority.start(terms, nowMs, value.decided(), value.lastGeneration())));
        state.roles()
                .values()
                .forEach(role -> roleLeases.put(role.role(), new RoleLease(nowMs + waitMs(role.maxLeaseMs()), false)));
    }

    long leaderTerm() {
        return leaderTerm;
    }

    /** Time at which all leases for names granted by earlier leaders have expired, in milliseconds. */
    double earlierLeasesEndMs() {
        return earlierLeasesEndMs;
    }

    private double waitMs(double leaseMs) {
        return new LeaseTerms(leaseMs, terms.drift()).authorityWaitMs();
    }

    /** The decided version of this name has changed. */
    void onApplied(String name) {
        AgreedState.NamedValue value = state.find(name).orElseThrow();
        LeaseAuthority before = authorityByName.get(name);
        Map<Integer, LeaseAuthority.GrantedLease> holders = new TreeMap<>();
        if (before == null) {
            // Holders of leases for other names must confirm the first generation too, so that they can reject it.
            leaseEndById.forEach((id, untilMs) -> holders.put(id, new LeaseAuthority.GrantedLease(untilMs, 0)));
        } else {
            holders.putAll(before.holders());
        }
        authorityByName.put(
                name, new LeaseAuthority(terms, value.decided(), value.lastGeneration(), earlierLeasesEndMs, holders));
        inFlight.remove(name);
        rejectedBy.remove(name);
    }

    /** Grants a lease for all names; from now on, activation of a staged generation waits for this holder. */
    AgreementMessage.RenewalResponse renew(
            double nowMs, String member, AgreementMessage.RenewalRequest request, String groupId) {
        int id = holderIds.computeIfAbsent(member, holder -> holderIds.size() + 1);
        leaseEndById.put(id, nowMs + terms.authorityWaitMs());
        Map<String, AgreementMessage.NameState> states = new HashMap<>();
        request.names().forEach(known -> states.put(known.name(), known));
        List<AgreementMessage.NameUpdate> updates = new ArrayList<>();
        int remainingBytes = MAX_RESPONSE_BYTES;
        boolean complete = true;
        for (Map.Entry<String, LeaseAuthority> entry : authorityByName.entrySet()) {
            AgreementMessage.NameState known = states.getOrDefault(
                    entry.getKey(), new AgreementMessage.NameState(entry.getKey(), 0, 0, List.of()));
            LeaseRequest leaseRequest = new LeaseRequest(
                    id, request.incarnation(), request.requestNumber(), known.version(), known.rejectedGeneration());
            LeaseAuthority authority = entry.getValue();
            List<AgreementMessage.GenerationContent> contents =
                    missingContents(authority.decided(), entry.getKey(), known.knownGenerations());
            int bytes = contents.stream()
                    .mapToInt(content -> content.content().length)
                    .sum();
            if (bytes > remainingBytes) {
                complete = false;
                continue;
            }
            remainingBytes -= bytes;
            if (authority.isStagedRejectedBy(leaseRequest)) {
                rejectedBy.put(entry.getKey(), member);
            }
            LeaseAuthority next = authority.onRequest(nowMs, leaseRequest);
            entry.setValue(next);
            LeaseGrant grant = next.grant(leaseRequest);
            updates.add(new AgreementMessage.NameUpdate(entry.getKey(), grant.decided(), contents));
        }
        return new AgreementMessage.RenewalResponse(
                request.incarnation(), request.requestNumber(), groupId, terms.leaseMs(), updates, complete);
    }

    private List<AgreementMessage.GenerationContent> missingContents(
            DecidedVersion decided, String name, List<Long> knownGenerations) {
        List<AgreementMessage.GenerationContent> contents = new ArrayList<>();
        for (long generation : new long[] {decided.inForce(), decided.staged()}) {
            if (generation != 0 && !knownGenerations.contains(generation)) {
                AgreedState.Generation kept =
                        state.findGeneration(name, generation).orElseThrow();
                contents.add(new AgreementMessage.GenerationContent(generation, kept.content(), kept.proposer()));
            }
        }
        return contents;
    }

    /** Returns the due commands, each only once until {@link #onApplied} or {@link #onWriteFailed} is called for it. */
    List<LogCommand> dueCommands(double nowMs) {
        List<LogCommand> due = new ArrayList<>();
        authorityByName.forEach((name, authority) -> {
            if (authority.decided().staged() == 0 || inFlight.contains(name)) {
                return;
            }
            if (rejectedBy.containsKey(name)) {
                due.add(new LogCommand.Abandon(name, authority.decided().version(), leaderTerm, rejectedBy.get(name)));
                inFlight.add(name);
            } else if (authority.mayActivate(nowMs)) {
                due.add(new LogCommand.Activate(name, authority.decided().version(), leaderTerm));
                inFlight.add(name);
            }
        });
        return due;
    }

    /** This command was not appended to the log and may be retried. */
    void onWriteFailed(LogCommand command) {
        if (command instanceof LogCommand.Activate activate) {
            inFlight.remove(activate.name());
        } else if (command instanceof LogCommand.Abandon abandon) {
            inFlight.remove(abandon.name());
        } else if (command instanceof LogCommand.GrantRole grant) {
            roleLeases.computeIfPresent(grant.role(), (role, lease) -> new RoleLease(lease.untilMs(), false));
        }
    }

    /** Processes a member's claim of a role. */
    ClaimDecision claimRole(double nowMs, String member, AgreementMessage.ClaimRequest claim) {
        Optional<AgreedState.RoleState> role = state.role(claim.role());
        RoleLease lease = roleLeases.getOrDefault(claim.role(), new RoleLease(Double.NEGATIVE_INFINITY, false));
        if (lease.inFlight()) {
            // Guards against extending a lease while the role is being granted to another member.
            return new ClaimDecision.Ignore();
        }
        long token = role.map(AgreedState.RoleState::token).orElse(0L);
        boolean renewal = role.isPresent()
                && role.get().holder().equals(member)
                && role.get().incarnation() == claim.incarnation();
        if (renewal && claim.leaseMs() <= role.get().maxLeaseMs()) {
            return new ClaimDecision.Respond(grantClaim(nowMs, claim));
        }
        if (renewal || nowMs >= lease.untilMs()) {
            roleLeases.put(claim.role(), new RoleLease(lease.untilMs(), true));
            return new ClaimDecision.WriteFirst(new LogCommand.GrantRole(
                    claim.role(), member, claim.incarnation(), claim.leaseMs(), token, leaderTerm));
        }
        String holder = role.map(AgreedState.RoleState::holder).orElse("");
        return new ClaimDecision.Respond(
                new AgreementMessage.ClaimResponse(claim.incarnation(), claim.requestNumber(), holder, token, 0));
    }

    /** Grants a claim whose command was applied in this leader term. */
    AgreementMessage.ClaimResponse grantRole(double nowMs, AgreementMessage.ClaimRequest claim) {
        roleLeases.computeIfPresent(claim.role(), (role, lease) -> new RoleLease(lease.untilMs(), false));
        return grantClaim(nowMs, claim);
    }

    private AgreementMessage.ClaimResponse grantClaim(double nowMs, AgreementMessage.ClaimRequest claim) {
        AgreedState.RoleState role = state.role(claim.role()).orElseThrow();
        double endMs = Math.max(
                nowMs + waitMs(claim.leaseMs()),
                roleLeases
                        .getOrDefault(claim.role(), new RoleLease(Double.NEGATIVE_INFINITY, false))
                        .untilMs());
        roleLeases.put(claim.role(), new RoleLease(endMs, false));
        return new AgreementMessage.ClaimResponse(
                claim.incarnation(), claim.requestNumber(), role.holder(), role.token(), claim.leaseMs());
    }

    /** The lease holders for which activation of the staged generation waits, for operators. */
    List<String> pendingHolders(String name, double nowMs) {
        LeaseAuthority authority = authorityByName.get(name);
        List<String> pending = new ArrayList<>();
        holderIds.forEach((member, id) -> {
            LeaseAuthority.GrantedLease granted =
                    authority == null ? null : authority.holders().get(id);
            if (granted != null
                    && authority.decided().staged() != 0
                    && nowMs < granted.untilMs()
                    && granted.acknowledgedVersion() < authority.decided().version()) {
                pending.add(member);
            }
        });
        return pending;
    }
}

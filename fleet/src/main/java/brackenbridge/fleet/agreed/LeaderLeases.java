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
 * The leases granted in one leader term, by name and role. The term begins when its own entry is applied, after which
 * no earlier leader is followed. The leases of earlier terms are unknown: all of them are waited out (Gray and
 * Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989).
 *
 * <p>Whatever grants a lease ({@link #answerRequest}, {@link #claimRole}) must be called only after a majority has
 * confirmed, since the request came, that it follows this leader.
 */
final class LeaderLeases {
    /** Contents in one answer at most, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 600 * 1024;

    /** What is done with a claim. */
    sealed interface ClaimDecision {
        /** It is answered at once. */
        record Respond(AgreementMessage.ClaimResponse response) implements ClaimDecision {}

        /** A command must be written first; it is answered by {@link #grantRole} once that is applied. */
        record WriteFirst(LogCommand.GrantRole command) implements ClaimDecision {}

        /** Another command for the role is on its way: the claim is not answered, its sender repeats it. */
        record Ignore() implements ClaimDecision {}
    }

    private record RoleLease(double untilMs, boolean inFlight) {}

    private final LeaseTerms terms;
    private final AgreedState state;
    private final long leaderTerm;
    private final double earlierLeasesEndMs;
    private final Map<String, LeaseAuthority> authorities = new TreeMap<>();
    private final Map<String, String> rejectedBy = new HashMap<>();
    private final Map<String, Integer> holderIds = new HashMap<>();
    private final Map<Integer, Double> leaseEndById = new HashMap<>();
    private final Map<String, RoleLease> roles = new HashMap<>();
    private final Set<String> inFlight = new HashSet<>();

    /** A leader term that begins now. */
    LeaderLeases(LeaseTerms terms, AgreedState state, double nowMs) {
        this.terms = terms;
        this.state = state;
        this.leaderTerm = state.leaderTerm();
        this.earlierLeasesEndMs = nowMs + terms.authorityWaitMs();
        state.names()
                .values()
                .forEach(n ->
                        authorities.put(n.name(), LeaseAuthority.start(terms, nowMs, n.decided(), n.lastGeneration())));
        state.roles().values().forEach(r -> roles.put(r.role(), new RoleLease(nowMs + waitMs(r.maxLeaseMs()), false)));
    }

    long leaderTerm() {
        return leaderTerm;
    }

    /** From when it has waited out all that earlier leaders granted of names; milliseconds. */
    double earlierLeasesEndMs() {
        return earlierLeasesEndMs;
    }

    private double waitMs(double forMs) {
        return new LeaseTerms(forMs, terms.drift()).authorityWaitMs();
    }

    /** What is decided of this name has changed. */
    void onApplied(String name) {
        AgreedState.NamedValue n = state.find(name).orElseThrow();
        LeaseAuthority before = authorities.get(name);
        Map<Integer, LeaseAuthority.GrantedLease> holders = new TreeMap<>();
        if (before == null) {
            // Whoever may act by other names is waited for here as well, so that it can refuse the first.
            leaseEndById.forEach((id, untilMs) -> holders.put(id, new LeaseAuthority.GrantedLease(untilMs, 0)));
        } else {
            holders.putAll(before.holders());
        }
        authorities.put(name, new LeaseAuthority(terms, n.decided(), n.lastGeneration(), earlierLeasesEndMs, holders));
        inFlight.remove(name);
        rejectedBy.remove(name);
    }

    /** The answer to a question; from now on its asker is waited for. */
    AgreementMessage.RenewalResponse renew(
            double nowMs, String asker, AgreementMessage.RenewalRequest q, String groupId) {
        int id = holderIds.computeIfAbsent(asker, a -> holderIds.size() + 1);
        leaseEndById.put(id, nowMs + terms.authorityWaitMs());
        Map<String, AgreementMessage.NameState> heard = new HashMap<>();
        q.names().forEach(h -> heard.put(h.name(), h));
        List<AgreementMessage.NameUpdate> told = new ArrayList<>();
        int room = MAX_RESPONSE_BYTES;
        boolean whole = true;
        for (Map.Entry<String, LeaseAuthority> e : authorities.entrySet()) {
            AgreementMessage.NameState h =
                    heard.getOrDefault(e.getKey(), new AgreementMessage.NameState(e.getKey(), 0, 0, List.of()));
            LeaseRequest ask =
                    new LeaseRequest(id, q.incarnation(), q.requestNumber(), h.version(), h.rejectedGeneration());
            LeaseAuthority a = e.getValue();
            List<AgreementMessage.GenerationContent> items =
                    missingContents(a.decided(), e.getKey(), h.knownGenerations());
            int bytes = items.stream().mapToInt(i -> i.content().length).sum();
            if (bytes > room) {
                whole = false;
                continue;
            }
            room -= bytes;
            if (a.isStagedRejectedBy(ask)) {
                rejectedBy.put(e.getKey(), asker);
            }
            LeaseAuthority next = a.onRequest(nowMs, ask);
            e.setValue(next);
            LeaseGrant g = next.grant(ask);
            told.add(new AgreementMessage.NameUpdate(e.getKey(), g.decided(), items));
        }
        return new AgreementMessage.RenewalResponse(
                q.incarnation(), q.requestNumber(), groupId, terms.leaseMs(), told, whole);
    }

    private List<AgreementMessage.GenerationContent> missingContents(DecidedVersion word, String name, List<Long> has) {
        List<AgreementMessage.GenerationContent> items = new ArrayList<>();
        for (long g : new long[] {word.inForce(), word.staged()}) {
            if (g != 0 && !has.contains(g)) {
                AgreedState.Generation k = state.findGeneration(name, g).orElseThrow();
                items.add(new AgreementMessage.GenerationContent(g, k.content(), k.proposer()));
            }
        }
        return items;
    }

    /** The entries that may be written now; each once, until {@link #onApplied} or {@link #onWriteFailed}. */
    List<LogCommand> dueCommands(double nowMs) {
        List<LogCommand> due = new ArrayList<>();
        authorities.forEach((name, a) -> {
            if (a.decided().staged() == 0 || inFlight.contains(name)) {
                return;
            }
            if (rejectedBy.containsKey(name)) {
                due.add(new LogCommand.Abandon(name, a.decided().version(), leaderTerm, rejectedBy.get(name)));
                inFlight.add(name);
            } else if (a.mayActivate(nowMs)) {
                due.add(new LogCommand.Activate(name, a.decided().version(), leaderTerm));
                inFlight.add(name);
            }
        });
        return due;
    }

    /** This entry was not taken by the log: it may be tried again. */
    void onWriteFailed(LogCommand op) {
        if (op instanceof LogCommand.Activate a) {
            inFlight.remove(a.name());
        } else if (op instanceof LogCommand.Abandon a) {
            inFlight.remove(a.name());
        } else if (op instanceof LogCommand.GrantRole t) {
            roles.computeIfPresent(t.role(), (r, l) -> new RoleLease(l.untilMs(), false));
        }
    }

    /** A member claims a role. */
    ClaimDecision claimRole(double nowMs, String member, AgreementMessage.ClaimRequest c) {
        Optional<AgreedState.RoleState> role = state.role(c.role());
        RoleLease lease = roles.getOrDefault(c.role(), new RoleLease(Double.NEGATIVE_INFINITY, false));
        if (lease.inFlight()) {
            // Guards against a lease that is lengthened while the role goes to another.
            return new ClaimDecision.Ignore();
        }
        long token = role.map(AgreedState.RoleState::token).orElse(0L);
        boolean same = role.isPresent()
                && role.get().holder().equals(member)
                && role.get().incarnation() == c.incarnation();
        if (same && c.leaseMs() <= role.get().maxLeaseMs()) {
            return new ClaimDecision.Respond(grantClaim(nowMs, c));
        }
        if (same || nowMs >= lease.untilMs()) {
            roles.put(c.role(), new RoleLease(lease.untilMs(), true));
            return new ClaimDecision.WriteFirst(
                    new LogCommand.GrantRole(c.role(), member, c.incarnation(), c.leaseMs(), token, leaderTerm));
        }
        String holder = role.map(AgreedState.RoleState::holder).orElse("");
        return new ClaimDecision.Respond(
                new AgreementMessage.ClaimResponse(c.incarnation(), c.requestNumber(), holder, token, 0));
    }

    /** The claim's entry was applied in this leader term: it is granted. */
    AgreementMessage.ClaimResponse grantRole(double nowMs, AgreementMessage.ClaimRequest c) {
        roles.computeIfPresent(c.role(), (r, l) -> new RoleLease(l.untilMs(), false));
        return grantClaim(nowMs, c);
    }

    private AgreementMessage.ClaimResponse grantClaim(double nowMs, AgreementMessage.ClaimRequest c) {
        AgreedState.RoleState role = state.role(c.role()).orElseThrow();
        double until = Math.max(
                nowMs + waitMs(c.leaseMs()),
                roles.getOrDefault(c.role(), new RoleLease(Double.NEGATIVE_INFINITY, false))
                        .untilMs());
        roles.put(c.role(), new RoleLease(until, false));
        return new AgreementMessage.ClaimResponse(
                c.incarnation(), c.requestNumber(), role.holder(), role.token(), c.leaseMs());
    }

    /** Who is waited for before what is staged can be in force, for staff. */
    List<String> pendingHolders(String name, double nowMs) {
        LeaseAuthority a = authorities.get(name);
        List<String> who = new ArrayList<>();
        holderIds.forEach((member, id) -> {
            LeaseAuthority.GrantedLease h = a == null ? null : a.holders().get(id);
            if (h != null
                    && a.decided().staged() != 0
                    && nowMs < h.untilMs()
                    && h.effectiveVersion() < a.decided().version()) {
                who.add(member);
            }
        });
        return who;
    }
}

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
    private static final int MAX_ANSWER_BYTES = 600 * 1024;

    /** What is done with a claim. */
    sealed interface ClaimDecision {
        /** It is answered at once. */
        record Answer(AgreementMessage.Claimed message) implements ClaimDecision {}

        /** A command must be written first; it is answered by {@link #grantRole} once that is applied. */
        record WriteFirst(LogCommand.Take command) implements ClaimDecision {}

        /** Another command for the role is on its way: the claim is not answered, its sender repeats it. */
        record Ignore() implements ClaimDecision {}
    }

    private record RoleLease(double untilMs, boolean inFlight) {}

    private final LeaseTerms terms;
    private final AgreedState state;
    private final long leaderTerm;
    private final double settledMs;
    private final Map<String, LeaseAuthority> authorities = new TreeMap<>();
    private final Map<String, String> refused = new HashMap<>();
    private final Map<String, Integer> ids = new HashMap<>();
    private final Map<Integer, Double> leases = new HashMap<>();
    private final Map<String, RoleLease> roles = new HashMap<>();
    private final Set<String> inFlight = new HashSet<>();

    /** A leader term that begins now. */
    LeaderLeases(LeaseTerms terms, AgreedState state, double nowMs) {
        this.terms = terms;
        this.state = state;
        this.leaderTerm = state.leaderTerm();
        this.settledMs = nowMs + terms.authorityWaitMs();
        state.names()
                .values()
                .forEach(n -> authorities.put(n.name(), LeaseAuthority.start(terms, nowMs, n.word(), n.last())));
        state.roles().values().forEach(r -> roles.put(r.role(), new RoleLease(nowMs + waitMs(r.forMs()), false)));
    }

    long leaderTerm() {
        return leaderTerm;
    }

    /** From when it has waited out all that earlier leaders granted of names; milliseconds. */
    double settledMs() {
        return settledMs;
    }

    private double waitMs(double forMs) {
        return new LeaseTerms(forMs, terms.drift()).authorityWaitMs();
    }

    /** What is decided of this name has changed. */
    void onApplied(String name) {
        AgreedState.Named n = state.named(name).orElseThrow();
        LeaseAuthority before = authorities.get(name);
        Map<Integer, LeaseAuthority.GrantedLease> holders = new TreeMap<>();
        if (before == null) {
            // Whoever may act by other names is waited for here as well, so that it can refuse the first.
            leases.forEach((id, untilMs) -> holders.put(id, new LeaseAuthority.GrantedLease(untilMs, 0)));
        } else {
            holders.putAll(before.holders());
        }
        authorities.put(name, new LeaseAuthority(terms, n.word(), n.last(), settledMs, holders));
        inFlight.remove(name);
        refused.remove(name);
    }

    /** The answer to a question; from now on its asker is waited for. */
    AgreementMessage.Answer answerRequest(double nowMs, String asker, AgreementMessage.Question q, String groupId) {
        int id = ids.computeIfAbsent(asker, a -> ids.size() + 1);
        leases.put(id, nowMs + terms.authorityWaitMs());
        Map<String, AgreementMessage.Heard> heard = new HashMap<>();
        q.heard().forEach(h -> heard.put(h.name(), h));
        List<AgreementMessage.Told> told = new ArrayList<>();
        int room = MAX_ANSWER_BYTES;
        boolean whole = true;
        for (Map.Entry<String, LeaseAuthority> e : authorities.entrySet()) {
            AgreementMessage.Heard h =
                    heard.getOrDefault(e.getKey(), new AgreementMessage.Heard(e.getKey(), 0, 0, List.of()));
            LeaseRequest ask = new LeaseRequest(id, q.life(), q.number(), h.version(), h.refused());
            LeaseAuthority a = e.getValue();
            List<AgreementMessage.Item> items = items(a.decided(), e.getKey(), h.has());
            int bytes = items.stream().mapToInt(i -> i.content().length).sum();
            if (bytes > room) {
                whole = false;
                continue;
            }
            room -= bytes;
            if (a.isStagedRejectedBy(ask)) {
                refused.put(e.getKey(), asker);
            }
            LeaseAuthority next = a.onRequest(nowMs, ask);
            e.setValue(next);
            LeaseGrant g = next.grant(ask);
            told.add(new AgreementMessage.Told(e.getKey(), g.decided(), items));
        }
        return new AgreementMessage.Answer(q.life(), q.number(), groupId, terms.leaseMs(), told, whole);
    }

    private List<AgreementMessage.Item> items(DecidedVersion word, String name, List<Long> has) {
        List<AgreementMessage.Item> items = new ArrayList<>();
        for (long g : new long[] {word.inForce(), word.staged()}) {
            if (g != 0 && !has.contains(g)) {
                AgreedState.Generation k = state.kept(name, g).orElseThrow();
                items.add(new AgreementMessage.Item(g, k.content(), k.by()));
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
            if (refused.containsKey(name)) {
                due.add(new LogCommand.Abandon(name, a.decided().version(), leaderTerm, refused.get(name)));
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
        } else if (op instanceof LogCommand.Take t) {
            roles.computeIfPresent(t.role(), (r, l) -> new RoleLease(l.untilMs(), false));
        }
    }

    /** A member claims a role. */
    ClaimDecision claimRole(double nowMs, String member, AgreementMessage.Claim c) {
        Optional<AgreedState.Role> role = state.role(c.role());
        RoleLease lease = roles.getOrDefault(c.role(), new RoleLease(Double.NEGATIVE_INFINITY, false));
        if (lease.inFlight()) {
            // Guards against a lease that is lengthened while the role goes to another.
            return new ClaimDecision.Ignore();
        }
        long token = role.map(AgreedState.Role::token).orElse(0L);
        boolean same = role.isPresent()
                && role.get().holder().equals(member)
                && role.get().life() == c.life();
        if (same && c.forMs() <= role.get().forMs()) {
            return new ClaimDecision.Answer(granted(nowMs, c));
        }
        if (same || nowMs >= lease.untilMs()) {
            roles.put(c.role(), new RoleLease(lease.untilMs(), true));
            return new ClaimDecision.WriteFirst(
                    new LogCommand.Take(c.role(), member, c.life(), c.forMs(), token, leaderTerm));
        }
        String holder = role.map(AgreedState.Role::holder).orElse("");
        return new ClaimDecision.Answer(new AgreementMessage.Claimed(c.life(), c.number(), holder, token, 0));
    }

    /** The claim's entry was applied in this leader term: it is granted. */
    AgreementMessage.Claimed grantRole(double nowMs, AgreementMessage.Claim c) {
        roles.computeIfPresent(c.role(), (r, l) -> new RoleLease(l.untilMs(), false));
        return granted(nowMs, c);
    }

    private AgreementMessage.Claimed granted(double nowMs, AgreementMessage.Claim c) {
        AgreedState.Role role = state.role(c.role()).orElseThrow();
        double until = Math.max(
                nowMs + waitMs(c.forMs()),
                roles.getOrDefault(c.role(), new RoleLease(Double.NEGATIVE_INFINITY, false))
                        .untilMs());
        roles.put(c.role(), new RoleLease(until, false));
        return new AgreementMessage.Claimed(c.life(), c.number(), role.holder(), role.token(), c.forMs());
    }

    /** Who is waited for before what is staged can be in force, for staff. */
    List<String> waitsFor(String name, double nowMs) {
        LeaseAuthority a = authorities.get(name);
        List<String> who = new ArrayList<>();
        ids.forEach((member, id) -> {
            LeaseAuthority.GrantedLease h = a == null ? null : a.holders().get(id);
            if (h != null
                    && a.decided().staged() != 0
                    && nowMs < h.untilMs()
                    && h.acknowledgedVersion() < a.decided().version()) {
                who.add(member);
            }
        });
        return who;
    }
}

package brackenbridge.lab.agree;

import brackenbridge.core.generation.DecidedVersion;
import brackenbridge.core.generation.EffectiveGenerations;
import brackenbridge.core.generation.LeaseAuthority;
import brackenbridge.core.generation.LeaseGrant;
import brackenbridge.core.generation.LeaseHolder;
import brackenbridge.core.generation.LeaseRequest;
import brackenbridge.core.generation.LeaseTerms;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * All that may happen next, at any moment of any history. Messages are kept for ever once they are sent, so each may
 * arrive never, late, twice and in any order; a process that is not moved is stalled; time passes for all, and a
 * holder's clock may miss a tick as often as the terms allow.
 */
public final class AgreementModel {
    /** The part by which clocks may be off so that a lease of 2 ticks may last 3. */
    private static final LeaseTerms TERMS = new LeaseTerms(Bounds.LEASE, 0.2);

    /** A holder's process, with its clock. */
    record Node(LeaseHolder holder, int lag, int laggedAt, int seenAt, int starts) {}

    /** A grant on its way. */
    record Sent(int to, LeaseGrant grant) {}

    /** One moment. */
    record State(
            int time,
            List<Node> nodes,
            LeaseAuthority authority,
            LeaseAuthority deposed,
            DecidedVersion before,
            Set<LeaseRequest> asks,
            Set<Sent> grants,
            int proposals,
            int takeovers) {}

    private final Bounds bounds;
    private final AgreementMistake mistake;

    /** Histories within these bounds, of an implementation that makes this mistake. */
    public AgreementModel(Bounds bounds, AgreementMistake mistake) {
        this.bounds = bounds;
        this.mistake = mistake;
    }

    /** The first moment: one generation is in force, and nobody has heard of it. */
    State first() {
        LeaseAuthority a = new LeaseAuthority(
                mistake == AgreementMistake.DRIFT_FORGOTTEN ? new LeaseTerms(Bounds.LEASE, 0) : TERMS,
                new DecidedVersion(1, 1, 0),
                1,
                0,
                Map.of());
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < bounds.holders(); i++) {
            nodes.add(new Node(LeaseHolder.start(i, 0), 0, -Bounds.LAG_EVERY, 0, 0));
        }
        return new State(0, nodes, a, null, a.decided(), Set.of(), Set.of(), 0, 0);
    }

    /** What a holder would do if it decided something now. */
    EffectiveGenerations acts(State s, int i) {
        Node n = s.nodes().get(i);
        int clock = s.time() - n.lag();
        EffectiveGenerations acts =
                n.holder().effectiveGenerations(mistake == AgreementMistake.LEASE_NOT_LOOKED_AT ? n.seenAt() : clock);
        boolean both = acts.first() != acts.second();
        return both && mistake == AgreementMistake.STAGED_ALONE ? EffectiveGenerations.of(acts.second()) : acts;
    }

    /** What is wrong at this moment; null if nothing is. */
    String breach(State s) {
        for (int i = 0; i < s.nodes().size(); i++) {
            EffectiveGenerations acts = acts(s, i);
            if (!acts.includes(s.authority().decided().inForce())) {
                return "node " + i + " acts by " + text(acts) + ", in force is "
                        + s.authority().decided().inForce();
            }
            for (int j = 0; j < i; j++) {
                if (acts.contradicts(acts(s, j))) {
                    return "node " + i + " acts by " + text(acts) + ", node " + j + " by " + text(acts(s, j));
                }
            }
        }
        return null;
    }

    private static String text(EffectiveGenerations a) {
        return a.inDoubt()
                ? "none"
                : a.first() == a.second() ? Long.toString(a.first()) : a.first() + " and " + a.second();
    }

    /** The moments that may follow, by what leads to them. */
    Map<String, State> next(State s) {
        Map<String, State> next = new LinkedHashMap<>();
        ticks(s, next);
        for (int i = 0; i < s.nodes().size(); i++) {
            node(s, i, next);
        }
        for (LeaseRequest a : s.asks()) {
            next.put("asked " + a, asked(s, s.authority(), a, true));
            if (s.deposed() != null) {
                next.put("deposed asked " + a, asked(s, s.deposed(), a, false));
            }
        }
        for (Sent g : s.grants()) {
            next.put("told " + g, told(s, g));
        }
        LeaseAuthority a = s.authority();
        if (s.proposals() < bounds.proposals()
                && a.evaluateProposal(a.decided().inForce()) == LeaseAuthority.ProposalVerdict.STAGED) {
            next.put("propose", decided(s, a.stage(), s.proposals() + 1));
        }
        if (a.decided().staged() != 0) {
            next.put("abandon", decided(s, a.abandon(), s.proposals()));
            if (a.mayActivate(s.time())) {
                next.put("activate", decided(s, a.activate(s.time()), s.proposals()));
            } else if (mistake == AgreementMistake.NOBODY_WAITED_FOR) {
                next.put(
                        "activate",
                        decided(
                                s,
                                new LeaseAuthority(
                                        a.terms(),
                                        new DecidedVersion(
                                                a.decided().version() + 1,
                                                a.decided().staged(),
                                                0),
                                        a.lastGeneration(),
                                        a.earlierLeasesExpireMs(),
                                        a.holders()),
                                s.proposals()));
            }
        }
        if (s.takeovers() < bounds.takeovers()) {
            next.put("takeover", takeover(s));
        }
        return next;
    }

    private void ticks(State s, Map<String, State> next) {
        if (s.time() >= bounds.ticks()) {
            return;
        }
        // Which clocks miss this tick: every choice that the terms allow.
        for (int which = 0; which < 1 << s.nodes().size(); which++) {
            List<Node> nodes = new ArrayList<>();
            boolean may = true;
            for (int i = 0; i < s.nodes().size(); i++) {
                Node n = s.nodes().get(i);
                boolean lags = (which >> i & 1) == 1;
                may &= !lags || s.time() - n.laggedAt() >= Bounds.LAG_EVERY;
                nodes.add(lags ? new Node(n.holder(), n.lag() + 1, s.time(), n.seenAt(), n.starts()) : n);
            }
            if (may) {
                next.put(
                        "tick, missed by " + which,
                        new State(
                                s.time() + 1,
                                nodes,
                                s.authority(),
                                s.deposed(),
                                s.before(),
                                s.asks(),
                                s.grants(),
                                s.proposals(),
                                s.takeovers()));
            }
        }
    }

    private void node(State s, int i, Map<String, State> next) {
        Node n = s.nodes().get(i);
        int clock = s.time() - n.lag();
        if (n.holder().lastRequestNumber() < bounds.asks()) {
            LeaseHolder h = n.holder().sendRequest(clock);
            Set<LeaseRequest> asks = new TreeSet<>(AgreementModel::order);
            asks.addAll(s.asks());
            asks.add(h.lastRequest());
            State moved = with(s, i, h, clock, n.starts());
            next.put(
                    "node " + i + " asks",
                    new State(
                            moved.time(),
                            moved.nodes(),
                            moved.authority(),
                            moved.deposed(),
                            moved.before(),
                            asks,
                            without(s.grants(), i),
                            moved.proposals(),
                            moved.takeovers()));
        }
        if (n.starts() < bounds.starts()) {
            State moved = with(s, i, LeaseHolder.start(i, n.holder().incarnation() + 1), clock, n.starts() + 1);
            next.put(
                    "node " + i + " starts again",
                    new State(
                            moved.time(),
                            moved.nodes(),
                            moved.authority(),
                            moved.deposed(),
                            moved.before(),
                            moved.asks(),
                            without(s.grants(), i),
                            moved.proposals(),
                            moved.takeovers()));
        }
    }

    /** Answers to questions before the last one change nothing any more, whenever they come: not to be told apart. */
    private Set<Sent> without(Set<Sent> grants, int to) {
        if (mistake == AgreementMistake.ANY_ANSWER_TAKEN) {
            return grants;
        }
        Set<Sent> left = new LinkedHashSet<>(grants);
        left.removeIf(g -> g.to() == to);
        return left;
    }

    private static int order(LeaseRequest a, LeaseRequest b) {
        return a.holder() != b.holder()
                ? Integer.compare(a.holder(), b.holder())
                : a.incarnation() != b.incarnation()
                        ? Long.compare(a.incarnation(), b.incarnation())
                        : Long.compare(a.requestNumber(), b.requestNumber());
    }

    private State with(State s, int i, LeaseHolder h, int clock, int starts) {
        List<Node> nodes = new ArrayList<>(s.nodes());
        Node n = nodes.get(i);
        int seen = mistake == AgreementMistake.LEASE_NOT_LOOKED_AT ? clock : 0;
        nodes.set(i, new Node(h, n.lag(), n.laggedAt(), seen, starts));
        return new State(
                s.time(),
                nodes,
                s.authority(),
                s.deposed(),
                s.before(),
                s.asks(),
                s.grants(),
                s.proposals(),
                s.takeovers());
    }

    private State asked(State s, LeaseAuthority by, LeaseRequest a, boolean current) {
        LeaseAuthority next = by.onRequest(s.time(), a);
        LeaseGrant g = next.grant(a);
        if (mistake == AgreementMistake.HEARD_WHEN_SAID || mistake == AgreementMistake.RENEWAL_FORGOTTEN) {
            LeaseAuthority.GrantedLease before = by.holders().get(a.holder());
            LeaseAuthority.GrantedLease after = next.holders().get(a.holder());
            Map<Integer, LeaseAuthority.GrantedLease> holders = new TreeMap<>(next.holders());
            holders.put(
                    a.holder(),
                    mistake == AgreementMistake.HEARD_WHEN_SAID
                            ? new LeaseAuthority.GrantedLease(
                                    after.untilMs(), next.decided().version())
                            : new LeaseAuthority.GrantedLease(
                                    before == null ? after.untilMs() : before.untilMs(), after.acknowledgedVersion()));
            next = new LeaseAuthority(
                    next.terms(), next.decided(), next.lastGeneration(), next.earlierLeasesExpireMs(), holders);
        }
        Set<Sent> sent = new LinkedHashSet<>(s.grants());
        LeaseHolder asker = s.nodes().get(a.holder()).holder();
        if (a.incarnation() == asker.incarnation() && a.requestNumber() == asker.lastRequestNumber()
                || mistake == AgreementMistake.ANY_ANSWER_TAKEN) {
            sent.add(new Sent(a.holder(), g));
        }
        return new State(
                s.time(),
                s.nodes(),
                current ? next : s.authority(),
                current ? s.deposed() : next,
                s.before(),
                s.asks(),
                sent,
                s.proposals(),
                s.takeovers());
    }

    private State told(State s, Sent sent) {
        Node n = s.nodes().get(sent.to());
        LeaseHolder h = n.holder();
        int clock = s.time() - n.lag();
        LeaseGrant g = sent.grant();
        if (mistake == AgreementMistake.ANY_ANSWER_TAKEN) {
            g = new LeaseGrant(h.incarnation(), h.lastRequestNumber(), g.decided(), g.leaseMs());
        }
        LeaseHolder after = h.onGrant(g);
        if (after != h && mistake == AgreementMistake.LEASE_FROM_ANSWER) {
            after = new LeaseHolder(
                    h.id(),
                    h.incarnation(),
                    h.lastRequestNumber(),
                    h.lastRequestAtMs(),
                    after.decided(),
                    clock + g.leaseMs(),
                    h.rejectedGeneration());
        }
        return with(s, sent.to(), after, clock, n.starts());
    }

    private static State decided(State s, LeaseAuthority a, int proposals) {
        return new State(
                s.time(),
                s.nodes(),
                a,
                s.deposed(),
                s.authority().decided(),
                s.asks(),
                s.grants(),
                proposals,
                s.takeovers());
    }

    private State takeover(State s) {
        LeaseAuthority old = s.authority();
        DecidedVersion known = mistake == AgreementMistake.WORD_NOT_DURABLE ? s.before() : old.decided();
        LeaseAuthority next = LeaseAuthority.start(old.terms(), s.time(), known, old.lastGeneration());
        if (mistake == AgreementMistake.TAKEOVER_WITHOUT_WAIT) {
            next = new LeaseAuthority(next.terms(), next.decided(), next.lastGeneration(), s.time(), Map.of());
        }
        return new State(
                s.time(),
                s.nodes(),
                next,
                mistake == AgreementMistake.DEPOSED_GRANTS ? old : null,
                s.before(),
                s.asks(),
                s.grants(),
                s.proposals(),
                s.takeovers() + 1);
    }

    /** Whether all nodes act by a generation that was proposed. */
    boolean reached(State s) {
        for (int i = 0; i < s.nodes().size(); i++) {
            if (!Objects.equals(acts(s, i), EffectiveGenerations.of(2))) {
                return false;
            }
        }
        return true;
    }
}

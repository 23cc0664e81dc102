package brackenbridge.fleet.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Who is alive. After SWIM (Das, Gupta and Motivala, DSN 2002: others are asked before a member is suspected, suspicion
 * comes before death, a greater incarnation refutes) and Lifeguard (Dadgar, Phillips and Currey, 2018: who is itself
 * slow doubts others later, a suspicion that others confirm runs out sooner, the suspected one is told first).
 *
 * <p>Two things are this class's own. What counts is <i>when a member was last surely alive</i>, by this member's clock
 * and never too late: a beat says which beat of ours its sender has heard and how long it has held it, so that what it
 * tells is no older than our beat and the hold together. Beats that stood in a full line for ten seconds prove nothing
 * about now. Such evidence is handed on with its age, so a member that anybody hears is alive for all. And time that
 * this member stood still itself is taken from every silence.
 *
 * <p>Not for several threads at once. Times are milliseconds of one clock that never goes back.
 */
public final class FailureDetector {
    /** Silence in beats after which others are asked. */
    static final double ASK_BEATS = 3;
    /** Greatest doubt of oneself: times of suspicion are multiplied by one more than it at most. */
    static final int DOUBT_MOST = 4;

    private static final int SENT = 256;
    private static final int NEWS_BEATS = 6;
    private static final int CONFIRMERS = 3;
    private static final int SUSPECTS_TOLD = 16;
    private static final int NEWS_TOLD = 16;
    private static final int ROTATED = 2;
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final String me;
    private long life;
    private final long instance;
    private final PeerLimits limits;
    private final Random random;
    private final Map<String, Peer> peers = new HashMap<>();
    private final List<Peer> order = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Conflict> conflicts = new ArrayList<>();
    private int incarnation;
    private double startedMs = NEVER;
    private long pastLife = Long.MIN_VALUE;
    private long reportedInstance;
    private int doubt;
    private int calmTicks;
    private double lastTick = NEVER;
    private double lastAwake = NEVER;
    private double asksFrom = NEVER;
    private boolean asked;
    private boolean answered;
    private long suspicions;
    private long falseSuspicions;
    private long refutations;
    private long lateTicks;
    private long deaths;

    /** A peer's standing is another. */
    record Change(String peer, MemberStatus standing, long life) {}

    /** A beat that is to be sent. */
    record Out(String to, SwimMessage beat) {}

    /** Two processes live under one name; it may be this member's own. */
    record Conflict(String name, long life, long instance, long otherLife, long otherInstance) {}

    private static final class Peer {
        final String name;
        final double[] sentMs = new double[SENT];
        final Set<String> confirmed = new HashSet<>();
        final Set<String> waiting = new HashSet<>();
        MemberStatus standing = MemberStatus.UNKNOWN;
        long life;
        long instance;
        int incarnation;
        int goneIncarnation = -1;
        boolean left;
        boolean known;
        double heardMs = NEVER;
        double directMs = NEVER;
        double changedMs = NEVER;
        double learnedMs = NEVER;
        double forgivenMs;
        double forgivenAt = NEVER;
        boolean linked;
        long linkInstance;
        double linkedMs;
        int sequence;
        int echo;
        double echoMs;
        int heardSequence;
        double heardSequenceMs;
        double deafMs;
        String helper;
        int askTurn;
        Conflict conflict;
        double conflictMs = NEVER;
        long reportedInstance;

        Peer(String name) {
            this.name = name;
        }
    }

    /** For this member in this life. */
    FailureDetector(String me, long life, long instance, PeerLimits limits, long seed) {
        this.me = me;
        this.life = life;
        this.instance = instance;
        this.limits = limits;
        this.random = new Random(seed);
    }

    /** This member has taken another life; its links, which told the earlier one, are to be closed. */
    void renew(long nextLife) {
        life = nextLife;
        incarnation = 0;
        reportedInstance = 0;
    }

    /**
     * The greatest life, at least its own, by which peers know an ended process of this member: taken before the
     * time of day went back, or kept on a disk that was lost. {@link Long#MIN_VALUE} if there is none.
     */
    long pastLife() {
        return pastLife >= life ? pastLife : Long.MIN_VALUE;
    }

    /** These are the others from now on; who is no longer among them is gone, and forgotten. */
    void update(Collection<String> names) {
        for (Iterator<Peer> i = order.iterator(); i.hasNext(); ) {
            Peer p = i.next();
            if (!names.contains(p.name)) {
                if (p.standing != MemberStatus.GONE && p.standing != MemberStatus.UNKNOWN) {
                    changes.add(new Change(p.name, MemberStatus.GONE, p.life));
                }
                peers.remove(p.name);
                i.remove();
            }
        }
        for (String name : names) {
            if (!name.equals(me) && !peers.containsKey(name)) {
                Peer p = new Peer(name);
                peers.put(name, p);
                order.add(p);
            }
        }
        // Who is asked and told of in which turn differs from member to member.
        Collections.shuffle(order, random);
    }

    /** A link to this peer stands; its handshake began at {@code begunMs}. What is to be sent comes back. */
    List<Out> linked(double now, double begunMs, String name, long itsLife, long itsInstance) {
        List<Out> out = new ArrayList<>();
        Peer p = peers.get(name);
        started(now);
        if (p == null) {
            return out;
        }
        p.linked = true;
        p.linkInstance = itsInstance;
        p.linkedMs = now;
        p.echo = 0;
        p.echoMs = begunMs;
        p.sequence = 0;
        p.heardSequence = 0;
        p.heardSequenceMs = now;
        p.deafMs = 0;
        if (!p.known || itsLife > p.life) {
            born(now, p, itsLife, itsInstance, MemberStatus.ALIVE);
        } else if (itsLife < p.life || itsInstance != p.instance) {
            conflict(now, name, itsLife, itsInstance);
            return out;
        }
        evidence(p, begunMs);
        p.directMs = Math.max(p.directMs, begunMs);
        judge(now, p);
        out.add(new Out(name, beat(now, p, 0, List.of())));
        return out;
    }

    /** The link to this peer has ended. */
    void unlinked(String name) {
        Peer p = peers.get(name);
        if (p != null) {
            p.linked = false;
            p.deafMs = 0;
            p.waiting.clear();
        }
    }

    /** Time goes on; to be called each beat. */
    List<Out> tick(double now) {
        started(now);
        if (!awake(now) && now - lastTick <= 1.5 * limits.beatMs() && ++calmTicks >= 4) {
            calmTicks = 0;
            doubt = Math.max(0, doubt - 1);
        }
        lastTick = now;
        countAnswers(now);
        List<String> silent = new ArrayList<>();
        for (Peer p : order) {
            judge(now, p);
            boolean doubted = p.known && !p.left && p.standing != MemberStatus.GONE;
            if (doubted && now - p.directMs - p.forgivenMs > ASK_BEATS * limits.beatMs()) {
                silent.add(p.name);
            } else if (!doubted || p.heardMs == p.directMs) {
                p.helper = null;
            }
        }
        Map<String, List<String>> asks = helpers(silent);
        List<Out> out = new ArrayList<>();
        for (Peer p : order) {
            if (p.linked) {
                List<String> wanted = asks.getOrDefault(p.name, List.of());
                out.add(new Out(p.name, beat(now, p, wanted.isEmpty() ? 0 : SwimMessage.NOW, wanted)));
            }
        }
        return out;
    }

    /** A beat has come over the link to this peer. What is to be sent at once comes back. */
    List<Out> took(double now, String from, long itsLife, long itsInstance, SwimMessage beat) {
        List<Out> out = new ArrayList<>();
        Peer p = peers.get(from);
        if (p == null) {
            return out;
        }
        // Guards against a stall that a message tells of before the next beat does.
        awake(now);
        double at = sentAt(now, p, beat);
        if (p.known && (itsLife != p.life || itsInstance != p.instance)) {
            if (itsLife < p.life && p.heardMs < p.linkedMs) {
                // The later life gave no sign since the earlier one linked: it has ended, and its successor, which
                // began under an earlier time of day, has not heard of it yet.
                out.add(new Out(from, beat(now, p, SwimMessage.ANSWER, List.of(), List.of(entryOf(now, p)))));
            } else if (itsLife == p.life || at > p.learnedMs) {
                // Sent after another process of this name was heard of: both live.
                conflict(now, from, itsLife, itsInstance);
            }
            return out;
        }
        evidence(p, at);
        p.directMs = Math.max(p.directMs, at);
        if (beat.sequence() > p.heardSequence) {
            p.heardSequence = beat.sequence();
            p.heardSequenceMs = now;
            p.deafMs = p.sequence == p.echo ? 0 : Math.max(0, at - unheardSince(p));
        }
        incarnation(now, p, beat.incarnation());
        if (beat.has(SwimMessage.FAREWELL)) {
            left(now, p);
        }
        if (beat.has(SwimMessage.ANSWER)) {
            answered = true;
        }
        List<SwimMessage.Entry> tell = new ArrayList<>();
        for (SwimMessage.Entry e : beat.entries()) {
            entry(now, p, at, e, tell);
        }
        judge(now, p);
        for (String name : beat.asks()) {
            Peer q = peers.get(name);
            if (q != null && q != p && q.known) {
                tell.add(entryOf(now, q));
                if (q.linked && now - q.directMs > limits.beatMs()) {
                    if (q.waiting.isEmpty()) {
                        out.add(new Out(name, beat(now, q, SwimMessage.NOW, List.of())));
                    }
                    q.waiting.add(from);
                }
            }
        }
        if (!tell.isEmpty() || beat.has(SwimMessage.NOW)) {
            int flags = beat.asks().isEmpty() ? 0 : SwimMessage.ANSWER;
            out.add(new Out(from, beat(now, p, flags, List.of(), tell)));
        }
        for (String asker : p.waiting) {
            Peer q = peers.get(asker);
            if (q != null && q.linked) {
                out.add(new Out(asker, beat(now, q, SwimMessage.ANSWER, List.of(), List.of(entryOf(now, p)))));
            }
        }
        p.waiting.clear();
        return out;
    }

    /** The beats that tell all linked peers that this member ends. */
    List<Out> farewell(double now) {
        List<Out> out = new ArrayList<>();
        for (Peer p : order) {
            if (p.linked) {
                out.add(new Out(p.name, beat(now, p, SwimMessage.FAREWELL, List.of())));
            }
        }
        return out;
    }

    /** This member itself did not read for so long what this peer sent: that is no silence of the peer. */
    void excuse(double now, String name, double ms) {
        Peer p = peers.get(name);
        if (p != null) {
            forgive(p, ms, now);
        }
    }

    /** Another process of this name was met; both are told in the beats that follow. */
    void conflict(double now, String name, long otherLife, long otherInstance) {
        Peer p = peers.get(name);
        if (p != null && p.known) {
            p.conflict = new Conflict(name, p.life, p.instance, otherLife, otherInstance);
            p.conflictMs = now;
            report(p, p.conflict);
        }
    }

    /** What has changed since the last call. */
    List<Change> changes() {
        List<Change> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    /** Conflicts that were found since the last call, each once. */
    List<Conflict> conflicts() {
        List<Conflict> taken = List.copyOf(conflicts);
        conflicts.clear();
        return taken;
    }

    MemberStatus standing(String name) {
        Peer p = peers.get(name);
        return p == null ? MemberStatus.UNKNOWN : p.standing;
    }

    /** The latest life heard of; {@link Long#MIN_VALUE} if none. */
    long lifeOf(String name) {
        Peer p = peers.get(name);
        return p == null || !p.known ? Long.MIN_VALUE : p.life;
    }

    /** The process of that life; 0 if none. */
    long instanceOf(String name) {
        Peer p = peers.get(name);
        return p == null ? 0 : p.instance;
    }

    /** When this peer was last surely alive, by its own word over its link. */
    double directMs(String name) {
        Peer p = peers.get(name);
        return p == null ? NEVER : p.directMs;
    }

    /** For how long the peer had not heard what it was sent, by its last beat: we hear it, it may not hear us. */
    double deafMs(String name) {
        Peer p = peers.get(name);
        return p == null || !p.linked ? 0 : p.deafMs;
    }

    int doubt() {
        return doubt;
    }

    long suspicions() {
        return suspicions;
    }

    /** Suspicions that ended with the peer alive in the same life. */
    long falseSuspicions() {
        return falseSuspicions;
    }

    /** Suspicions of this member itself that it refuted. */
    long refutations() {
        return refutations;
    }

    long lateTicks() {
        return lateTicks;
    }

    long deaths() {
        return deaths;
    }

    /** How many peers stand so. */
    int count(MemberStatus standing) {
        int count = 0;
        for (Peer p : order) {
            count += p.standing == standing ? 1 : 0;
        }
        return count;
    }

    /** How many peers are heard but do not hear this member. */
    int oneWay() {
        int count = 0;
        for (Peer p : order) {
            count += p.linked && p.standing == MemberStatus.ALIVE && p.deafMs > limits.suspectMs() ? 1 : 0;
        }
        return count;
    }

    // Evidence.

    /** No later than the sending of this beat. */
    private double sentAt(double now, Peer p, SwimMessage beat) {
        if (beat.echo() > p.echo && beat.echo() <= p.sequence) {
            p.echoMs = beat.echo() > p.sequence - SENT ? p.sentMs[beat.echo() % SENT] : p.echoMs;
            p.echo = beat.echo();
        }
        if (beat.echo() == p.echo) {
            return Math.min(now, p.echoMs + beat.heldMs());
        }
        // An old one that was overtaken, or a count that never was: proves no more than that the link was there.
        return Math.min(now, p.linkedMs);
    }

    /** When the first beat was sent that the peer has not heard: nobody is deaf to what was never said. */
    private static double unheardSince(Peer p) {
        return p.echo + 1 > p.sequence - SENT ? p.sentMs[(p.echo + 1) % SENT] : p.echoMs;
    }

    private void evidence(Peer p, double at) {
        if (at > p.heardMs) {
            p.heardMs = at;
            p.forgivenMs = Math.min(p.forgivenMs, Math.max(0, p.forgivenAt - at));
        }
    }

    /** Notes that this member runs; if it did not for a while, that time is nobody's silence. */
    private boolean awake(double now) {
        double gap = lastAwake == NEVER ? 0 : now - lastAwake;
        lastAwake = now;
        if (gap <= 2 * limits.beatMs()) {
            return false;
        }
        lateTicks++;
        calmTicks = 0;
        doubt = Math.min(DOUBT_MOST, doubt + 1);
        for (Peer p : order) {
            forgive(p, gap - limits.beatMs(), now);
        }
        return true;
    }

    private void forgive(Peer p, double ms, double now) {
        p.forgivenMs += ms;
        p.forgivenAt = now;
    }

    private void born(double now, Peer p, long itsLife, long itsInstance, MemberStatus standing) {
        p.known = true;
        p.life = itsLife;
        p.instance = itsInstance;
        p.incarnation = 0;
        p.goneIncarnation = -1;
        p.left = false;
        p.confirmed.clear();
        p.learnedMs = now;
        p.changedMs = now;
        p.heardMs = NEVER;
        p.directMs = NEVER;
        p.forgivenMs = 0;
        p.conflictMs = NEVER;
        stand(now, p, standing, true);
    }

    private void left(double now, Peer p) {
        if (!p.left) {
            p.left = true;
            p.changedMs = now;
            stand(now, p, MemberStatus.GONE, false);
        }
    }

    private void incarnation(double now, Peer p, int heard) {
        if (heard > p.incarnation) {
            p.incarnation = heard;
            p.confirmed.clear();
            p.changedMs = now;
        }
    }

    /** What a peer tells of a member. Answers that it should have at once are added to {@code tell}. */
    private void entry(double now, Peer from, double at, SwimMessage.Entry e, List<SwimMessage.Entry> tell) {
        if (e.name().equals(me)) {
            mine(at, e);
            return;
        }
        Peer q = peers.get(e.name());
        if (q == null || q == from || e.standing() == MemberStatus.UNKNOWN || q.known && e.life() < q.life) {
            return;
        }
        if (!q.known || e.life() > q.life) {
            // A process that is dead already is none to be told as alive first.
            born(now, q, e.life(), e.instance(), e.standing());
            q.goneIncarnation = e.standing() == MemberStatus.GONE ? e.incarnation() : -1;
            if (e.ageMs() < 0) {
                evidence(q, at);
            }
        }
        if (e.instance() != q.instance) {
            conflict(now, q.name, e.life(), e.instance());
            return;
        }
        incarnation(now, q, e.incarnation());
        if (e.ageMs() >= 0 && at - e.ageMs() > q.heardMs) {
            q.helper = from.name;
            evidence(q, at - e.ageMs());
        }
        if (e.left()) {
            left(now, q);
        } else if (e.standing() == MemberStatus.ALIVE) {
            q.confirmed.remove(from.name);
        } else if (e.incarnation() >= q.incarnation) {
            q.confirmed.add(from.name);
            if (!q.left && silence(now, q) < ASK_BEATS * limits.beatMs() && tell.size() < SUSPECTS_TOLD) {
                tell.add(entryOf(now, q));
            }
        }
        judge(now, q);
    }

    /** What a peer holds of this member: doubts are refuted by a greater incarnation. */
    private void mine(double at, SwimMessage.Entry e) {
        if (e.life() > life || e.life() == life && e.instance() != instance) {
            if (ended(at, e)) {
                pastLife = Math.max(pastLife, e.life());
            } else if (reportedInstance != e.instance()) {
                reportedInstance = e.instance();
                conflicts.add(new Conflict(me, life, instance, e.life(), e.instance()));
            }
        } else if (e.life() == life
                && e.standing() != MemberStatus.ALIVE
                && e.standing() != MemberStatus.UNKNOWN
                && e.incarnation() >= incarnation
                && e.incarnation() < Integer.MAX_VALUE) {
            incarnation = e.incarnation() + 1;
            refutations++;
        }
    }

    /** Whether the other process of this member's name is an earlier one, not a second one that lives. */
    private boolean ended(double at, SwimMessage.Entry e) {
        return e.standing() == MemberStatus.GONE || e.ageMs() >= 0 && at - e.ageMs() < startedMs;
    }

    private void started(double now) {
        startedMs = startedMs == NEVER ? now : startedMs;
    }

    private void report(Peer p, Conflict conflict) {
        long other = conflict.otherInstance();
        if (p.reportedInstance != other) {
            p.reportedInstance = other;
            conflicts.add(conflict);
        }
    }

    // Judgement.

    private double silence(double now, Peer p) {
        return Math.max(0, now - p.heardMs - p.forgivenMs);
    }

    private void judge(double now, Peer p) {
        if (!p.known || p.left) {
            return;
        }
        double silence = silence(now, p);
        double suspect = limits.suspectMs() * (1 + doubt);
        if (p.standing == MemberStatus.GONE) {
            if (p.incarnation > p.goneIncarnation && silence < suspect) {
                stand(now, p, MemberStatus.ALIVE, false);
            }
        } else if (silence < suspect) {
            stand(now, p, MemberStatus.ALIVE, false);
        } else if (silence < goneMs(p)) {
            stand(now, p, MemberStatus.SUSPECT, false);
        } else {
            p.goneIncarnation = p.incarnation;
            stand(now, p, MemberStatus.GONE, false);
        }
    }

    /** Lifeguard's timeout: from twice goneMs towards goneMs with each other member that suspects the same one. */
    private double goneMs(Peer suspect) {
        int others = 0;
        int agree = 0;
        for (Peer p : order) {
            if (p != suspect && p.linked && p.standing == MemberStatus.ALIVE) {
                others++;
                agree += suspect.confirmed.contains(p.name) ? 1 : 0;
            }
        }
        int wanted = Math.min(CONFIRMERS, others);
        double part = wanted == 0 ? 1 : Math.log(1 + Math.min(agree, wanted)) / Math.log(1 + wanted);
        return limits.goneMs() * (2 - part) * (1 + doubt);
    }

    private void stand(double now, Peer p, MemberStatus standing, boolean newLife) {
        if (p.standing == standing && !newLife) {
            return;
        }
        if (standing == MemberStatus.SUSPECT) {
            suspicions++;
        } else if (standing == MemberStatus.GONE && !p.left) {
            deaths++;
        } else if (p.standing == MemberStatus.SUSPECT && !newLife) {
            falseSuspicions++;
        }
        if (standing == MemberStatus.ALIVE) {
            p.confirmed.clear();
        }
        p.standing = standing;
        p.changedMs = now;
        changes.add(new Change(p.name, standing, p.life));
    }

    // Questions and beats.

    /** Lifeguard's missing answers: if none of those who were asked says anything, it is rather we who are slow. */
    private void countAnswers(double now) {
        if (asked && now - asksFrom > ASK_BEATS * limits.beatMs()) {
            if (!answered) {
                doubt = Math.min(DOUBT_MOST, doubt + 1);
                calmTicks = 0;
            }
            asked = false;
        }
    }

    /** Who is asked of whom. */
    private Map<String, List<String>> helpers(List<String> silent) {
        Map<String, List<String>> asks = new HashMap<>();
        for (String name : silent) {
            Peer q = peers.get(name);
            int wanted = limits.asked();
            if (q.helper != null && ask(asks, peers.get(q.helper), name)) {
                wanted--;
            }
            for (int i = 0; i < order.size() && wanted > 0; i++) {
                Peer h = order.get(q.askTurn++ % order.size());
                if (q.askTurn == Integer.MAX_VALUE) {
                    q.askTurn = 0;
                }
                if (h != q && !h.name.equals(q.helper) && ask(asks, h, name)) {
                    wanted--;
                }
            }
        }
        if (!asks.isEmpty() && !asked) {
            asked = true;
            answered = false;
            asksFrom = lastTick;
        }
        return asks;
    }

    private static boolean ask(Map<String, List<String>> asks, Peer helper, String name) {
        if (helper == null || !helper.linked || helper.standing != MemberStatus.ALIVE) {
            return false;
        }
        List<String> list = asks.computeIfAbsent(helper.name, k -> new ArrayList<>());
        return list.size() < SwimMessage.ASKS && list.add(name);
    }

    private SwimMessage beat(double now, Peer to, int flags, List<String> asks) {
        List<SwimMessage.Entry> entries = new ArrayList<>();
        int suspects = 0;
        int news = 0;
        int start = order.isEmpty() ? 0 : random.nextInt(order.size());
        for (int i = 0; i < order.size(); i++) {
            Peer p = order.get((start + i) % order.size());
            if (p == to || !p.known) {
                continue;
            }
            if (p.standing == MemberStatus.SUSPECT && suspects < SUSPECTS_TOLD) {
                suspects++;
                entries.add(entryOf(now, p));
            } else if (now - p.changedMs < NEWS_BEATS * limits.beatMs() && news < NEWS_TOLD) {
                news++;
                entries.add(entryOf(now, p));
            } else if (i < ROTATED) {
                entries.add(entryOf(now, p));
            }
        }
        return beat(now, to, flags, asks, entries);
    }

    private SwimMessage beat(double now, Peer to, int flags, List<String> asks, List<SwimMessage.Entry> told) {
        List<SwimMessage.Entry> entries = new ArrayList<>();
        if (now - to.conflictMs < 4 * NEWS_BEATS * limits.beatMs()) {
            Conflict c = to.conflict;
            boolean first = to.linkInstance == c.instance();
            entries.add(new SwimMessage.Entry(
                    to.name,
                    first ? c.otherLife() : c.life(),
                    first ? c.otherInstance() : c.instance(),
                    0,
                    MemberStatus.ALIVE,
                    false,
                    -1));
        } else if (to.known && (to.standing == MemberStatus.SUSPECT || to.standing == MemberStatus.GONE)) {
            // The one that is doubted hears of it first, and can refute.
            entries.add(entryOf(now, to));
        }
        for (SwimMessage.Entry e : told) {
            if (entries.size() < SwimMessage.ENTRIES) {
                entries.add(e);
            }
        }
        to.sequence++;
        to.sentMs[to.sequence % SENT] = now;
        double held = Math.max(0, now - to.heardSequenceMs);
        return new SwimMessage(flags, to.sequence, to.heardSequence, held, incarnation, entries, asks);
    }

    private SwimMessage.Entry entryOf(double now, Peer p) {
        double age = p.heardMs == NEVER ? -1 : now - p.heardMs;
        return new SwimMessage.Entry(p.name, p.life, p.instance, p.incarnation, p.standing, p.left, age);
    }
}

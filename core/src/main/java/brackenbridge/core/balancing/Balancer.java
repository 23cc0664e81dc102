package brackenbridge.core.balancing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * The decision module: Andersson and Kihl's controller. Its interface is {@link BalancerApi}, in
 * BalancerApi.java; docs/DESIGN.md says what was kept of the paper
 * and what was changed. One instance serves one sidecar, on one thread, and knows what its events told it.
 */
public final class Balancer implements BalancerApi {
    private static final long SECOND = 1_000_000;
    /** The paper's margin f: the part of the call's time that measured and queued time may fill. */
    private static final double F = 0.9;
    /** How often the slow decisions (reach, returns) are looked at. */
    private static final long TICK = SECOND / 4;
    /** Weight of the newest response in the estimate of a server's pace. */
    private static final double NEWEST = 0.3;
    /** Smallest reach of the rotation. */
    private static final int LEAST_REACH = 8;
    /** Calls in flight at a server, from all its callers, that the window makes room for. */
    private static final double CALLS_A_SERVER = 6;
    /** Answers of a class after which its mean is believed. */
    private static final int ENOUGH = 30;
    /** Response times over their best, below which the servers have room for more callers. */
    private static final double ROOM = 2;
    /** How many more calls a lower tier lets in than the first. */
    private static final double CALLED = 1.5;
    /** A tick's rise of the best mean, so that an old best fades within minutes. */
    private static final double BASE_RISE = 1.001;
    /** Pace from which a server counts as slow. */
    private static final double SLOW = 1.5;
    /** Calls open whatever the rate of answers. */
    private static final int LEAST_OPEN = 2;
    /** Part of a server's late answers that are errors, from which it is taken out. */
    private static final double MOSTLY = 0.6;
    /** Part of a class's outcomes that are errors, up to which each error is the server's own. */
    private static final double SELDOM = 0.2;
    /** The same for connections that broke: more than one of late. */
    private static final double OFTEN = 0.4;
    /** Part of errors below which a server's strikes are forgotten. */
    private static final double FORGIVEN = 0.1;
    /** Servers may drop a call with less time left than this without a word, which then tells nothing of them. */
    private static final long BRIEF = SECOND / 40;
    private static final double GOLDEN = 0.6180339887498949;

    private Settings settings;
    private final Actions out;
    private final SplittableRandom random;
    private final SlowStart slowStart;
    private final Map<String, RequestClassState> kinds = new HashMap<>();
    private final Map<String, TokenBucket> guarantees = new HashMap<>();
    private final Map<String, TokenBucket> shares = new HashMap<>();
    private final TokenBucket common = new TokenBucket();
    private int levels;
    private boolean anySafe;
    private final Map<Long, ServerState> servers = new LinkedHashMap<>();
    private final Map<Long, QueuedRequest> calls = new HashMap<>();
    private final PriorityQueue<ServerState> rotation = new PriorityQueue<>(
            Comparator.<ServerState>comparingDouble(s -> s.nextTurn).thenComparingLong(s -> s.id));
    private final ArrayDeque<ServerState> idle = new ArrayDeque<>();
    private final ArrayDeque<QueuedRequest> waiting = new ArrayDeque<>();
    private final PriorityQueue<QueuedRequest> expiry = new PriorityQueue<>(
            Comparator.<QueuedRequest>comparingLong(c -> c.expiresAt).thenComparingLong(c -> c.id));
    private final ArrayDeque<ServerState> trials = new ArrayDeque<>();
    private final ServerOrder order = new ServerOrder();
    /** Those that were in reach when the order was last laid out, or came into it since. */
    private final Set<ServerState> reached = new LinkedHashSet<>();
    /** Those at which calls wait, by the time at which they were first listed. */
    private final TreeSet<ServerState> awaited = new TreeSet<>(Comparator.comparingLong(s -> s.listIndex));
    /** Those that have left the list; each is forgotten with its last call. */
    private final Set<ServerState> removed = new LinkedHashSet<>();
    private long listed;
    private int reach = LEAST_REACH;
    private double virtualTime;
    private double congestion = 1;
    private int extra;
    private int open;
    private int holding;
    private int inFlight;
    private int ejected;
    private double peakNeed;
    private double retryBudget = 10;
    private double answeredPerSecond;
    private double ratePerSecond;
    private int answered;
    private int dropped;
    private long lastTick;
    private long expiryTimer = Long.MAX_VALUE;
    private boolean started;
    /** When the first request came; a node may stand ready for long before. */
    private long firstAt = Long.MIN_VALUE;

    /** Starts an instance. */
    public Balancer(Settings settings, Actions actions) {
        this.out = actions;
        this.random = new SplittableRandom(settings.seed());
        this.slowStart = new SlowStart(settings, actions, random);
        goBy(settings);
    }

    @Override
    public void onSettings(long now, Settings next) {
        slowStart.goBy(now, next);
        goBy(next);
        // Calls keep their class's rules; they are only ranked among the new levels.
        calls.values().forEach(c -> c.level = Math.min(c.level, levels - 1));
        servers.values().forEach(s -> s.rebuildQueues(levels, kinds.values()));
        arrange(now);
    }

    /** What was learned of a class stays with its name. */
    private void goBy(Settings next) {
        settings = next;
        Map<String, RequestClassState> before = new HashMap<>(kinds);
        kinds.clear();
        guarantees.clear();
        shares.clear();
        TreeSet<Double> worths = new TreeSet<>(Comparator.reverseOrder());
        for (RequestClass c : settings.classes()) {
            kinds.put(c.name(), RequestClassState.of(c, before.get(c.name())));
            worths.add(c.worth());
            if (!settings.tenants().isEmpty()) {
                worths.add(c.worth() * settings.overShareWorth());
            }
        }
        List<Double> ranks = new ArrayList<>(worths);
        levels = ranks.size();
        boolean safe = false;
        for (RequestClassState k : kinds.values()) {
            k.level = ranks.indexOf(k.rules.worth());
            k.overShareLevel = settings.tenants().isEmpty() ? k.level
                    : ranks.indexOf(k.rules.worth() * settings.overShareWorth());
            safe |= k.rules.effect() == Effect.SAFE;
        }
        anySafe = safe;
        for (Tenant t : settings.tenants()) {
            double quota = t.quotaPerSecond() / settings.peers();
            guarantees.computeIfAbsent(t.name(), n -> new TokenBucket()).setRate(quota / 16);
            if (quota > 0) {
                shares.computeIfAbsent(t.name(), n -> new TokenBucket()).setRate(quota);
            }
        }
    }

    // ---- List following ----

    @Override
    public void onList(long now, ListKind kind, List<Endpoint> entries) {
        start(now);
        slowStart.beforeChange(now, order, reach);
        if (kind != ListKind.CHANGES) {
            Set<Long> named = new HashSet<>();
            entries.forEach(e -> named.add(e.id()));
            for (ServerState s : servers.values()) {
                if (!named.contains(s.id)) {
                    list(s, new Endpoint(s.id, s.endpoint.cell(), s.endpoint.zone(), s.endpoint.weight(), s.endpoint.startedAt(),
                            EndpointState.REMOVED));
                }
            }
        }
        for (Endpoint e : entries) {
            ServerState s = servers.computeIfAbsent(e.id(), id -> new ServerState(e, listed++, levels, now));
            if (e.startedAt() != 0 && e.startedAt() != s.endpoint.startedAt()) {
                // An earlier start than the one before was told by a wall clock that was set back meanwhile, so it
                // does not say how long ago it was.
                s.warmingSince = e.startedAt() > s.endpoint.startedAt() ? Math.min(e.startedAt(), now) : now;
                s.budget.restarted(s.warmingSince);
                s.relativeTime = 1;
                s.measuredTime = 0;
                s.errorRatio = 0;
                s.consecutiveEjections = 0;
                comeBack(s);
            }
            list(s, e);
        }
        arrange(now);
        for (ServerState s : List.copyOf(removed)) {
            if (s.inFlight == 0) {
                // Guards the count of those taken out: one that left while out would stay in it for good, and
                // after a few such no failing server would ever be taken out again.
                comeBack(s);
                idle.remove(s);
                servers.remove(s.id);
                removed.remove(s);
            }
        }
    }

    /** What the list says of a server now; its place in the order follows, nothing else does. */
    private void list(ServerState s, Endpoint e) {
        order.remove(s, s.endpoint.zone());
        removed.remove(s);
        s.endpoint = e;
        if (e.state() == EndpointState.UP) {
            order.add(s);
        } else if (e.state() == EndpointState.REMOVED) {
            removed.add(s);
        }
    }

    /** Own zone first; in each zone the callers' arcs are spread evenly over the servers. */
    private void arrange(long now) {
        order.turn(settings.zone(), settings.me() * GOLDEN % 1);
        List<ServerState> before = List.copyOf(reached);
        before.forEach(s -> s.inSubset = false);
        reached.clear();
        for (int i = 0; i < order.size() && i < reach; i++) {
            order.get(i).inSubset = true;
            reached.add(order.get(i));
        }
        // First all turns, then the calls: guards against a call bound anew to a server that leaves as well.
        before.stream().filter(s -> !s.inSubset).forEach(this::endTurns);
        List<ServerState> left = awaited.stream().filter(s -> !s.inSubset).toList();
        for (ServerState s : List.copyOf(reached)) {
            join(now, s);
        }
        left.forEach(s -> leave(now, s));
    }

    private void join(long now, ServerState s) {
        s.inSubset = true;
        reached.add(s);
        if (s.inRotation || s.ejected) {
            return;
        }
        s.inRotation = true;
        s.nextTurn = virtualTime + random.nextDouble() * stride(now, s);
        rotation.add(s);
        free(now, s);
    }

    private void endTurns(ServerState s) {
        if (s.inRotation) {
            s.inRotation = false;
            rotation.remove(s);
        }
    }

    /** The server takes no new calls; those waiting there are bound anew. */
    private void leave(long now, ServerState s) {
        endTurns(s);
        List<QueuedRequest> moved = new ArrayList<>();
        for (ArrayDeque<QueuedRequest> q : s.queues) {
            moved.addAll(q);
        }
        moved.sort(Comparator.comparingLong((QueuedRequest c) -> c.arrival).thenComparingLong(c -> c.id));
        // All are let go first. Guards one that a joining server takes over against being placed again.
        moved.forEach(this::unhold);
        moved.forEach(c -> place(now, c));
    }

    // ---- Admission ----

    @Override
    public void onRequest(long now, Request r) {
        QueuedRequest c = admit(now, r, false);
        if (c != null) {
            place(now, c);
        }
    }

    /** Bound by the rotation and sent at once: until it is whole it holds no server from others. */
    @Override
    public void onLongRequest(long now, Request r) {
        QueuedRequest c = admit(now, r, true);
        ServerState s = c == null ? null : bind(now, c);
        if (s != null && canAdmit(now, s)) {
            send(now, c, s);
        } else if (c != null) {
            hold(now, c, null);
        }
    }

    @Override
    public void onWhole(long now, long request) {
        QueuedRequest c = calls.get(request);
        if (c != null && c.incomplete) {
            c.incomplete = false;
            open += c.finished ? 0 : 1;
            c.attempts.stream().filter(a -> !a.ended).forEach(this::count);
        }
    }

    /** The call, or null if it was refused. */
    private QueuedRequest admit(long now, Request r, boolean coming) {
        start(now);
        RequestClassState kind = kinds.get(r.className());
        if (kind == null) {
            throw new IllegalArgumentException("request of unknown class: " + r.className());
        }
        long left = Math.max(0, r.timeLeft());
        // An answer past the aim is worth little or nothing: the aim bounds tau.
        long tau = Math.min(left, kind.rules.aim());
        QueuedRequest c = new QueuedRequest(r, kind, settings.maxAttempts(), now, tau, left);
        calls.put(c.id, c);
        c.incomplete = coming;
        open += coming ? 0 : 1;
        // Guards the first clients: they may come seconds after the start, while no rate is known yet.
        firstAt = firstAt == Long.MIN_VALUE ? now : firstAt;
        c.level = level(now, c, r);
        if (open > admissible(now, c)) {
            finish(c, now);
            return null;
        }
        c.expiresAt = now + (c.level == 0 ? tau : (long) (tau * F));
        return c;
    }

    /**
     * EQ 1: A = tau r, with r the rate of answers of late: more open calls could not be answered in time.
     * Here tau is the time that an open call may take: a usual one at its best, and the wait that this call
     * and all that are at least as urgent can bear. Guards a class whose aim is near against calls that can
     * wait long and would keep every server busy. The less urgent a call, the smaller the part of that wait.
     * While the servers answer near their best they could do more: guards a surge against a rate that lags.
     */
    private double admissible(long now, QueuedRequest c) {
        double part = 0.75 * (levels == 1 ? 1 : 1 - 0.8 * c.level / (levels - 1));
        // A small floor: many callers that each keep a few calls too many open jam a slowed fleet.
        double floor = now - firstAt < SECOND ? LEAST_REACH : LEAST_OPEN;
        double wait = c.timeBudget * F - c.requestClass.bestMeanTime;
        double best = 0;
        double n = 1;
        for (RequestClassState k : kinds.values()) {
            wait = k.level <= c.level ? Math.min(wait, k.rules.aim() * F - k.bestMeanTime) : wait;
            best += k.bestMeanTime * k.answers;
            n += k.answers;
        }
        double tau = best / n + part * Math.max(0, wait);
        // What a lower tier turns away has cost the tiers above it already.
        tau *= settings.tier() > 0 ? CALLED : 1;
        return Math.min(settings.maxOpen(),
                floor + tau * ratePerSecond / SECOND * Math.max(1, Math.pow(ROOM / congestion, 2)));
    }

    /** The mean response time; before the first answer, a moment. */
    private double meanTime() {
        double sum = 0;
        int n = 0;
        for (RequestClassState k : kinds.values()) {
            if (k.meanTime > 0) {
                sum += k.meanTime;
                n++;
            }
        }
        return n == 0 ? TICK : sum / n;
    }

    /** Priority follows worth; within the guaranteed rate d the bucket lifts a call to the top. */
    private int level(long now, QueuedRequest c, Request r) {
        TokenBucket share = shares.get(r.tenant());
        if (share != null && !share.tryTake(now)) {
            return c.requestClass.overShareLevel;
        }
        TokenBucket guaranteed = share == null ? common : guarantees.get(r.tenant());
        return guaranteed.tryTake(now) ? 0 : c.requestClass.level;
    }

    // ---- Binding ----

    /** Binds a call by the rotation; a free server takes it at once, else it waits. */
    private void place(long now, QueuedRequest c) {
        if (!trials.isEmpty() && tryTrial(now, c)) {
            return;
        }
        ServerState s = bind(now, c);
        if (s != null && (s.inFlight > 0 || !canAdmit(now, s))) {
            ServerState other = idleFor(now, c);
            if (other == null && reach < order.inOwnZone()) {
                join(now, order.get(reach++));
                other = idleFor(now, c);
            }
            if (other != null) {
                s = other;
            }
        }
        if (s != null && s.inFlight < window() && canAdmit(now, s)) {
            send(now, c, s);
        } else {
            hold(now, c, s);
        }
    }

    /**
     * Calls in flight to one server: one, but more where too few callers share a server to fill it. Servers
     * hold a slot while they wait for the next tier: one call from each of two callers leaves them idle.
     * Callers' traffic may be uneven as well: the extra grows where the whole fleet is in reach, has room and
     * calls wait all the same.
     */
    private int window() {
        double part = Math.min(reach, order.size()) / (double) Math.max(1, order.size());
        return extra + (int) Math.max(1, Math.ceil(CALLS_A_SERVER / (settings.peers() * part)));
    }

    /** Whether more servers in reach would leave the callers at each few, or too few here are in order. */
    private boolean roomToReach() {
        return settings.peers() * (double) reach / order.size() < 2 * CALLS_A_SERVER
                || rotation.size() < reach / 2 || congestion < ROOM;
    }

    private ServerState bind(long now, QueuedRequest c) {
        ServerState first = null;
        for (int i = 0; i < 4 && !rotation.isEmpty(); i++) {
            ServerState s = rotation.poll();
            virtualTime = Math.max(virtualTime, s.nextTurn);
            s.nextTurn += stride(now, s);
            rotation.add(s);
            if (allowed(now, c, s)) {
                if (!c.wasSentTo(s) && suits(now, c, s) && canAdmit(now, s)) {
                    return s;
                }
                first = first == null ? s : first;
            }
        }
        if (first == null && c.mayHaveRun && allowed(now, c, c.firstRunServer) && !c.firstRunServer.ejected
                && c.firstRunServer.endpoint.state() == EndpointState.UP) {
            return c.firstRunServer;
        }
        return first;
    }

    private ServerState idleFor(long now, QueuedRequest c) {
        for (int i = idle.size(); i > 0; i--) {
            ServerState s = idle.poll();
            s.isIdle = false;
            if (!s.inRotation || s.inFlight > 0) {
                continue;
            }
            if (suits(now, c, s) && !c.wasSentTo(s)) {
                return s;
            }
            s.isIdle = true;
            idle.add(s);
            if (i < idle.size() - 4) {
                return null;
            }
        }
        return null;
    }

    /** Whether the rules let this call be sent to this server. */
    private boolean allowed(long now, QueuedRequest c, ServerState s) {
        if (!c.mayHaveRun || c.requestClass.rules.effect() == Effect.SAFE) {
            return true;
        }
        if (c.requestClass.rules.effect() == Effect.UNSAFE || now - c.firstRunAt >= c.requestClass.rules.keyTtl()) {
            return false;
        }
        Endpoint a = c.firstRunServer.endpoint;
        return switch (c.requestClass.rules.dedupScope()) {
            case ALL -> true;
            case ZONE -> a.zone().equals(s.endpoint.zone());
            case CELL -> a.cell() >= 0 && a.cell() == s.endpoint.cell();
        };
    }

    /** Allowed, and not a server that fails calls of this class while it serves others. */
    private boolean suits(long now, QueuedRequest c, ServerState s) {
        return now >= s.health(c.requestClass).avoidedUntil && allowed(now, c, s);
    }

    /** The step of a server's turn: the inverse of its weight, while cold of the part it can do. */
    private double stride(long now, ServerState s) {
        // A server clearly slower than its peers gets turns by the capacity it shows.
        double shown = s.relativeTime > SLOW ? Math.min(s.relativeTime, 10) : 1;
        return shown / (s.endpoint.weight() * slowStart.warmth(now, s));
    }

    /** Whether a server may be sent a request now: any warm one, and one that warms up within its budget. */
    private boolean canAdmit(long now, ServerState s) {
        return slowStart.isUnbounded(now, s)
                || s.inFlight < window() && slowStart.canAdmit(now, s, order, reach, meanTime());
    }

    // ---- Queues and the tests of tau f ----

    private void hold(long now, QueuedRequest c, ServerState s) {
        c.queued = true;
        c.server = s;
        holding++;
        waiting.add(c);
        if (waiting.size() > 2 * holding + LEAST_REACH * LEAST_REACH) {
            // Guards memory where no server frees a slot, which alone would look through those that wait.
            Set<QueuedRequest> still = new LinkedHashSet<>(waiting);
            waiting.clear();
            still.stream().filter(w -> w.queued).forEach(waiting::add);
        }
        if (s != null) {
            s.queues[c.level].add(c);
            s.queuedCount++;
            awaited.add(s);
        }
        expiry.add(c);
        armExpiry(Math.max(now + 1, c.expiresAt));
    }

    private void unhold(QueuedRequest c) {
        c.queued = false;
        holding--;
        if (c.server != null) {
            c.server.queues[c.level].remove(c);
            if (--c.server.queuedCount == 0) {
                awaited.remove(c.server);
            }
            c.server = null;
        }
    }

    private void armExpiry(long at) {
        if (at < expiryTimer) {
            expiryTimer = at;
            out.timer(at, "expiry");
        }
    }

    /** A slot has freed: drop the late, then release the oldest at an urgent enough level. */
    private void free(long now, ServerState s) {
        if (!s.inRotation || s.inFlight >= window()) {
            return;
        }
        for (ArrayDeque<QueuedRequest> q : s.queues) {
            while (!q.isEmpty() && hopeless(now, q.peek(), s)) {
                drop(now, q.peek());
            }
        }
        // EQ 4: from the top, as far down as the queued calls can be done in time.
        QueuedRequest oldest = null;
        double ahead = 0;
        double tau = Double.POSITIVE_INFINITY;
        for (int j = 0; j < levels; j++) {
            QueuedRequest head = s.queues[j].peek();
            ahead += s.queues[j].size() * s.measuredTime;
            if (head == null) {
                continue;
            }
            // The nearest end among those that wait above decides how much may go first.
            tau = Math.min(tau, head.timeBudget - (now - head.arrival));
            if (j > 0 && oldest != null && ahead >= tau * F) {
                break;
            }
            if (oldest == null || head.arrival < oldest.arrival) {
                oldest = head;
            }
        }
        if (oldest != null) {
            if (canAdmit(now, s)) {
                unhold(oldest);
                send(now, oldest, s);
            }
        } else if (slowStart.warmth(now, s) >= 1) {
            QueuedRequest c = oldestWaiting(now, s);
            if (c != null) {
                send(now, c, s);
            } else if (!s.isIdle && s.inFlight == 0) {
                s.isIdle = true;
                idle.add(s);
            }
        }
    }

    /** The take-over: the oldest call that waits elsewhere and may go to this server. */
    private QueuedRequest oldestWaiting(long now, ServerState s) {
        while (!waiting.isEmpty() && !waiting.peek().queued) {
            waiting.poll();
        }
        int looked = 0;
        for (QueuedRequest c : waiting) {
            if (c.queued && suits(now, c, s)) {
                unhold(c);
                return c;
            }
            if (++looked >= 8) {
                break;
            }
        }
        return null;
    }

    /** EQ 3 below the top level; and a repeat whose window has closed while it waited, at any level. */
    private boolean hopeless(long now, QueuedRequest c, ServerState s) {
        return !allowed(now, c, s) || c.level > 0 && measured(s, c) + (now - c.arrival) >= c.timeBudget * F;
    }

    /** The measured time that a call of this class can expect at this server. */
    private double measured(ServerState s, QueuedRequest c) {
        return s.measuredTime == 0 ? 0 : s.relativeTime * (c.requestClass.meanTime + c.requestClass.timeDeviation);
    }

    private void drop(long now, QueuedRequest c) {
        dropped++;
        finish(c, now);
    }

    // ---- Dispatch ----

    private void send(long now, QueuedRequest c, ServerState s) {
        Attempt a = new Attempt(s, now);
        c.attempts.add(a);
        c.attemptsInFlight++;
        if (!c.incomplete) {
            count(a);
        }
        if (c.attempts.size() == 1) {
            retryBudget = Math.min(10, retryBudget + 0.1);
        }
        slowStart.sent(now, a);
        out.send(c.id, s.id, Math.max(1, c.deadline - now));
    }

    @Override
    public void onWritten(long now, long request, int attempt) {
        QueuedRequest c = calls.get(request);
        if (c != null && attempt >= 0 && attempt < c.attempts.size()) {
            slowStart.written(now, c.attempts.get(attempt));
        }
    }

    private void count(Attempt a) {
        a.countsInFlight = true;
        a.server.inFlight++;
        inFlight++;
    }

    /** The final answer of the balancer's own: a refusal where that is true, else a failure. */
    private void finish(QueuedRequest c, long now) {
        end(c);
        if (!c.mayHaveRun && c.attemptsInFlight == 0 || c.requestClass.rules.effect() == Effect.SAFE
                || c.requestClass.rules.effect() == Effect.KEYED && c.requestClass.rules.dedupScope() == DedupScope.ALL
                && now - c.firstRunAt < c.requestClass.rules.keyTtl() && c.mayHaveRun) {
            out.refuse(c.id, retryAfter());
        } else {
            out.fail(c.id);
        }
    }

    private void end(QueuedRequest c) {
        if (!c.finished) {
            c.finished = true;
            open -= c.incomplete ? 0 : 1;
        }
        if (c.queued) {
            unhold(c);
        }
        if (c.attemptsInFlight == 0) {
            calls.remove(c.id);
        }
    }

    // ---- Outcomes and health ----

    @Override
    public void onFirstByte(long now, long request, int attempt) {
        QueuedRequest c = calls.get(request);
        if (c != null) {
            c.mayHaveRun = true;
            end(c);
        }
    }

    @Override
    public void onOutcome(long now, long request, int attempt, boolean ended, Outcome outcome, long latency,
            Report report) {
        QueuedRequest c = calls.get(request);
        if (c == null || attempt < 0 || attempt >= c.attempts.size() || c.attempts.get(attempt).ended) {
            return;
        }
        Attempt a = c.attempts.get(attempt);
        ServerState s = a.server;
        a.ended = true;
        slowStart.written(now, a);
        c.attemptsInFlight--;
        if (a.countsInFlight) {
            s.inFlight--;
            inFlight--;
        }
        if (!outcome.neverRan && !c.mayHaveRun) {
            c.mayHaveRun = true;
            c.firstRunAt = a.sentAt;
            c.firstRunServer = s;
        }
        // Of a server that has left, and that only a long request held on to, nothing is to be learned.
        if (servers.get(s.id) == s) {
            learn(now, c, a, outcome, Math.max(1, latency));
            if (s.ejected && s.ejectedUntil == Long.MAX_VALUE) {
                // Guards a server whose trial has told nothing of it: it would be out for good.
                s.ejectedUntil = now;
            }
        }
        if (ended || c.finished) {
            end(c);
        } else if (c.attemptsInFlight == 0) {
            tryAgain(now, c, outcome);
        }
        free(now, s);
    }

    private void learn(long now, QueuedRequest c, Attempt a, Outcome outcome, long latency) {
        ServerState s = a.server;
        boolean silent = outcome == Outcome.TIMEOUT || outcome == Outcome.RESET;
        if (silent && c.deadline - a.sentAt < BRIEF) {
            return;
        }
        boolean failed = outcome == Outcome.ERROR || outcome == Outcome.RESET;
        s.errorRatio += NEWEST * ((failed ? 1 : 0) - s.errorRatio);
        c.requestClass.errorRatio += NEWEST / 10 * ((outcome == Outcome.ERROR ? 1 : 0) - c.requestClass.errorRatio);
        EndpointHealth standing = s.health(c.requestClass);
        if (outcome == Outcome.ERROR && ++standing.consecutiveErrors > (c.requestClass.errorRatio < SELDOM ? 0 : 1)) {
            // Guards a class that only some servers fail and that may not be repeated: the others still earn.
            // Where the whole fleet fails it, as in an overload, one error says nothing of the server.
            long avoid = SECOND << Math.min(standing.consecutiveErrors - 1, 3);
            standing.avoidedUntil = now + avoid / 2 + (long) (random.nextDouble() * avoid);
        }
        if (outcome == Outcome.OK) {
            RequestClassState k = c.requestClass;
            k.timeDeviation += 0.02 * (Math.abs(latency - k.meanTime) - k.timeDeviation);
            k.meanTime = k.meanTime == 0 ? latency : k.meanTime + 0.02 * (latency - k.meanTime);
            s.measuredTime = s.measuredTime == 0 ? latency : s.measuredTime + NEWEST * (latency - s.measuredTime);
            s.relativeTime += NEWEST * (latency / k.meanTime - s.relativeTime);
            answered++;
            k.answers++;
            // Guards against a server that fails some calls and serves others: it is out longer each time.
            s.consecutiveEjections = s.errorRatio < FORGIVEN ? 0 : s.consecutiveEjections;
            standing.consecutiveErrors = 0;
            if (s.ejected) {
                comeBack(s);
                if (s.inSubset) {
                    join(now, s);
                }
            }
        } else if (outcome == Outcome.FULL) {
            // Guards a jammed server against the calls of all who find it full, and these against each other.
            pause(now, s, SECOND / 10);
        } else if (failed && s.errorRatio > (outcome == Outcome.RESET ? OFTEN : MOSTLY)) {
            // Guards against a server that fails at once: it is free at once and draws ever more calls. A
            // connection that breaks may be the network's fault, two in a row are the server's.
            s.errorRatio = NEWEST;
            strike(now, s);
        } else if (outcome == Outcome.CONNECT_FAILED
                || outcome == Outcome.TIMEOUT && latency >= c.requestClass.meanTime + c.requestClass.timeDeviation) {
            // Guards servers against calls that came with less time than an answer takes: they tell nothing.
            strike(now, s);
        }
    }

    /** Out of the rotation for a while, longer each time; but never most of the fleet. */
    private void strike(long now, ServerState s) {
        if (s.ejected && s.ejectedUntil < Long.MAX_VALUE) {
            // Guards against one failure that counts once for each call that was out to the server.
            return;
        }
        s.consecutiveEjections++;
        pause(now, s, SECOND / 2 << Math.min(s.consecutiveEjections - 1, 4));
    }

    private void pause(long now, ServerState s, long pause) {
        if (s.ejected || ejected * 2 < order.size()) {
            if (!s.ejected) {
                s.ejected = true;
                ejected++;
            }
            s.ejectedUntil = now + pause / 2 + (long) (random.nextDouble() * pause);
            leave(now, s);
        }
    }

    private void comeBack(ServerState s) {
        if (s.ejected) {
            s.ejected = false;
            ejected--;
            trials.remove(s);
        }
    }

    /** A server that may be well again is tried with one call, of a safe class where there is one. */
    private boolean tryTrial(long now, QueuedRequest c) {
        // Guards a server that nobody tries: where none but urgent or unsafe calls come, one of them has to.
        boolean any = rotation.isEmpty() || now >= trials.peek().ejectedUntil + SECOND;
        if (!any && (anySafe && c.requestClass.rules.effect() != Effect.SAFE || c.level == 0 && levels > 1)) {
            return false;
        }
        ServerState s = trials.poll();
        if (s.endpoint.state() != EndpointState.UP || !s.ejected || s.inFlight > 0 || !allowed(now, c, s)
                || !canAdmit(now, s)) {
            return false;
        }
        s.ejectedUntil = Long.MAX_VALUE;
        send(now, c, s);
        return true;
    }

    /** Another attempt where the effect allows it, the time suffices and the budget is not spent. */
    private void tryAgain(long now, QueuedRequest c, Outcome outcome) {
        boolean may = c.attempts.size() < c.maxAttempts && now < c.arrival + c.timeBudget
                && outcome != Outcome.MOOT && outcome != Outcome.CANCELLED;
        double cost = outcome == Outcome.FAILED_LOCALLY ? 0 : 1;
        may &= retryBudget >= cost && (!c.mayHaveRun || c.requestClass.rules.effect() != Effect.UNSAFE);
        if (may) {
            retryBudget -= cost;
            c.expiresAt = Math.max(c.expiresAt, c.arrival + (long) (c.timeBudget * F));
            place(now, c);
        } else {
            finish(c, now);
        }
    }

    @Override
    public void onGone(long now, long request) {
        QueuedRequest c = calls.get(request);
        if (c != null) {
            end(c);
        }
    }

    /** How many calls it has a memory of, in all its queues; for tests of what it lets go. */
    int remembered() {
        return calls.size() + waiting.size() + expiry.size();
    }

    @Override
    public int avoided() {
        return ejected;
    }

    @Override
    public long retryAfter() {
        return Math.min(settings.maxRetryAfter(), (long) meanTime());
    }

    // ---- Timers ----

    private void start(long now) {
        if (started) {
            return;
        }
        started = true;
        lastTick = now;
        slowStart.started(now);
        out.timer(now + (long) (random.nextDouble() * TICK), "tick");
    }

    @Override
    public void onTimer(long now, String token) {
        if (token.equals("expiry")) {
            expiryTimer = Long.MAX_VALUE;
            while (!expiry.isEmpty() && (expiry.peek().expiresAt <= now || !expiry.peek().queued)) {
                QueuedRequest c = expiry.poll();
                if (c.queued) {
                    drop(now, c);
                }
            }
            if (!expiry.isEmpty()) {
                armExpiry(expiry.peek().expiresAt);
            }
        } else if (token.equals("tick")) {
            tick(now);
            out.timer(now + TICK, "tick");
        }
    }

    private void tick(long now) {
        double elapsed = Math.max(1, now - lastTick) / (double) SECOND;
        lastTick = now;
        answeredPerSecond += Math.min(1, elapsed) * (answered / elapsed - answeredPerSecond);
        ratePerSecond = Math.max(answeredPerSecond, answered / elapsed);
        slowStart.tick(now, elapsed, answered, order, reach);
        answered = 0;
        common.setRate(answeredPerSecond / 20);
        double sum = 0;
        int n = 0;
        for (RequestClassState k : kinds.values()) {
            if (k.answers >= ENOUGH) {
                k.bestMeanTime = k.bestMeanTime == 0 ? k.meanTime : Math.min(k.bestMeanTime * BASE_RISE, k.meanTime);
                sum += k.meanTime / k.bestMeanTime;
                n++;
            }
        }
        congestion = n == 0 ? 1 : sum / n;
        for (int i = 0; i < order.size() && i < reach; i++) {
            ServerState s = order.get(i);
            if (s.ejected && s.inFlight == 0 && s.ejectedUntil <= now && s.inSubset && !trials.contains(s)) {
                trials.add(s);
            }
        }
        // The reach grows past the own zone only when calls had to wait there or were dropped.
        peakNeed = Math.max(inFlight + holding, peakNeed * 0.97);
        if ((holding > 0 || dropped > 0) && reach < order.size() && roomToReach()) {
            int more = Math.max(1, reach / 4);
            while (more-- > 0 && reach < order.size()) {
                join(now, order.get(reach++));
            }
        } else if (reach > LEAST_REACH && reach > 2 * peakNeed + 2) {
            ServerState s = order.size() > --reach ? order.get(reach) : null;
            if (s != null) {
                s.inSubset = false;
                reached.remove(s);
                leave(now, s);
            }
        }
        if (holding > 0 && reach >= order.size() && ejected * 3 < order.size() && n > 0
                && congestion < ROOM) {
            // Guards the servers that are left against the calls of those taken out: more would choke them.
            extra++;
        } else if (extra > 0 && (congestion >= ROOM || peakNeed < (window() - 1) * rotation.size())) {
            extra--;
        }
        dropped = 0;
        // Besides the wider window: the budget of a cold server comes back with time, without an answer.
        for (int i = 0; i < order.size() && i < reach; i++) {
            free(now, order.get(i));
        }
    }
}

package brackenbridge.core.balancing;

import brackenbridge.core.balancing.ColdFleetPlan.Fault;
import brackenbridge.core.balancing.ColdFleetPlan.Scenario;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates a fleet of nodes, each with its own instance and its own part of the traffic, against servers that restart,
 * and compares what each cold server receives from all of them with its limit. In simulated time, from one seed.
 */
final class ColdFleet {
    /** A request that reached a cold server; its node knew of the start when it sent it, or not. */
    private record Arrival(long at, boolean told) {}

    private static final long MS = 1000;
    private static final long SECOND = 1_000_000;
    private static final int SERVERS = 10;
    private static final double[] SHARES = {1, 2, 4, 8};
    /**
     * A server has some workers; a request takes one of them 100 ms on average once it is warm. It turns away at
     * once what finds as many waiting: what is turned away weighs as well, and its caller is free for the next.
     */
    private static final int USUAL_WORKERS = 2;

    private static final long WORK = 100 * MS;
    private static final long LATE = SECOND;
    private static final double COLD_FROM = 0.3;
    private static final long WARM_AFTER = 8 * SECOND;
    private static final long BEGIN = 1000 * SECOND;
    private static final long RESTARTS = BEGIN + 12 * SECOND;
    private static final long END = BEGIN + 32 * SECOND;

    private record Due(long at, long order, Runnable what) {}

    private static final class Server {
        final long id;
        long startedAt;
        boolean down;
        int life;
        int busy;
        boolean fallen;
        final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        /** What came while it was cold, and the part of it that is within the last window. */
        final List<Arrival> arrivals = new ArrayList<>();

        int windowFrom;
        int windowTold;
        long windowLength;

        Server(long id) {
            this.id = id;
        }
    }

    private final class Node implements BalancerActions {
        final Balancer balancer;
        double share;
        /** The start of each server that it was told of last. */
        final long[] toldStart = new long[SERVERS];

        Node(int me, int peers, double share) {
            this.share = share;
            balancer = new Balancer(settings(me, peers), this);
        }

        void list(EndpointListKind kind, List<Endpoint> entries) {
            entries.forEach(e -> toldStart[(int) e.id()] = e.startedAt());
            balancer.onEndpointList(now, kind, entries);
        }

        @Override
        public void startAttempt(long request, long endpoint, long timeout) {
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            retries += attempt > 0 ? 1 : 0;
            mostAtOnce = Math.max(mostAtOnce, out.merge(request, 1, Integer::sum));
            long sent = now;
            Server s = servers.get((int) endpoint);
            boolean told = toldStart[(int) s.id] == s.startedAt;
            after(connecting(s) + MS / 2, () -> arrive(this, request, attempt, s, sent, told));
        }

        @Override
        public boolean reportsWritten() {
            return true;
        }

        @Override
        public void reject(long request, long retryAfter) {}

        @Override
        public void fail(long request) {}

        @Override
        public void setTimer(long at, String token) {
            queue.add(new Due(at, made++, () -> balancer.onTimer(now, token)));
        }

        @Override
        public void startHealthCheck(long endpoint) {
            throw new AssertionError("a probe is not counted");
        }
    }

    private final PriorityQueue<Due> queue = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, Integer> out = new HashMap<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final SplittableRandom random;
    private final ColdFleetPlan plan;
    private final Scenario day;
    /** The settings' time, as it is now. */
    private long fall;

    private final double allShares;
    private long now = BEGIN;
    private long made;
    private long requests;
    private double worst;
    private double worstOfLimit;
    private double leastN = Double.POSITIVE_INFINITY;
    private double mostN;
    private int fallen;
    private int lives;
    private int served;
    private int coldServed;
    private int mostAtOnce;
    private int retries;

    private ColdFleet(ColdFleetPlan plan) {
        this.plan = plan;
        this.day = plan.scenario();
        this.fall = plan.overloadWindow();
        random = new SplittableRandom(plan.seed());
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Server(i));
        }
        for (int i = 0; i < plan.nodes(); i++) {
            nodes.add(new Node(i, plan.nodes(), SHARES[i % SHARES.length]));
        }
        allShares = nodes.stream().mapToDouble(n -> n.share).sum();
    }

    /** Plays one day with servers of two workers and no further trouble. */
    static ColdFleetResult play(Scenario day, int nodes, double load, double multiple, long fall, long seed) {
        return play(new ColdFleetPlan(day, Fault.NONE, nodes, USUAL_WORKERS, load, multiple, fall, seed));
    }

    /** Plays one day. */
    static ColdFleetResult play(ColdFleetPlan plan) {
        return new ColdFleet(plan).play();
    }

    private BalancerSettings settings(int me, int peers) {
        return new BalancerSettings(
                random.nextLong(),
                me,
                peers,
                0,
                "here",
                List.of(Script.safe("read", 1), Script.unsafe("write", 4)),
                List.of(),
                0.1,
                false,
                10 * SECOND,
                3,
                20000,
                2 * SECOND,
                true,
                false,
                plan.fault() == Fault.HEDGED_BY_CLIENTS,
                15 * SECOND,
                COLD_FROM,
                WARM_AFTER,
                plan.multiple(),
                fall,
                NetworkSettings.DEFAULT);
    }

    private ColdFleetResult play() {
        if (day == Scenario.FRESH) {
            servers.forEach(s -> {
                s.startedAt = now;
                lives++;
            });
        }
        for (Node n : nodes) {
            n.list(EndpointListKind.CACHED, servers.stream().map(this::entry).toList());
            arrivals(n);
        }
        int hit = switch (day) {
            case REPLACED -> 6;
            case ZONE -> 5;
            case BURST -> 3;
            case FRESH -> 0;
        };
        for (int i = 0; i < hit; i++) {
            Server s = servers.get(i);
            long at = RESTARTS + (day == Scenario.REPLACED ? i * 7 * SECOND / 6 : 0);
            boolean inAnInstant = plan.fault() == Fault.LATE_NOTICE;
            long back = at + (inAnInstant ? 0 : (day == Scenario.ZONE ? 5 : 1) * SECOND);
            at(at, () -> stop(s, !inAnInstant));
            at(back, () -> restart(s));
        }
        long firstStart = day == Scenario.FRESH ? BEGIN : RESTARTS + (day == Scenario.ZONE ? 5 : 1) * SECOND;
        switch (plan.fault()) {
            case LONGER_TIME -> at(firstStart + SECOND, this::lengthen);
            case RESTARTED_NODES -> at(firstStart + SECOND / 2, this::restartNodes);
            case SUCCESSORS -> at(firstStart + SECOND / 2, this::succeed);
            default -> {
                // Nothing happens at one instant.
            }
        }
        while (!queue.isEmpty() && queue.peek().at() <= END) {
            Due due = queue.poll();
            now = Math.max(now, due.at());
            due.what().run();
        }
        return new ColdFleetResult(
                worst,
                worstOfLimit,
                leastN,
                mostN,
                fallen,
                lives,
                (int) requests,
                served,
                coldServed,
                mostAtOnce,
                retries);
    }

    /** All nodes read new settings. */
    private void lengthen() {
        fall *= 2;
        for (int i = 0; i < nodes.size(); i++) {
            nodes.get(i).balancer.onSettings(now, settings(i, plan.nodes()));
        }
    }

    /** A new process in the place of every second node, which knows what its first list says. */
    private void restartNodes() {
        for (int i = 0; i < nodes.size(); i += 2) {
            Node old = nodes.get(i);
            nodes.set(i, process(i, old.share));
            old.share = 0;
        }
    }

    /** A new process beside each, with half of its traffic; in two seconds with all of it. */
    private void succeed() {
        List<Node> before = List.copyOf(nodes);
        for (int i = 0; i < before.size(); i++) {
            Node old = before.get(i);
            old.share /= 2;
            Node next = process(i, old.share);
            nodes.add(next);
            after(2 * SECOND, () -> {
                next.share += old.share;
                old.share = 0;
            });
        }
    }

    private Node process(int me, double share) {
        Node n = new Node(me, plan.nodes(), share);
        n.list(EndpointListKind.CACHED, servers.stream().map(this::entry).toList());
        arrivals(n);
        return n;
    }

    /** How long it takes until a request sent now to this server can be written. */
    private long connecting(Server s) {
        if (plan.fault() == Fault.LATE_CONNECTIONS) {
            return random.nextInt(3) == 0 ? random.nextLong(LATE) : 0;
        }
        return plan.fault() == Fault.LATE_ACCEPT ? Math.max(0, s.startedAt + LATE - now) : 0;
    }

    private void at(long when, Runnable what) {
        queue.add(new Due(when, made++, what));
    }

    private void after(long time, Runnable what) {
        at(now + time, what);
    }

    private Endpoint entry(Server s) {
        return new Endpoint(s.id, 0, "here", 1, s.startedAt, s.down ? EndpointState.REMOVED : EndpointState.UP);
    }

    private void stop(Server s, boolean told) {
        s.down = true;
        s.life++;
        s.busy = 0;
        s.queue.clear();
        if (told) {
            tell(s);
        }
    }

    private void restart(Server s) {
        s.down = false;
        s.startedAt = now;
        s.arrivals.clear();
        s.windowFrom = 0;
        s.windowTold = 0;
        s.fallen = false;
        lives++;
        tell(s);
    }

    /** The word comes to each node a little later. */
    private void tell(Server s) {
        Endpoint e = entry(s);
        boolean late = plan.fault() == Fault.LATE_NOTICE;
        for (Node n : nodes) {
            long delay = late ? 300 * MS + random.nextLong(1200 * MS) : 50 * MS + random.nextLong(250 * MS);
            after(delay, () -> n.list(EndpointListKind.CHANGES, List.of(e)));
        }
    }

    private void arrivals(Node n) {
        if (n.share == 0) {
            return;
        }
        boolean burst = day == Scenario.BURST && now >= RESTARTS + SECOND && now < RESTARTS + 4 * SECOND;
        double perSecond = plan.load() * SERVERS * perSecond() * n.share / allShares * (burst ? 2.5 : 1);
        after((long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND), () -> {
            long id = requests++;
            BalancerRequest r =
                    new BalancerRequest(id, id % 4 == 0 ? "write" : "read", null, -1, 2 * SECOND, -1, false);
            if (random.nextDouble() < 0.05) {
                n.balancer.onStreamedRequest(now, r);
                after(50 * MS, () -> n.balancer.onRequestCompleted(now, id));
            } else {
                n.balancer.onRequest(now, r);
            }
            if (plan.fault() == Fault.HEDGED_BY_CLIENTS && id % 5 == 0) {
                hedge(nodes.get((nodes.indexOf(n) + 1) % nodes.size()), r.className());
            }
            arrivals(n);
        });
    }

    /** The client's second copy, by another node. */
    private void hedge(Node other, String className) {
        after(30 * MS, () -> {
            long id = requests++;
            other.balancer.onRequest(now, new BalancerRequest(id, className, null, -1, 2 * SECOND, -1, true));
        });
    }

    /** What a warm server does in a second. */
    private double perSecond() {
        return plan.workers() * (double) SECOND / WORK;
    }

    private double warmth(Server s) {
        return s.startedAt == 0 ? 1 : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - s.startedAt) / WARM_AFTER);
    }

    private void arrive(Node n, long request, int attempt, Server s, long sent, boolean told) {
        if (s.down) {
            answer(n, request, attempt, AttemptOutcome.CONNECT_FAILED, sent);
            return;
        }
        n.balancer.onAttemptWritten(now, request, attempt);
        weigh(s, told);
        if (s.queue.size() >= plan.workers()) {
            answer(n, request, attempt, AttemptOutcome.FULL, sent);
            return;
        }
        boolean cold = warmth(s) < 1;
        int life = s.life;
        Runnable work = () -> after((long) (WORK / warmth(s) * (0.5 + random.nextDouble())), () -> {
            if (s.life != life) {
                answer(n, request, attempt, AttemptOutcome.RESET, sent);
                return;
            }
            boolean bad = random.nextDouble() < 0.02;
            served += bad ? 0 : 1;
            coldServed += cold && !bad ? 1 : 0;
            answer(n, request, attempt, bad ? AttemptOutcome.ERROR : AttemptOutcome.OK, sent);
            Runnable next = s.queue.poll();
            if (next != null) {
                next.run();
            } else {
                s.busy--;
            }
        });
        if (s.busy < plan.workers()) {
            s.busy++;
            work.run();
        } else {
            s.queue.add(work);
        }
    }

    private void answer(Node n, long request, int attempt, AttemptOutcome outcome, long sent) {
        after(MS / 2, () -> {
            out.merge(request, -1, Integer::sum);
            n.balancer.onAttemptEnded(now, request, attempt, outcome == AttemptOutcome.OK, outcome, now - sent, null);
        });
    }

    /** Every attempt that reaches a cold server weighs, whatever becomes of it. */
    private void weigh(Server s, boolean told) {
        if (warmth(s) >= 1) {
            return;
        }
        s.arrivals.add(new Arrival(now, told));
        s.windowTold += told ? 1 : 0;
        if (s.windowLength != fall) {
            s.windowLength = fall;
            s.windowFrom = 0;
            s.windowTold = (int) s.arrivals.stream().filter(Arrival::told).count();
        }
        while (s.arrivals.get(s.windowFrom).at() < now - fall) {
            s.windowTold -= s.arrivals.get(s.windowFrom++).told() ? 1 : 0;
        }
        int inWindow = s.arrivals.size() - s.windowFrom;
        double allowed = plan.multiple() * perSecond() * warmth(s) * fall / SECOND;
        double ratio = inWindow / (allowed + 2 * Math.sqrt(allowed) + 2);
        worst = Math.max(worst, ratio);
        leastN = Math.min(leastN, allowed);
        mostN = Math.max(mostN, allowed);
        if (3 * s.windowTold > 2 * inWindow) {
            worstOfLimit = Math.max(worstOfLimit, inWindow / limit(allowed));
        }
        if (ratio > 1 && !s.fallen) {
            s.fallen = true;
            fallen++;
        }
    }

    /** The rules' terms, written down once more: this is what the module's own limit is held against. */
    private static double limit(double allowed) {
        return allowed < 30 ? allowed + 3 * Math.sqrt(allowed) + 3 : allowed + 2 * Math.sqrt(allowed) + 2;
    }
}

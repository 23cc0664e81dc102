package brackenbridge;

import brackenbridge.BalancerApi.Actions;
import brackenbridge.BalancerApi.Endpoint;
import brackenbridge.BalancerApi.EndpointState;
import brackenbridge.BalancerApi.ListKind;
import brackenbridge.BalancerApi.Outcome;
import brackenbridge.BalancerApi.Request;
import brackenbridge.BalancerApi.Settings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Plays a fleet of nodes, each with its own instance and its own part of the traffic, against servers that restart,
 * and holds what each cold server gets from all of them against what it bears. In simulated time, from one seed.
 */
final class ColdFleet {
    /** What happens to the servers and the traffic. */
    enum Day {
        /** Six in ten servers are replaced within 7 s. */
        REPLACED,
        /** Half of the servers are lost for 5 s and return together, cold. */
        ZONE,
        /** Three in ten restart, and from their return on the traffic is two and a half times as much for 3 s. */
        BURST,
        /** All servers and nodes have just started. */
        FRESH
    }

    /**
     * What was seen.
     *
     * @param worst the most that a cold server got in any window, over what it bears in it
     * @param fallen lives of servers in which they would have fallen over
     * @param lives cold lives of servers
     * @param asked requests
     * @param served those answered
     * @param coldServed those answered by cold servers
     */
    record Seen(double worst, int fallen, int lives, int asked, int served, int coldServed) {}

    private static final long MS = 1000;
    private static final long SECOND = 1_000_000;
    private static final int SERVERS = 10;
    private static final double[] SHARES = {1, 2, 4, 8};
    /**
     * Each server has two workers; a request takes one of them 100 ms on average once it is warm. It turns away at
     * once what finds two waiting: what is turned away weighs as well, and its caller is free for the next.
     */
    private static final int WORKERS = 2;

    private static final long WORK = 100 * MS;
    private static final int QUEUE = 2;
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
        final ArrayDeque<Long> arrivals = new ArrayDeque<>();

        Server(long id) {
            this.id = id;
        }
    }

    private final class Node implements Actions {
        final Balancer balancer;
        final double share;

        Node(int me, int nodes, double share) {
            this.share = share;
            balancer = new Balancer(settings(me, nodes), this);
        }

        @Override
        public void send(long request, long endpoint, long timeout) {
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            long sent = now;
            after(MS / 2, () -> arrive(this, request, attempt, servers.get((int) endpoint), sent));
        }

        @Override
        public void refuse(long request, long retryAfter) {}

        @Override
        public void fail(long request) {}

        @Override
        public void timer(long at, String token) {
            queue.add(new Due(at, made++, () -> balancer.onTimer(now, token)));
        }

        @Override
        public void probe(long endpoint) {}
    }

    private final PriorityQueue<Due> queue = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final SplittableRandom random;
    private final Day day;
    private final double multiple;
    private final long fall;
    private final double load;
    private long now = BEGIN;
    private long made;
    private long requests;
    private double worst;
    private int fallen;
    private int lives;
    private int served;
    private int coldServed;

    private ColdFleet(Day day, int nodeCount, double load, double multiple, long fall, long seed) {
        this.day = day;
        this.load = load;
        this.multiple = multiple;
        this.fall = fall;
        random = new SplittableRandom(seed);
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Server(i));
        }
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new Node(i, nodeCount, SHARES[i % SHARES.length]));
        }
    }

    /** Plays one day. */
    static Seen play(Day day, int nodes, double load, double multiple, long fall, long seed) {
        return new ColdFleet(day, nodes, load, multiple, fall, seed).play();
    }

    private Settings settings(int me, int peers) {
        return new Settings(
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
                false,
                15 * SECOND,
                COLD_FROM,
                WARM_AFTER,
                multiple,
                fall,
                BalancerApi.Network.UNTOLD);
    }

    private Seen play() {
        if (day == Day.FRESH) {
            servers.forEach(s -> {
                s.startedAt = now;
                lives++;
            });
        }
        for (Node n : nodes) {
            n.balancer.onList(
                    now, ListKind.SAVED, servers.stream().map(this::entry).toList());
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
            long at = RESTARTS + (day == Day.REPLACED ? i * 7 * SECOND / 6 : 0);
            at(at, () -> stop(s));
            at(at + (day == Day.ZONE ? 5 : 1) * SECOND, () -> restart(s));
        }
        while (!queue.isEmpty() && queue.peek().at() <= END) {
            Due due = queue.poll();
            now = Math.max(now, due.at());
            due.what().run();
        }
        return new Seen(worst, fallen, lives, (int) requests, served, coldServed);
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

    private void stop(Server s) {
        s.down = true;
        s.life++;
        s.busy = 0;
        s.queue.clear();
        tell(s);
    }

    private void restart(Server s) {
        s.down = false;
        s.startedAt = now;
        s.arrivals.clear();
        s.fallen = false;
        lives++;
        tell(s);
    }

    /** The word comes to each node a little later. */
    private void tell(Server s) {
        Endpoint e = entry(s);
        for (Node n : nodes) {
            after(50 * MS + random.nextLong(250 * MS), () -> n.balancer.onList(now, ListKind.CHANGES, List.of(e)));
        }
    }

    private void arrivals(Node n) {
        double all = nodes.stream().mapToDouble(x -> x.share).sum();
        boolean burst = day == Day.BURST && now >= RESTARTS + SECOND && now < RESTARTS + 4 * SECOND;
        double perSecond = load * SERVERS * perSecond() * n.share / all * (burst ? 2.5 : 1);
        after((long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND), () -> {
            long id = requests++;
            Request r = new Request(id, id % 4 == 0 ? "write" : "read", null, -1, 2 * SECOND, -1, false);
            if (random.nextDouble() < 0.05) {
                n.balancer.onLongRequest(now, r);
                after(50 * MS, () -> n.balancer.onWhole(now, id));
            } else {
                n.balancer.onRequest(now, r);
            }
            arrivals(n);
        });
    }

    /** What a warm server does in a second. */
    private static double perSecond() {
        return WORKERS * (double) SECOND / WORK;
    }

    private double warmth(Server s) {
        return s.startedAt == 0 ? 1 : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - s.startedAt) / WARM_AFTER);
    }

    private void arrive(Node n, long request, int attempt, Server s, long sent) {
        if (s.down) {
            answer(n, request, attempt, Outcome.CONNECT_FAILED, sent);
            return;
        }
        weigh(s);
        if (s.queue.size() >= QUEUE) {
            answer(n, request, attempt, Outcome.FULL, sent);
            return;
        }
        boolean cold = warmth(s) < 1;
        int life = s.life;
        Runnable work = () -> after((long) (WORK / warmth(s) * (0.5 + random.nextDouble())), () -> {
            if (s.life != life) {
                answer(n, request, attempt, Outcome.RESET, sent);
                return;
            }
            boolean bad = random.nextDouble() < 0.02;
            served += bad ? 0 : 1;
            coldServed += cold && !bad ? 1 : 0;
            answer(n, request, attempt, bad ? Outcome.ERROR : Outcome.OK, sent);
            Runnable next = s.queue.poll();
            if (next != null) {
                next.run();
            } else {
                s.busy--;
            }
        });
        if (s.busy < WORKERS) {
            s.busy++;
            work.run();
        } else {
            s.queue.add(work);
        }
    }

    private void answer(Node n, long request, int attempt, Outcome outcome, long sent) {
        after(
                MS / 2,
                () -> n.balancer.onOutcome(now, request, attempt, outcome == Outcome.OK, outcome, now - sent, null));
    }

    /** Every attempt that reaches a cold server weighs, whatever becomes of it. */
    private void weigh(Server s) {
        if (warmth(s) >= 1) {
            return;
        }
        s.arrivals.add(now);
        while (s.arrivals.peek() < now - fall) {
            s.arrivals.poll();
        }
        double bears = multiple * perSecond() * warmth(s) * fall / SECOND;
        double ratio = s.arrivals.size() / (bears + 2 * Math.sqrt(bears) + 2);
        worst = Math.max(worst, ratio);
        if (ratio > 1 && !s.fallen) {
            s.fallen = true;
            fallen++;
        }
    }
}

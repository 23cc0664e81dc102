package brackenbridge.core.balancing;

import brackenbridge.core.balancing.ColdStartParameters.Fault;
import brackenbridge.core.balancing.ColdStartParameters.Scenario;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates a fleet of nodes, each with its own balancer and its own share of the traffic, and servers that restart,
 * and compares the requests that each cold server receives from all nodes with its limit. Runs in simulated time, from
 * one seed.
 */
final class ColdStartSimulation {
    /** A request that reached a cold server, and whether its node knew of the server's start when it sent it. */
    private record Arrival(long at, boolean notified) {}

    private static final long MILLISECOND_US = 1000;
    private static final long SECOND_US = 1_000_000;
    private static final int SERVER_COUNT = 10;
    private static final double[] SHARES = {1, 2, 4, 8};
    /**
     * A server has some workers, each of which processes a request in 100 ms on average once the server is warm. It
     * rejects a request at once if as many requests as it has workers are queued. A rejected request counts as well,
     * and frees its slot at the node.
     */
    private static final int DEFAULT_WORKERS = 2;

    private static final long MEAN_WORK_US = 100 * MILLISECOND_US;
    private static final long MAX_CONNECT_DELAY_US = SECOND_US;
    private static final double COLD_CAPACITY_RATIO = 0.3;
    private static final long WARM_UP_TIME_US = 8 * SECOND_US;
    private static final long BEGIN_US = 1000 * SECOND_US;
    private static final long RESTARTS_AT_US = BEGIN_US + 12 * SECOND_US;
    private static final long END_US = BEGIN_US + 32 * SECOND_US;

    private record ScheduledEvent(long at, long order, Runnable action) {}

    private static final class Server {
        final long id;
        long startedAt;
        boolean down;
        int incarnation;
        int busyWorkers;
        boolean failed;
        final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        /** The requests received while it was cold; those from windowFrom on are within the last window. */
        final List<Arrival> arrivals = new ArrayList<>();

        int windowFrom;
        int windowNotified;
        long windowLength;

        Server(long id) {
            this.id = id;
        }
    }

    private final class Node implements BalancerActions {
        final Balancer balancer;
        double share;
        /** The latest start time of each server that this node was notified of. */
        final long[] notifiedStart = new long[SERVER_COUNT];

        Node(int index, int nodeCount, double share) {
            this.share = share;
            balancer = new Balancer(settings(index, nodeCount), this);
        }

        void sendList(EndpointListKind kind, List<Endpoint> entries) {
            entries.forEach(entry -> notifiedStart[(int) entry.id()] = entry.startedAt());
            balancer.onEndpointList(now, kind, entries);
        }

        @Override
        public void startAttempt(long request, long endpoint, long timeout) {
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            retries += attempt > 0 ? 1 : 0;
            maxConcurrentAttempts = Math.max(maxConcurrentAttempts, inFlight.merge(request, 1, Integer::sum));
            long sentAt = now;
            Server server = servers.get((int) endpoint);
            boolean notified = notifiedStart[(int) server.id] == server.startedAt;
            scheduleAfter(
                    connectDelay(server) + MILLISECOND_US / 2,
                    () -> receiveAttempt(this, request, attempt, server, sentAt, notified));
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
            events.add(new ScheduledEvent(at, eventsScheduled++, () -> balancer.onTimer(now, token)));
        }

        @Override
        public void startHealthCheck(long endpoint) {
            throw new AssertionError("health checks are not expected");
        }
    }

    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, Integer> inFlight = new HashMap<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final SplittableRandom random;
    private final ColdStartParameters parameters;
    private final Scenario scenario;
    /** The current overload window of the settings. */
    private long overloadWindow;

    private final double shareSum;
    private long now = BEGIN_US;
    private long eventsScheduled;
    private long requests;
    private double worstRatio;
    private double worstRatioToLimit;
    private double minAllowed = Double.POSITIVE_INFINITY;
    private double maxAllowed;
    private int failedIncarnations;
    private int incarnations;
    private int served;
    private int coldServed;
    private int maxConcurrentAttempts;
    private int retries;

    private ColdStartSimulation(ColdStartParameters parameters) {
        this.parameters = parameters;
        this.scenario = parameters.scenario();
        this.overloadWindow = parameters.overloadWindow();
        random = new SplittableRandom(parameters.seed());
        for (int i = 0; i < SERVER_COUNT; i++) {
            servers.add(new Server(i));
        }
        for (int i = 0; i < parameters.nodes(); i++) {
            nodes.add(new Node(i, parameters.nodes(), SHARES[i % SHARES.length]));
        }
        shareSum = nodes.stream().mapToDouble(node -> node.share).sum();
    }

    /** Runs a scenario with servers of two workers and no further fault. */
    static ColdStartResult run(
            Scenario scenario, int nodes, double load, double multiple, long overloadWindow, long seed) {
        return run(new ColdStartParameters(
                scenario, Fault.NONE, nodes, DEFAULT_WORKERS, load, multiple, overloadWindow, seed));
    }

    /** Runs a simulation. */
    static ColdStartResult run(ColdStartParameters parameters) {
        return new ColdStartSimulation(parameters).run();
    }

    private BalancerSettings settings(int index, int nodeCount) {
        return new BalancerSettings(
                random.nextLong(),
                index,
                nodeCount,
                0,
                "here",
                List.of(ScriptedBalancer.idempotentClass("read", 1), ScriptedBalancer.nonIdempotentClass("write", 4)),
                List.of(),
                0.1,
                false,
                10 * SECOND_US,
                3,
                20000,
                2 * SECOND_US,
                true,
                false,
                parameters.fault() == Fault.HEDGED_BY_CLIENTS,
                15 * SECOND_US,
                COLD_CAPACITY_RATIO,
                WARM_UP_TIME_US,
                parameters.multiple(),
                overloadWindow,
                NetworkSettings.DEFAULT);
    }

    private ColdStartResult run() {
        if (scenario == Scenario.ALL_START) {
            servers.forEach(server -> {
                server.startedAt = now;
                incarnations++;
            });
        }
        for (Node node : nodes) {
            node.sendList(
                    EndpointListKind.CACHED,
                    servers.stream().map(this::endpointOf).toList());
            scheduleArrivals(node);
        }
        int restartedServers = switch (scenario) {
            case REPLACED -> 6;
            case ZONE_RETURN -> 5;
            case BURST -> 3;
            case ALL_START -> 0;
        };
        for (int i = 0; i < restartedServers; i++) {
            Server server = servers.get(i);
            long at = RESTARTS_AT_US + (scenario == Scenario.REPLACED ? i * 7 * SECOND_US / 6 : 0);
            boolean immediately = parameters.fault() == Fault.LATE_NOTICE;
            long returnsAt = at + (immediately ? 0 : (scenario == Scenario.ZONE_RETURN ? 5 : 1) * SECOND_US);
            scheduleAt(at, () -> stop(server, !immediately));
            scheduleAt(returnsAt, () -> restart(server));
        }
        long firstStart = scenario == Scenario.ALL_START
                ? BEGIN_US
                : RESTARTS_AT_US + (scenario == Scenario.ZONE_RETURN ? 5 : 1) * SECOND_US;
        switch (parameters.fault()) {
            case LONGER_OVERLOAD_WINDOW -> scheduleAt(firstStart + SECOND_US, this::lengthenOverloadWindow);
            case RESTARTED_NODES -> scheduleAt(firstStart + SECOND_US / 2, this::restartNodes);
            case SUCCESSORS -> scheduleAt(firstStart + SECOND_US / 2, this::startSuccessors);
            default -> {
                // The other faults don't happen at a single time.
            }
        }
        while (!events.isEmpty() && events.peek().at() <= END_US) {
            ScheduledEvent due = events.poll();
            now = Math.max(now, due.at());
            due.action().run();
        }
        return new ColdStartResult(
                worstRatio,
                worstRatioToLimit,
                minAllowed,
                maxAllowed,
                failedIncarnations,
                incarnations,
                (int) requests,
                served,
                coldServed,
                maxConcurrentAttempts,
                retries);
    }

    /** Applies settings with twice the overload window at all nodes. */
    private void lengthenOverloadWindow() {
        overloadWindow *= 2;
        for (int i = 0; i < nodes.size(); i++) {
            nodes.get(i).balancer.onSettings(now, settings(i, parameters.nodes()));
        }
    }

    /** Replaces every second node by a new process, which knows only its first endpoint list. */
    private void restartNodes() {
        for (int i = 0; i < nodes.size(); i += 2) {
            Node old = nodes.get(i);
            nodes.set(i, startProcess(i, old.share));
            old.share = 0;
        }
    }

    /** Starts a successor of each node, which takes half of its traffic, and all of it two seconds later. */
    private void startSuccessors() {
        List<Node> before = List.copyOf(nodes);
        for (int i = 0; i < before.size(); i++) {
            Node old = before.get(i);
            old.share /= 2;
            Node next = startProcess(i, old.share);
            nodes.add(next);
            scheduleAfter(2 * SECOND_US, () -> {
                next.share += old.share;
                old.share = 0;
            });
        }
    }

    private Node startProcess(int index, double share) {
        Node node = new Node(index, parameters.nodes(), share);
        node.sendList(
                EndpointListKind.CACHED, servers.stream().map(this::endpointOf).toList());
        scheduleArrivals(node);
        return node;
    }

    /** The time until a request sent now to this server can be written. */
    private long connectDelay(Server server) {
        if (parameters.fault() == Fault.LATE_CONNECTIONS) {
            return random.nextInt(3) == 0 ? random.nextLong(MAX_CONNECT_DELAY_US) : 0;
        }
        return parameters.fault() == Fault.LATE_ACCEPT ? Math.max(0, server.startedAt + MAX_CONNECT_DELAY_US - now) : 0;
    }

    private void scheduleAt(long time, Runnable action) {
        events.add(new ScheduledEvent(time, eventsScheduled++, action));
    }

    private void scheduleAfter(long delay, Runnable action) {
        scheduleAt(now + delay, action);
    }

    private Endpoint endpointOf(Server server) {
        return new Endpoint(
                server.id, 0, "here", 1, server.startedAt, server.down ? EndpointState.REMOVED : EndpointState.UP);
    }

    private void stop(Server server, boolean notified) {
        server.down = true;
        server.incarnation++;
        server.busyWorkers = 0;
        server.queue.clear();
        if (notified) {
            notifyNodes(server);
        }
    }

    private void restart(Server server) {
        server.down = false;
        server.startedAt = now;
        server.arrivals.clear();
        server.windowFrom = 0;
        server.windowNotified = 0;
        server.failed = false;
        incarnations++;
        notifyNodes(server);
    }

    /** Notifies all nodes of a server's state; each receives the update after a random delay. */
    private void notifyNodes(Server server) {
        Endpoint entry = endpointOf(server);
        boolean late = parameters.fault() == Fault.LATE_NOTICE;
        for (Node node : nodes) {
            long delay = late
                    ? 300 * MILLISECOND_US + random.nextLong(1200 * MILLISECOND_US)
                    : 50 * MILLISECOND_US + random.nextLong(250 * MILLISECOND_US);
            scheduleAfter(delay, () -> node.sendList(EndpointListKind.CHANGES, List.of(entry)));
        }
    }

    private void scheduleArrivals(Node node) {
        if (node.share == 0) {
            return;
        }
        boolean burst =
                scenario == Scenario.BURST && now >= RESTARTS_AT_US + SECOND_US && now < RESTARTS_AT_US + 4 * SECOND_US;
        double perSecond =
                parameters.load() * SERVER_COUNT * warmCapacityPerSecond() * node.share / shareSum * (burst ? 2.5 : 1);
        scheduleAfter((long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND_US), () -> {
            long id = requests++;
            BalancerRequest request =
                    new BalancerRequest(id, id % 4 == 0 ? "write" : "read", null, -1, 2 * SECOND_US, -1, false);
            if (random.nextDouble() < 0.05) {
                node.balancer.onStreamedRequest(now, request);
                scheduleAfter(50 * MILLISECOND_US, () -> node.balancer.onRequestCompleted(now, id));
            } else {
                node.balancer.onRequest(now, request);
            }
            if (parameters.fault() == Fault.HEDGED_BY_CLIENTS && id % 5 == 0) {
                hedge(nodes.get((nodes.indexOf(node) + 1) % nodes.size()), request.className());
            }
            scheduleArrivals(node);
        });
    }

    /** Sends the client's hedged copy of a request to another node. */
    private void hedge(Node other, String className) {
        scheduleAfter(30 * MILLISECOND_US, () -> {
            long id = requests++;
            other.balancer.onRequest(now, new BalancerRequest(id, className, null, -1, 2 * SECOND_US, -1, true));
        });
    }

    /** The requests per second that a warm server can process. */
    private double warmCapacityPerSecond() {
        return parameters.workers() * (double) SECOND_US / MEAN_WORK_US;
    }

    private double capacityRatio(Server server) {
        return server.startedAt == 0
                ? 1
                : Math.min(
                        1,
                        COLD_CAPACITY_RATIO + (1 - COLD_CAPACITY_RATIO) * (now - server.startedAt) / WARM_UP_TIME_US);
    }

    private void receiveAttempt(Node node, long request, int attempt, Server server, long sentAt, boolean notified) {
        if (server.down) {
            endAttempt(node, request, attempt, AttemptOutcome.CONNECT_FAILED, sentAt);
            return;
        }
        node.balancer.onAttemptWritten(now, request, attempt);
        recordArrival(server, notified);
        if (server.queue.size() >= parameters.workers()) {
            endAttempt(node, request, attempt, AttemptOutcome.FULL, sentAt);
            return;
        }
        boolean cold = capacityRatio(server) < 1;
        int incarnation = server.incarnation;
        Runnable work =
                () -> scheduleAfter((long) (MEAN_WORK_US / capacityRatio(server) * (0.5 + random.nextDouble())), () -> {
                    if (server.incarnation != incarnation) {
                        endAttempt(node, request, attempt, AttemptOutcome.RESET, sentAt);
                        return;
                    }
                    boolean failed = random.nextDouble() < 0.02;
                    served += failed ? 0 : 1;
                    coldServed += cold && !failed ? 1 : 0;
                    endAttempt(node, request, attempt, failed ? AttemptOutcome.ERROR : AttemptOutcome.OK, sentAt);
                    Runnable next = server.queue.poll();
                    if (next != null) {
                        next.run();
                    } else {
                        server.busyWorkers--;
                    }
                });
        if (server.busyWorkers < parameters.workers()) {
            server.busyWorkers++;
            work.run();
        } else {
            server.queue.add(work);
        }
    }

    private void endAttempt(Node node, long request, int attempt, AttemptOutcome outcome, long sentAt) {
        scheduleAfter(MILLISECOND_US / 2, () -> {
            inFlight.merge(request, -1, Integer::sum);
            node.balancer.onAttemptEnded(
                    now, request, attempt, outcome == AttemptOutcome.OK, outcome, now - sentAt, null);
        });
    }

    /** Counts an attempt that reaches a cold server, whatever its outcome. */
    private void recordArrival(Server server, boolean notified) {
        if (capacityRatio(server) >= 1) {
            return;
        }
        server.arrivals.add(new Arrival(now, notified));
        server.windowNotified += notified ? 1 : 0;
        if (server.windowLength != overloadWindow) {
            server.windowLength = overloadWindow;
            server.windowFrom = 0;
            server.windowNotified =
                    (int) server.arrivals.stream().filter(Arrival::notified).count();
        }
        while (server.arrivals.get(server.windowFrom).at() < now - overloadWindow) {
            server.windowNotified -= server.arrivals.get(server.windowFrom++).notified() ? 1 : 0;
        }
        int inWindow = server.arrivals.size() - server.windowFrom;
        double allowed =
                parameters.multiple() * warmCapacityPerSecond() * capacityRatio(server) * overloadWindow / SECOND_US;
        double ratio = inWindow / (allowed + 2 * Math.sqrt(allowed) + 2);
        worstRatio = Math.max(worstRatio, ratio);
        minAllowed = Math.min(minAllowed, allowed);
        maxAllowed = Math.max(maxAllowed, allowed);
        if (3 * server.windowNotified > 2 * inWindow) {
            worstRatioToLimit = Math.max(worstRatioToLimit, inWindow / limit(allowed));
        }
        if (ratio > 1 && !server.failed) {
            server.failed = true;
            failedIncarnations++;
        }
    }

    /** The limit of the specification, implemented independently of the module's own {@link SlowStartLimit}. */
    private static double limit(double allowed) {
        return allowed < 30 ? allowed + 3 * Math.sqrt(allowed) + 3 : allowed + 2 * Math.sqrt(allowed) + 2;
    }
}

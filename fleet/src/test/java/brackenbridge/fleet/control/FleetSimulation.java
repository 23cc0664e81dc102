package brackenbridge.fleet.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Nodes and control machines in simulated time, with the real decisions of whom to connect to, when, and who is
 * admitted; for tests. A region that is cut off has no majority: its machines are not confirmed.
 */
final class FleetSimulation {
    private static final double ONE_WAY_DELAY_MS = 20;

    /** Something that happens at a node; an older visit than the node's own is void. */
    private record Event(double atMs, long order, Node node, long generation, Runnable action) {}

    /** A control machine. */
    private static final class Machine {
        private final ControlMachine address;
        private final AdmissionLimiter admissions;
        private int nodes;

        Machine(ControlMachine is, ControlLimits limits) {
            this.address = is;
            this.admissions = new AdmissionLimiter(limits.admissionsPerSecond(), limits.admissionBurst());
        }
    }

    /** A node. */
    private final class Node {
        private final String region;
        private final MachineSelector selector;
        private Machine servingMachine;
        private long generation;
        private double confirmedSinceMs = Double.NaN;

        Node(String region, long seed) {
            this.region = region;
            selector = new MachineSelector(
                    machines.stream().map(machine -> machine.address).toList(),
                    region,
                    limits,
                    new SplittableRandom(seed));
        }

        void connectNext() {
            MachineSelector.Attempt attempt = selector.next();
            Machine machine = byName.get(attempt.machine().name());
            schedule(nowMs + attempt.delayMs(), this, () -> dial(machine));
        }

        private void dial(Machine machine) {
            attemptsBySecond.merge((long) (nowMs / 1000), 1, Integer::sum);
            if (!isReachable(region, machine.address.region())) {
                schedule(nowMs + limits.connectTimeoutMs(), this, this::onFailed);
                return;
            }
            schedule(nowMs + 2 * ONE_WAY_DELAY_MS, this, () -> subscribe(machine));
        }

        private void subscribe(Machine machine) {
            if (machine.nodes >= limits.maxSubscribers()) {
                onFailed();
                return;
            }
            OptionalDouble retryAfter = machine.admissions.admit(nowMs);
            if (retryAfter.isPresent()) {
                rejected++;
                selector.onRetryAfter(retryAfter.getAsDouble());
                connectNext();
                return;
            }
            machine.nodes++;
            servingMachine = machine;
            double homeAtMs =
                    selector.isHome(machine.address) ? Double.POSITIVE_INFINITY : nowMs + selector.returnHomeDelayMs();
            onHeartbeat(nowMs, homeAtMs);
        }

        /** Looks at each heartbeat whether it stays. */
        private void onHeartbeat(double lastConfirmedMs, double homeAtMs) {
            boolean silent = !isReachable(region, servingMachine.address.region());
            boolean confirmed = !silent && !servingMachine.address.region().equals(isolatedRegion);
            double confirmedMs = confirmed ? nowMs : lastConfirmedMs;
            if (confirmed) {
                selector.onConfirmed();
                confirmedSinceMs = Double.isNaN(confirmedSinceMs) ? nowMs : confirmedSinceMs;
            } else {
                confirmedSinceMs = Double.NaN;
            }
            if (silent && nowMs - confirmedMs > limits.silenceTimeoutMs()
                    || nowMs - confirmedMs > selector.unconfirmedTimeoutMs()) {
                disconnect();
                onFailed();
            } else if (nowMs >= homeAtMs) {
                disconnect();
                selector.returnHome();
                connectNext();
            } else {
                schedule(nowMs + limits.heartbeatMs(), this, () -> onHeartbeat(confirmedMs, homeAtMs));
            }
        }

        private void disconnect() {
            servingMachine.nodes--;
            servingMachine = null;
            confirmedSinceMs = Double.NaN;
        }

        private void onFailed() {
            selector.onFailed();
            connectNext();
        }
    }

    private final ControlLimits limits;
    private final List<Machine> machines = new ArrayList<>();
    private final Map<String, Machine> byName = new HashMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.order(), b.order()));
    private final Map<Long, Integer> attemptsBySecond = new HashMap<>();
    private double nowMs;
    private long order;
    private long rejected;
    private String isolatedRegion = "";

    FleetSimulation(List<ControlMachine> machines, List<String> regions, int nodes, ControlLimits limits, long seed) {
        this.limits = limits;
        machines.forEach(is -> {
            Machine machine = new Machine(is, limits);
            this.machines.add(machine);
            byName.put(is.name(), machine);
        });
        for (int i = 0; i < nodes; i++) {
            Node node = new Node(regions.get(i % regions.size()), seed * 100_003 + i);
            this.nodes.add(node);
            node.connectNext();
        }
    }

    private void schedule(double atMs, Node node, Runnable run) {
        events.add(new Event(atMs, ++order, node, ++node.generation, run));
    }

    private boolean isReachable(String one, String other) {
        return one.equals(other) || !one.equals(isolatedRegion) && !other.equals(isolatedRegion);
    }

    /** From now on nothing comes through between this region and the others; empty: all comes through. */
    void isolatedRegion(String region) {
        isolatedRegion = region;
    }

    void runUntil(double untilMs) {
        while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            if (event.generation() == event.node().generation) {
                event.action().run();
            }
        }
        nowMs = untilMs;
    }

    /** Nodes that a confirmed machine serves; of this region, or of all but it. */
    long countConfirmed(String region, boolean inside) {
        return nodes.stream()
                .filter(node -> node.region.equals(region) == inside && !Double.isNaN(node.confirmedSinceMs))
                .count();
    }

    /** Nodes that their own region's machine serves. */
    long countAtHome() {
        return nodes.stream()
                .filter(node -> node.servingMachine != null
                        && node.servingMachine.address.region().equals(node.region))
                .count();
    }

    /** When the last node was served by a confirmed machine; infinite if one is not. */
    double lastConfirmedMs() {
        return nodes.stream()
                .mapToDouble(
                        node -> Double.isNaN(node.confirmedSinceMs) ? Double.POSITIVE_INFINITY : node.confirmedSinceMs)
                .max()
                .orElse(0);
    }

    /** The most connections that all nodes together began in a second of this time. */
    int maxAttemptsPerSecond(double fromMs, double untilMs) {
        return attemptsBySecond.entrySet().stream()
                .filter(entry -> entry.getKey() * 1000 >= fromMs && entry.getKey() * 1000 < untilMs)
                .mapToInt(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    long rejected() {
        return rejected;
    }

    int maxNodesPerMachine() {
        return machines.stream().mapToInt(machine -> machine.nodes).max().orElse(0);
    }
}

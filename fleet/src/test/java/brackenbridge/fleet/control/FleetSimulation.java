package brackenbridge.fleet.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates nodes and control machines, with the production classes for selecting machines and admitting nodes. An
 * isolated region has no majority: the heartbeats of its machines are not confirmed.
 */
final class FleetSimulation {
    private static final double ONE_WAY_DELAY_MS = 20;

    /** An event at a node; ignored if its generation is older than the node's. */
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
            OptionalDouble retryAfterMs = machine.admissions.admit(nowMs);
            if (retryAfterMs.isPresent()) {
                rejected++;
                selector.onRetryAfter(retryAfterMs.getAsDouble());
                connectNext();
                return;
            }
            machine.nodes++;
            servingMachine = machine;
            double homeAtMs =
                    selector.isHome(machine.address) ? Double.POSITIVE_INFINITY : nowMs + selector.returnHomeDelayMs();
            onHeartbeat(nowMs, homeAtMs);
        }

        /** Decides at each heartbeat whether the node stays connected. */
        private void onHeartbeat(double lastConfirmedMs, double homeAtMs) {
            boolean unreachable = !isReachable(region, servingMachine.address.region());
            boolean confirmed = !unreachable && !servingMachine.address.region().equals(isolatedRegion);
            double confirmedMs = confirmed ? nowMs : lastConfirmedMs;
            if (confirmed) {
                selector.onConfirmed();
                confirmedSinceMs = Double.isNaN(confirmedSinceMs) ? nowMs : confirmedSinceMs;
            } else {
                confirmedSinceMs = Double.NaN;
            }
            if (unreachable && nowMs - confirmedMs > limits.silenceTimeoutMs()
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

    private boolean isReachable(String first, String second) {
        return first.equals(second) || !first.equals(isolatedRegion) && !second.equals(isolatedRegion);
    }

    /** Isolates this region from the others from now on; an empty name ends the isolation. */
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

    /** The number of nodes served by a confirmed machine, in this region or in all others. */
    long countConfirmed(String region, boolean inRegion) {
        return nodes.stream()
                .filter(node -> node.region.equals(region) == inRegion && !Double.isNaN(node.confirmedSinceMs))
                .count();
    }

    /** The number of nodes served by a machine of their own region. */
    long countAtHome() {
        return nodes.stream()
                .filter(node -> node.servingMachine != null
                        && node.servingMachine.address.region().equals(node.region))
                .count();
    }

    /** When the last node got a confirmed machine; infinite if one has none. */
    double lastConfirmedMs() {
        return nodes.stream()
                .mapToDouble(
                        node -> Double.isNaN(node.confirmedSinceMs) ? Double.POSITIVE_INFINITY : node.confirmedSinceMs)
                .max()
                .orElse(0);
    }

    /** The maximum number of connection attempts of all nodes per second in this period. */
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

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
    private static final double WAY_MS = 20;

    /** Something that happens at a node; an older visit than the node's own is void. */
    private record Event(double atMs, long order, Node node, long visit, Runnable run) {}

    /** A control machine. */
    private static final class Machine {
        private final ControlMachine is;
        private final AdmissionLimiter admissions;
        private int nodes;

        Machine(ControlMachine is, ControlLimits limits) {
            this.is = is;
            this.admissions = new AdmissionLimiter(limits.admissionsPerSecond(), limits.admissionBurst());
        }
    }

    /** A node. */
    private final class Node {
        private final String region;
        private final MachineSelector selector;
        private Machine served;
        private long visit;
        private double confirmedSinceMs = Double.NaN;

        Node(String region, long seed) {
            this.region = region;
            selector = new MachineSelector(
                    machines.stream().map(machine -> machine.is).toList(), region, limits, new SplittableRandom(seed));
        }

        void connectNext() {
            MachineSelector.Attempt attempt = selector.next();
            Machine machine = byName.get(attempt.machine().name());
            at(nowMs + attempt.delayMs(), this, () -> dial(machine));
        }

        private void dial(Machine machine) {
            attempts.merge((long) (nowMs / 1000), 1, Integer::sum);
            if (!reach(region, machine.is.region())) {
                at(nowMs + limits.connectTimeoutMs(), this, this::failed);
                return;
            }
            at(nowMs + 2 * WAY_MS, this, () -> subscribe(machine));
        }

        private void subscribe(Machine machine) {
            if (machine.nodes >= limits.maxSubscribers()) {
                failed();
                return;
            }
            OptionalDouble retryAfter = machine.admissions.admit(nowMs);
            if (retryAfter.isPresent()) {
                refused++;
                selector.askedToWait(retryAfter.getAsDouble());
                connectNext();
                return;
            }
            machine.nodes++;
            served = machine;
            double homeAtMs = selector.isHome(machine.is) ? Double.POSITIVE_INFINITY : nowMs + selector.homeAfterMs();
            stay(nowMs, homeAtMs);
        }

        /** Looks at each heartbeat whether it stays. */
        private void stay(double lastConfirmedMs, double homeAtMs) {
            boolean silent = !reach(region, served.is.region());
            boolean confirmed = !silent && !served.is.region().equals(cut);
            double confirmedMs = confirmed ? nowMs : lastConfirmedMs;
            if (confirmed) {
                selector.confirmed();
                confirmedSinceMs = Double.isNaN(confirmedSinceMs) ? nowMs : confirmedSinceMs;
            } else {
                confirmedSinceMs = Double.NaN;
            }
            if (silent && nowMs - confirmedMs > limits.silenceTimeoutMs()
                    || nowMs - confirmedMs > selector.patienceMs()) {
                leave();
                failed();
            } else if (nowMs >= homeAtMs) {
                leave();
                selector.goHome();
                connectNext();
            } else {
                at(nowMs + limits.heartbeatMs(), this, () -> stay(confirmedMs, homeAtMs));
            }
        }

        private void leave() {
            served.nodes--;
            served = null;
            confirmedSinceMs = Double.NaN;
        }

        private void failed() {
            selector.failed();
            connectNext();
        }
    }

    private final ControlLimits limits;
    private final List<Machine> machines = new ArrayList<>();
    private final Map<String, Machine> byName = new HashMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.order(), b.order()));
    private final Map<Long, Integer> attempts = new HashMap<>();
    private double nowMs;
    private long order;
    private long refused;
    private String cut = "";

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

    private void at(double atMs, Node node, Runnable run) {
        events.add(new Event(atMs, ++order, node, ++node.visit, run));
    }

    private boolean reach(String one, String other) {
        return one.equals(other) || !one.equals(cut) && !other.equals(cut);
    }

    /** From now on nothing comes through between this region and the others; empty: all comes through. */
    void cut(String region) {
        cut = region;
    }

    void runUntil(double untilMs) {
        while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            if (event.visit() == event.node().visit) {
                event.run().run();
            }
        }
        nowMs = untilMs;
    }

    /** Nodes that a confirmed machine serves; of this region, or of all but it. */
    long confirmed(String region, boolean inside) {
        return nodes.stream()
                .filter(node -> node.region.equals(region) == inside && !Double.isNaN(node.confirmedSinceMs))
                .count();
    }

    /** Nodes that their own region's machine serves. */
    long atHome() {
        return nodes.stream()
                .filter(node -> node.served != null && node.served.is.region().equals(node.region))
                .count();
    }

    /** When the last node was served by a confirmed machine; infinite if one is not. */
    double allConfirmedMs() {
        return nodes.stream()
                .mapToDouble(
                        node -> Double.isNaN(node.confirmedSinceMs) ? Double.POSITIVE_INFINITY : node.confirmedSinceMs)
                .max()
                .orElse(0);
    }

    /** The most connections that all nodes together began in a second of this time. */
    int mostAttempts(double fromMs, double untilMs) {
        return attempts.entrySet().stream()
                .filter(entry -> entry.getKey() * 1000 >= fromMs && entry.getKey() * 1000 < untilMs)
                .mapToInt(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    long refused() {
        return refused;
    }

    int mostNodes() {
        return machines.stream().mapToInt(machine -> machine.nodes).max().orElse(0);
    }
}

package brackenbridge.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Simulates nodes that poll a discovery service after its outage. The service answers queued calls in order; calls that
 * were abandoned in the meantime still take their service time.
 */
final class RecoveringDiscoveryService {
    /** Responses within this time after the service's recovery are measured. */
    static final double MEASURED_TIME_MS = 6000;

    private static final double STEP_MS = 5;
    private static final double OUTAGE_MS = 12_000;
    private static final double SILENCE_MS = 3000;

    /**
     * The parameters of the service.
     *
     * @param queueLimit how many calls may be queued; further calls are rejected at once
     * @param timeoutMs a call that has been queued for this long is rejected
     * @param serviceTimeMs the service time of a call
     */
    record Service(int queueLimit, double timeoutMs, double serviceTimeMs) {}

    /**
     * The result within the measured time.
     *
     * @param answered nodes that were answered
     * @param lastMs when the last of them was answered, counted from the recovery
     * @param rejected calls that were rejected or abandoned after the recovery
     */
    record Result(int answered, double lastMs, int rejected) {}

    /** A call in the service's queue. */
    private record QueuedCall(Node node, long call) {}

    /** A node and its current call. */
    private static final class Node {
        private final DiscoveryWatch watch;
        private double wakeAtMs = Double.POSITIVE_INFINITY;
        private long timer;
        private long call = -1;
        private double calledAtMs;
        private double answeredAtMs = -1;

        Node(long seed) {
            watch = new DiscoveryWatch(new DiscoverySource(true, 10_000), SILENCE_MS, new SplittableRandom(seed));
        }

        void execute(double now, List<DiscoveryCommand> commands) {
            for (DiscoveryCommand command : commands) {
                if (command instanceof DiscoveryCommand.OpenWatch open) {
                    call = open.call();
                    calledAtMs = now;
                } else if (command instanceof DiscoveryCommand.Wake wake) {
                    wakeAtMs = wake.atMs();
                    timer = wake.timer();
                }
            }
        }

        /** Fires the node's timer if it is due; returns whether it starts a call. */
        boolean startsCall(double now) {
            long before = call;
            if (answeredAtMs < 0 && wakeAtMs <= now) {
                wakeAtMs = Double.POSITIVE_INFINITY;
                execute(now, watch.onTimer(now, timer));
            }
            return call != before;
        }

        boolean isWaiting() {
            return answeredAtMs < 0 && watch.isOpen(call);
        }

        void rejectCall(double now) {
            execute(now, watch.onCallEnded(now, call));
        }
    }

    private final Service service;
    private final List<Node> pollingNodes = new ArrayList<>();
    private final Deque<QueuedCall> queue = new ArrayDeque<>();
    private double freeAtMs = OUTAGE_MS;
    private int rejected;

    private RecoveringDiscoveryService(int nodes, Service service) {
        this.service = service;
        for (int i = 0; i < nodes; i++) {
            pollingNodes.add(new Node(i));
            pollingNodes.get(i).execute(0, pollingNodes.get(i).watch.start(0, 41));
        }
    }

    /** Simulates the outage and the measured time after it. */
    static Result simulate(int nodes, Service service) {
        RecoveringDiscoveryService simulation = new RecoveringDiscoveryService(nodes, service);
        for (double now = 0; now < OUTAGE_MS + MEASURED_TIME_MS; now += STEP_MS) {
            simulation.startCalls(now);
            simulation.serveCalls(now);
        }
        int answered = (int) simulation.pollingNodes.stream()
                .filter(node -> node.answeredAtMs >= 0)
                .count();
        double lastMs = simulation.pollingNodes.stream()
                        .mapToDouble(node -> node.answeredAtMs)
                        .max()
                        .orElse(OUTAGE_MS)
                - OUTAGE_MS;
        return new Result(answered, lastMs, simulation.rejected);
    }

    private void startCalls(double now) {
        for (Node node : pollingNodes) {
            boolean startsCall = node.startsCall(now);
            if (startsCall && now >= OUTAGE_MS && queue.size() < service.queueLimit()) {
                queue.add(new QueuedCall(node, node.call));
            } else if (startsCall || node.isWaiting() && now >= node.calledAtMs + service.timeoutMs()) {
                rejected += now >= OUTAGE_MS ? 1 : 0;
                node.rejectCall(now);
            }
        }
    }

    private void serveCalls(double now) {
        if (freeAtMs < now - STEP_MS) {
            // The service was idle.
            freeAtMs = now;
        }
        while (!queue.isEmpty() && freeAtMs <= now) {
            QueuedCall next = queue.poll();
            freeAtMs += service.serviceTimeMs();
            if (next.node().watch.isOpen(next.call())) {
                next.node().watch.onEndpointList(now, next.call(), 42, true);
                next.node().answeredAtMs = now;
            }
        }
    }
}

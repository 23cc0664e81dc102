package brackenbridge.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Nodes that poll a discovery service which was down and serves their queued calls in order once it is back; for tests.
 * Calls that were abandoned meanwhile take their service time all the same.
 */
final class RecoveringDiscoveryService {
    /** Responses within this time from the service's return are measured. */
    static final double MEASURED_TIME_MS = 6000;

    private static final double STEP_MS = 5;
    private static final double OUTAGE_MS = 12_000;
    private static final double SILENCE_MS = 3000;

    /**
     * A service.
     *
     * @param line how many calls may be queued; more are rejected at once
     * @param timeOutMs a call that has been queued for so long is rejected
     * @param serveMs what a call costs it
     */
    record Service(int queueLimit, double timeoutMs, double serviceTimeMs) {}

    /**
     * The result within the measured time.
     *
     * @param answered nodes that were answered
     * @param lastMs when the last of them was, counted from the return
     * @param rejected calls that were rejected or abandoned after the return
     */
    record Result(int answered, double lastMs, int rejected) {}

    /** A call at the service. */
    private record QueuedCall(Node node, long call) {}

    /** One node and its call. */
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

        void execute(double now, List<DiscoveryCommand> steps) {
            for (DiscoveryCommand step : steps) {
                if (step instanceof DiscoveryCommand.OpenWatch open) {
                    call = open.call();
                    calledAtMs = now;
                } else if (step instanceof DiscoveryCommand.Wake wake) {
                    wakeAtMs = wake.atMs();
                    timer = wake.timer();
                }
            }
        }

        /** Whether it makes a call at this moment. */
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

    /** Plays the outage and the time that counts after it. */
    static Result simulate(int nodes, Service service) {
        RecoveringDiscoveryService played = new RecoveringDiscoveryService(nodes, service);
        for (double now = 0; now < OUTAGE_MS + MEASURED_TIME_MS; now += STEP_MS) {
            played.startCalls(now);
            played.serveCalls(now);
        }
        int answered = (int) played.pollingNodes.stream()
                .filter(caller -> caller.answeredAtMs >= 0)
                .count();
        double last = played.pollingNodes.stream()
                        .mapToDouble(caller -> caller.answeredAtMs)
                        .max()
                        .orElse(OUTAGE_MS)
                - OUTAGE_MS;
        return new Result(answered, last, played.rejected);
    }

    private void startCalls(double now) {
        for (Node caller : pollingNodes) {
            boolean calls = caller.startsCall(now);
            if (calls && now >= OUTAGE_MS && queue.size() < service.queueLimit()) {
                queue.add(new QueuedCall(caller, caller.call));
            } else if (calls || caller.isWaiting() && now >= caller.calledAtMs + service.timeoutMs()) {
                rejected += now >= OUTAGE_MS ? 1 : 0;
                caller.rejectCall(now);
            }
        }
    }

    private void serveCalls(double now) {
        if (freeAtMs < now - STEP_MS) {
            // It has been idle.
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

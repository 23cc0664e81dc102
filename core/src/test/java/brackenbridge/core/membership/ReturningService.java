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
final class ReturningService {
    /** Responses within this time from the service's return are measured. */
    static final double MEASURED_MS = 6000;

    private static final double STEP_MS = 5;
    private static final double DOWN_MS = 12_000;
    private static final double SILENCE_MS = 3000;

    /**
     * A service.
     *
     * @param line how many calls may be queued; more are rejected at once
     * @param timeOutMs a call that has been queued for so long is rejected
     * @param serveMs what a call costs it
     */
    record Service(int line, double timeOutMs, double serveMs) {}

    /**
     * The result within the measured time.
     *
     * @param answered nodes that were answered
     * @param lastMs when the last of them was, counted from the return
     * @param rejected calls that were rejected or abandoned after the return
     */
    record Result(int answered, double lastMs, int rejected) {}

    /** A call at the service. */
    private record Waiting(Caller caller, long call) {}

    /** One node and its call. */
    private static final class Caller {
        private final DiscoveryWatch membership;
        private double wakeAt = Double.POSITIVE_INFINITY;
        private long timer;
        private long call = -1;
        private double calledAt;
        private double answeredAt = -1;

        Caller(long seed) {
            membership = new DiscoveryWatch(new DiscoverySource(true, 10_000), SILENCE_MS, new SplittableRandom(seed));
        }

        void run(double now, List<DiscoveryCommand> steps) {
            for (DiscoveryCommand step : steps) {
                if (step instanceof DiscoveryCommand.OpenWatch open) {
                    call = open.call();
                    calledAt = now;
                } else if (step instanceof DiscoveryCommand.Wake wake) {
                    wakeAt = wake.atMs();
                    timer = wake.timer();
                }
            }
        }

        /** Whether it makes a call at this moment. */
        boolean startsCall(double now) {
            long before = call;
            if (answeredAt < 0 && wakeAt <= now) {
                wakeAt = Double.POSITIVE_INFINITY;
                run(now, membership.onTimer(now, timer));
            }
            return call != before;
        }

        boolean isWaiting() {
            return answeredAt < 0 && membership.isOpen(call);
        }

        void rejectCall(double now) {
            run(now, membership.onCallEnded(now, call));
        }
    }

    private final Service service;
    private final List<Caller> callers = new ArrayList<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private double freeAt = DOWN_MS;
    private int rejected;

    private ReturningService(int nodes, Service service) {
        this.service = service;
        for (int i = 0; i < nodes; i++) {
            callers.add(new Caller(i));
            callers.get(i).run(0, callers.get(i).membership.start(0, 41));
        }
    }

    /** Plays the outage and the time that counts after it. */
    static Result play(int nodes, Service service) {
        ReturningService played = new ReturningService(nodes, service);
        for (double now = 0; now < DOWN_MS + MEASURED_MS; now += STEP_MS) {
            played.startCalls(now);
            played.serveCalls(now);
        }
        int answered = (int)
                played.callers.stream().filter(caller -> caller.answeredAt >= 0).count();
        double last = played.callers.stream()
                        .mapToDouble(caller -> caller.answeredAt)
                        .max()
                        .orElse(DOWN_MS)
                - DOWN_MS;
        return new Result(answered, last, played.rejected);
    }

    private void startCalls(double now) {
        for (Caller caller : callers) {
            boolean calls = caller.startsCall(now);
            if (calls && now >= DOWN_MS && waiting.size() < service.line()) {
                waiting.add(new Waiting(caller, caller.call));
            } else if (calls || caller.isWaiting() && now >= caller.calledAt + service.timeOutMs()) {
                rejected += now >= DOWN_MS ? 1 : 0;
                caller.rejectCall(now);
            }
        }
    }

    private void serveCalls(double now) {
        if (freeAt < now - STEP_MS) {
            // It has been idle.
            freeAt = now;
        }
        while (!waiting.isEmpty() && freeAt <= now) {
            Waiting next = waiting.poll();
            freeAt += service.serveMs();
            if (next.caller().membership.isOpen(next.call())) {
                next.caller().membership.onEndpointList(now, next.call(), 42, true);
                next.caller().answeredAt = now;
            }
        }
    }
}

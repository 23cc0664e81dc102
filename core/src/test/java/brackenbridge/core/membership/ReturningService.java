package brackenbridge.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Nodes at a service of lists that was down and works through their calls in turn once it is back; for tests. Calls
 * that were given up meanwhile cost the service their turn all the same.
 */
final class ReturningService {
    /** What counts as told, counted from the service's return. */
    static final double TOLD_MS = 6000;

    private static final double STEP_MS = 5;
    private static final double DOWN_MS = 12_000;
    private static final double SILENCE_MS = 3000;

    /**
     * A service.
     *
     * @param line how many calls may wait; more are refused at once
     * @param timeOutMs a call that has waited so long is refused
     * @param serveMs what a call costs it
     */
    record Service(int line, double timeOutMs, double serveMs) {}

    /**
     * What came of it within the time that counts.
     *
     * @param answered nodes that were answered
     * @param lastMs when the last of them was, counted from the return
     * @param refused calls that were refused or given up after the return
     */
    record Result(int answered, double lastMs, int refused) {}

    /** A call at the service. */
    private record Waiting(Caller caller, long call) {}

    /** One node and its call. */
    private static final class Caller {
        private final DiscoveryWatch membership;
        private double wakeAt = Double.POSITIVE_INFINITY;
        private long turn;
        private long call = -1;
        private double askedAt;
        private double answeredAt = -1;

        Caller(long seed) {
            membership = new DiscoveryWatch(new DiscoverySource(true, 10_000), SILENCE_MS, new SplittableRandom(seed));
        }

        void run(double now, List<DiscoveryCommand> steps) {
            for (DiscoveryCommand step : steps) {
                if (step instanceof DiscoveryCommand.OpenWatch open) {
                    call = open.call();
                    askedAt = now;
                } else if (step instanceof DiscoveryCommand.Wake wake) {
                    wakeAt = wake.atMs();
                    turn = wake.timer();
                }
            }
        }

        /** Whether it makes a call at this moment. */
        boolean calls(double now) {
            long before = call;
            if (answeredAt < 0 && wakeAt <= now) {
                wakeAt = Double.POSITIVE_INFINITY;
                run(now, membership.onTimer(now, turn));
            }
            return call != before;
        }

        boolean isWaiting() {
            return answeredAt < 0 && membership.isOpen(call);
        }

        void refused(double now) {
            run(now, membership.onCallEnded(now, call));
        }
    }

    private final Service service;
    private final List<Caller> callers = new ArrayList<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private double freeAt = DOWN_MS;
    private int refused;

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
        for (double now = 0; now < DOWN_MS + TOLD_MS; now += STEP_MS) {
            played.ask(now);
            played.serve(now);
        }
        int answered = (int)
                played.callers.stream().filter(caller -> caller.answeredAt >= 0).count();
        double last = played.callers.stream()
                        .mapToDouble(caller -> caller.answeredAt)
                        .max()
                        .orElse(DOWN_MS)
                - DOWN_MS;
        return new Result(answered, last, played.refused);
    }

    private void ask(double now) {
        for (Caller caller : callers) {
            boolean calls = caller.calls(now);
            if (calls && now >= DOWN_MS && waiting.size() < service.line()) {
                waiting.add(new Waiting(caller, caller.call));
            } else if (calls || caller.isWaiting() && now >= caller.askedAt + service.timeOutMs()) {
                refused += now >= DOWN_MS ? 1 : 0;
                caller.refused(now);
            }
        }
    }

    private void serve(double now) {
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

package brackenbridge.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A hundred nodes at a service that was down and works through their calls in turn once it is back. */
class ReturnTest {
    private static final int NODES = 100;
    private static final double STEP_MS = 5;
    private static final double DOWN_MS = 12_000;

    /** One node and its call. */
    private static final class Caller {
        final Membership m;
        double wakeAt = Double.POSITIVE_INFINITY;
        long turn;
        long call = -1;
        double askedAt;
        double answeredAt = -1;

        Caller(long seed) {
            m = new Membership(new Source(true, 10_000), 3000, new SplittableRandom(seed));
        }

        void run(double now, List<Step> steps) {
            for (Step step : steps) {
                if (step instanceof Step.Open o) {
                    call = o.call();
                    askedAt = now;
                } else if (step instanceof Step.Wake w) {
                    wakeAt = w.atMs();
                    turn = w.turn();
                }
            }
        }
    }

    /** Lines shorter and longer than what is served within the time-out; calls given up cost the service their turn. */
    @ParameterizedTest
    @CsvSource({"17, 1000", "77, 1000", "17, 2000", "77, 2000"})
    void everyNodeIsAnsweredWithinSixSeconds(int line, double timeOutMs) {
        double serveMs = 20;
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            callers.add(new Caller(i));
            callers.get(i).run(0, callers.get(i).m.start(0, 41));
        }
        Deque<long[]> waiting = new ArrayDeque<>();
        double freeAt = DOWN_MS;
        for (double now = 0; now < DOWN_MS + 6000; now += STEP_MS) {
            for (int i = 0; i < NODES; i++) {
                Caller c = callers.get(i);
                long before = c.call;
                if (c.answeredAt < 0 && c.wakeAt <= now) {
                    c.wakeAt = Double.POSITIVE_INFINITY;
                    c.run(now, c.m.wake(now, c.turn));
                }
                if (c.call != before && now >= DOWN_MS && waiting.size() < line) {
                    waiting.add(new long[] {i, c.call});
                } else if (c.call != before || c.m.isOpen(c.call) && c.answeredAt < 0
                        && now >= c.askedAt + timeOutMs) {
                    c.run(now, c.m.ended(now, c.call));
                }
            }
            while (!waiting.isEmpty() && freeAt <= now) {
                long[] next = waiting.poll();
                Caller c = callers.get((int) next[0]);
                freeAt = now + serveMs;
                if (c.m.isOpen(next[1])) {
                    c.m.told(now, next[1], 42, true);
                    c.answeredAt = now;
                }
            }
        }
        assertEquals(NODES, callers.stream().filter(c -> c.answeredAt >= 0).count(), "answered");
        double last = callers.stream().mapToDouble(c -> c.answeredAt).max().orElseThrow() - DOWN_MS;
        assertTrue(last < 6000, "the last one after " + last + " ms");
    }
}

package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Legal events from a seed, in no sensible order: late and repeated ones, flapping lists, jumps of the clock,
 * absurd reports. Every action is held against the rules; nothing here models a server.
 */
class RulesTest {
    private static final long SLACK = 16_000;
    private static final List<RequestClass> CLASSES = List.of(
            Script.safe("safe", 2),
            Script.unsafe("unsafe", 9),
            Script.keyed("all", 5, DeduplicationScope.ALL),
            Script.keyed("zone", 4, DeduplicationScope.ZONE),
            Script.keyed("cell", 3, DeduplicationScope.CELL),
            new RequestClass(
                    "stream", 500_000, 2_000_000, Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, true, 1, 0.5));

    /** What the rules need to know of a request. */
    private static final class Told {
        final RequestClass kind;
        final long deadline;
        final List<Endpoint> to = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final List<AttemptOutcome> ended = new ArrayList<>();
        boolean closed;
        boolean streaming;

        Told(RequestClass kind, long deadline) {
            this.kind = kind;
            this.deadline = deadline;
        }

        /** The first attempt that is out or may have run; -1 for none. */
        int risky() {
            for (int i = 0; i < to.size(); i++) {
                if (ended.get(i) == null || !ended.get(i).neverRan) {
                    return i;
                }
            }
            return -1;
        }
    }

    /** Holds each action against the rules as it is taken. */
    private static final class Judge implements BalancerActions {
        final Map<Long, Told> requests = new LinkedHashMap<>();
        final Map<Long, Endpoint> list = new HashMap<>();
        final StringBuilder log = new StringBuilder();
        final Map<String, Long> timers = new LinkedHashMap<>();
        long now;
        int sends;
        int refusals;
        int failures;
        int repeats;

        private Told open(long request) {
            Told t = requests.get(request);
            assertTrue(t != null, "unknown request " + request);
            assertTrue(!t.closed, "request " + request + " had ended");
            return t;
        }

        @Override
        public void startAttempt(long request, long endpoint, long timeout) {
            Told t = open(request);
            Endpoint e = list.get(endpoint);
            assertTrue(e != null, "endpoint never listed");
            assertEquals(EndpointState.UP, e.state(), "send to an endpoint known to drain or be gone");
            assertTrue(timeout > 0);
            int before = t.risky();
            if (before >= 0) {
                repeats++;
                assertTrue(t.kind.idempotence() != Idempotence.NOT_IDEMPOTENT, "unsafe request sent again");
                if (t.kind.idempotence() == Idempotence.IDEMPOTENCY_KEY) {
                    Endpoint a = t.to.get(before);
                    assertTrue(now - t.sentAt.get(before) < t.kind.idempotencyKeyTtl(), "repeat after its window");
                    assertTrue(
                            switch (t.kind.deduplicationScope()) {
                                case ALL -> true;
                                case ZONE -> a.zone().equals(e.zone());
                                case CELL -> a.cell() == e.cell();
                            },
                            "repeat outside its group");
                }
            }
            sends++;
            t.to.add(e);
            t.sentAt.add(now);
            t.ended.add(null);
            log.append('s')
                    .append(request)
                    .append(' ')
                    .append(endpoint)
                    .append(' ')
                    .append(timeout)
                    .append('\n');
        }

        @Override
        public void reject(long request, long retryAfter) {
            Told t = open(request);
            int risky = t.risky();
            assertTrue(
                    risky < 0
                            || t.kind.idempotence() == Idempotence.IDEMPOTENT
                            || t.kind.idempotence() == Idempotence.IDEMPOTENCY_KEY
                                    && t.kind.deduplicationScope() == DeduplicationScope.ALL,
                    "unsafe refusal");
            refusals++;
            close(request, t);
        }

        @Override
        public void fail(long request) {
            failures++;
            close(request, open(request));
        }

        private void close(long request, Told t) {
            t.closed = true;
            assertTrue(now <= t.deadline + SLACK, "final answer late by " + (now - t.deadline));
            log.append("e").append(request).append('\n');
        }

        @Override
        public void setTimer(long at, String token) {
            timers.merge(token, at, Math::min);
        }

        @Override
        public void startHealthCheck(long endpoint) {
            throw new AssertionError("a probe costs the server work: none is asked for");
        }
    }

    private static Judge play(long seed, int steps) {
        SplittableRandom r = new SplittableRandom(seed);
        Judge j = new Judge();
        j.now = 5_000_000_000L;
        BalancerSettings s = new BalancerSettings(
                seed,
                r.nextInt(3),
                3,
                r.nextInt(2),
                "z0",
                CLASSES,
                List.of(),
                0.1,
                r.nextBoolean(),
                10_000_000,
                4,
                500,
                1_000_000,
                true,
                r.nextBoolean(),
                true,
                10_000_000,
                0.2,
                20_000_000,
                NetworkSettings.DEFAULT);
        Balancer b = new Balancer(s, j);
        change(r, j, b, EndpointListKind.CACHED, 12);
        long next = 1;
        for (int i = 0; i < steps; i++) {
            if (r.nextInt(4) == 0) {
                // Only whole events move the clock, and nothing falls due unseen on the way.
                advance(j, b, j.now + (r.nextInt(200) == 0 ? 180_000_000L : r.nextInt(60_000)));
            }
            int what = r.nextInt(20);
            if (what < 9) {
                RequestClass c = CLASSES.get(r.nextInt(CLASSES.size()));
                for (int n = r.nextInt(300) == 0 ? 2000 : 1; n > 0; n--) {
                    long left = r.nextInt(10) == 0 ? r.nextInt(3) - 1 : r.nextLong(c.deadline());
                    j.requests.put(next, new Told(c, j.now + Math.max(0, left)));
                    b.onRequest(
                            j.now,
                            new BalancerRequest(
                                    next,
                                    c.name(),
                                    null,
                                    r.nextInt(3) == 0 ? r.nextInt(9) : -1,
                                    left,
                                    r.nextInt(5),
                                    r.nextBoolean()));
                    next++;
                }
            } else if (what < 17) {
                List<Long> out = new ArrayList<>();
                for (Map.Entry<Long, Told> e : j.requests.entrySet()) {
                    if (e.getValue().ended.contains(null)) {
                        out.add(e.getKey());
                        if (out.size() > 20) {
                            break;
                        }
                    }
                }
                if (!out.isEmpty()) {
                    long id = out.get(r.nextInt(out.size()));
                    end(
                            r,
                            j,
                            b,
                            id,
                            j.requests.get(id).ended.indexOf(null),
                            AttemptOutcome.values()[r.nextInt(2) * r.nextInt(8)]);
                }
            } else if (what == 17) {
                change(r, j, b, EndpointListKind.values()[r.nextInt(3)], r.nextInt(14));
            } else if (what == 18) {
                long id = 1 + r.nextLong(next + 3);
                Told t = j.requests.get(id);
                if (t != null && t.closed) {
                    b.onClientDisconnected(j.now, id);
                    b.onAttemptEnded(j.now, id, r.nextInt(9), true, AttemptOutcome.OK, 1, null);
                }
                b.onTimer(j.now, "not of this instance");
            } else {
                b.onTimer(j.now, r.nextBoolean() ? "expiry" : "tick");
            }
        }
        advance(j, b, j.now + 10_000_000);
        for (Map.Entry<Long, Told> e : j.requests.entrySet()) {
            assertTrue(e.getValue().closed || e.getValue().streaming, "request " + e.getKey() + " lost");
        }
        return j;
    }

    /** Steps through timers and deadlines, at which an attempt still out times out, as on the wire. */
    private static void advance(Judge j, Balancer b, long until) {
        while (true) {
            long due = until;
            String timer = null;
            for (Map.Entry<String, Long> t : j.timers.entrySet()) {
                if (t.getValue() <= due) {
                    due = Math.max(j.now, t.getValue());
                    timer = t.getKey();
                }
            }
            Long timedOut = null;
            for (Map.Entry<Long, Told> t : j.requests.entrySet()) {
                if (t.getValue().ended.contains(null) && t.getValue().deadline < due) {
                    due = Math.max(j.now, t.getValue().deadline);
                    timedOut = t.getKey();
                }
            }
            j.now = due;
            if (timedOut != null) {
                end(null, j, b, timedOut, j.requests.get(timedOut).ended.indexOf(null), AttemptOutcome.TIMEOUT);
            } else if (timer != null) {
                j.timers.remove(timer);
                b.onTimer(j.now, timer);
            } else {
                return;
            }
        }
    }

    private static void end(SplittableRandom r, Judge j, Balancer b, long id, int attempt, AttemptOutcome outcome) {
        Told t = j.requests.get(id);
        if (t.kind.streamed() && r != null && !t.closed && r.nextBoolean()) {
            t.closed = true;
            t.streaming = true;
            b.onResponseStarted(j.now, id, attempt);
            return;
        }
        t.ended.set(attempt, outcome);
        if (outcome == AttemptOutcome.OK) {
            t.closed = true;
        }
        LoadReport absurd = r != null && r.nextBoolean()
                ? new LoadReport(Double.NaN, -5, 1e300, 0, Double.NaN, Double.POSITIVE_INFINITY)
                : null;
        b.onAttemptEnded(j.now, id, attempt, t.closed, outcome, j.now - t.sentAt.get(attempt), absurd);
    }

    private static void change(SplittableRandom r, Judge j, Balancer b, EndpointListKind kind, int n) {
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            long id = 100 + r.nextInt(30);
            EndpointState state = r.nextInt(3) > 0
                    ? EndpointState.UP
                    : kind == EndpointListKind.CHANGES ? EndpointState.REMOVED : EndpointState.DRAINING;
            entries.removeIf(e -> e.id() == id);
            entries.add(new Endpoint(id, id / 4, "z" + id % 3, r.nextInt(4), r.nextInt(3) > 0 ? 0 : j.now, state));
        }
        if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
            j.list.replaceAll((id, e) -> new Endpoint(id, e.cell(), e.zone(), 1, 0, EndpointState.REMOVED));
        }
        entries.forEach(e -> j.list.put(e.id(), e));
        b.onEndpointList(j.now, kind, entries);
    }

    @Test
    void theRulesHoldWhateverComes() {
        int repeats = 0;
        int refusals = 0;
        int failures = 0;
        for (long seed = 1; seed <= 24; seed++) {
            Judge j = play(seed, 2000);
            assertTrue(j.sends > 300, "the script sends");
            repeats += j.repeats;
            refusals += j.refusals;
            failures += j.failures;
        }
        assertTrue(repeats > 100, "repeats: " + repeats);
        assertTrue(refusals > 100, "refusals: " + refusals);
        assertTrue(failures > 100, "failures: " + failures);
    }

    @Test
    void sameEventsSameActions() {
        assertEquals(play(3, 2000).log.toString(), play(3, 2000).log.toString());
    }
}

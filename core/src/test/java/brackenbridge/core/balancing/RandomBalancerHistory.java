package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.balancing.InvariantCheckingActions.CheckedRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Generates random legal events from a seed: late and repeated ones, flapping lists, long pauses, invalid load reports.
 * Servers are not modelled.
 */
final class RandomBalancerHistory {
    private static final long START_US = 5_000_000_000L;
    private static final long LONG_PAUSE_US = 180_000_000L;
    private static final long SETTLE_US = 10_000_000;
    private static final int BURST_REQUESTS = 2000;
    private static final int MAX_CANDIDATES = 20;
    private static final List<RequestClass> CLASSES = List.of(
            ScriptedBalancer.idempotentClass("safe", 2),
            ScriptedBalancer.nonIdempotentClass("unsafe", 9),
            ScriptedBalancer.idempotencyKeyClass("all", 5, DeduplicationScope.ALL),
            ScriptedBalancer.idempotencyKeyClass("zone", 4, DeduplicationScope.ZONE),
            ScriptedBalancer.idempotencyKeyClass("cell", 3, DeduplicationScope.CELL),
            new RequestClass(
                    "stream", 500_000, 2_000_000, Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, true, 1, 0.5));

    private final SplittableRandom random;
    private final InvariantCheckingActions actions = new InvariantCheckingActions();
    private final Balancer balancer;
    private long nextRequest = 1;

    private RandomBalancerHistory(long seed) {
        random = new SplittableRandom(seed);
        actions.now = START_US;
        balancer = new Balancer(randomSettings(seed), actions);
    }

    /** Runs a random history of this many steps and returns its checked actions. */
    static InvariantCheckingActions run(long seed, int steps) {
        RandomBalancerHistory history = new RandomBalancerHistory(seed);
        history.sendEndpointList(EndpointListKind.CACHED, 12);
        for (int i = 0; i < steps; i++) {
            history.step();
        }
        history.advance(history.actions.now + SETTLE_US);
        history.checkThatAllEnded();
        return history.actions;
    }

    private BalancerSettings randomSettings(long seed) {
        return new BalancerSettings(
                seed,
                random.nextInt(3),
                3,
                random.nextInt(2),
                "z0",
                CLASSES,
                List.of(),
                0.1,
                random.nextBoolean(),
                10_000_000,
                4,
                500,
                1_000_000,
                true,
                random.nextBoolean(),
                true,
                10_000_000,
                0.2,
                20_000_000,
                NetworkSettings.DEFAULT);
    }

    private void step() {
        if (random.nextInt(4) == 0) {
            // The clock advances only between events, and no timer is skipped.
            advance(actions.now + (random.nextInt(200) == 0 ? LONG_PAUSE_US : random.nextInt(60_000)));
        }
        int event = random.nextInt(20);
        if (event < 9) {
            sendRequests();
        } else if (event < 17) {
            endRandomAttempt();
        } else if (event == 17) {
            sendEndpointList(EndpointListKind.values()[random.nextInt(3)], random.nextInt(14));
        } else if (event == 18) {
            repeatEndOfRandomRequest();
        } else {
            balancer.onTimer(actions.now, random.nextBoolean() ? "expiry" : "tick");
        }
    }

    private void sendRequests() {
        RequestClass requestClass = CLASSES.get(random.nextInt(CLASSES.size()));
        for (int count = random.nextInt(300) == 0 ? BURST_REQUESTS : 1; count > 0; count--) {
            long timeLeft = random.nextInt(10) == 0 ? random.nextInt(3) - 1 : random.nextLong(requestClass.deadline());
            actions.requests.put(nextRequest, new CheckedRequest(requestClass, actions.now + Math.max(0, timeLeft)));
            balancer.onRequest(
                    actions.now,
                    new BalancerRequest(
                            nextRequest,
                            requestClass.name(),
                            null,
                            random.nextInt(3) == 0 ? random.nextInt(9) : -1,
                            timeLeft,
                            random.nextInt(5),
                            random.nextBoolean()));
            nextRequest++;
        }
    }

    private void endRandomAttempt() {
        List<Long> inFlight = new ArrayList<>();
        for (Map.Entry<Long, CheckedRequest> entry : actions.requests.entrySet()) {
            if (entry.getValue().hasAttemptInFlight()) {
                inFlight.add(entry.getKey());
                if (inFlight.size() > MAX_CANDIDATES) {
                    break;
                }
            }
        }
        if (!inFlight.isEmpty()) {
            long id = inFlight.get(random.nextInt(inFlight.size()));
            int attempt = actions.requests.get(id).firstInFlight();
            AttemptOutcome outcome = AttemptOutcome.values()[random.nextInt(2) * random.nextInt(8)];
            if (!startRandomResponse(id, attempt)) {
                endAttempt(id, attempt, outcome, randomReport());
            }
        }
    }

    /** Starts the response of a streamed request with probability 1/2; returns whether it did. */
    private boolean startRandomResponse(long id, int attempt) {
        CheckedRequest request = actions.requests.get(id);
        if (!request.requestClass.streamed() || request.closed || !random.nextBoolean()) {
            return false;
        }
        request.closed = true;
        request.streaming = true;
        balancer.onResponseStarted(actions.now, id, attempt);
        return true;
    }

    private LoadReport randomReport() {
        return random.nextBoolean()
                ? new LoadReport(Double.NaN, -5, 1e300, 0, Double.NaN, Double.POSITIVE_INFINITY)
                : null;
    }

    private void endAttempt(long id, int attempt, AttemptOutcome outcome, LoadReport report) {
        CheckedRequest request = actions.requests.get(id);
        request.outcomes.set(attempt, outcome);
        if (outcome == AttemptOutcome.OK) {
            request.closed = true;
        }
        long latency = actions.now - request.sentAt.get(attempt);
        balancer.onAttemptEnded(actions.now, id, attempt, request.closed, outcome, latency, report);
    }

    private void repeatEndOfRandomRequest() {
        long id = 1 + random.nextLong(nextRequest + 3);
        CheckedRequest request = actions.requests.get(id);
        if (request != null && request.closed) {
            balancer.onClientDisconnected(actions.now, id);
            balancer.onAttemptEnded(actions.now, id, random.nextInt(9), true, AttemptOutcome.OK, 1, null);
        }
        balancer.onTimer(actions.now, "not of this instance");
    }

    /**
     * Advances the clock and handles timers and the deadlines at which attempts in flight time out, in order of time.
     */
    private void advance(long until) {
        while (true) {
            long due = until;
            String timer = null;
            for (Map.Entry<String, Long> entry : actions.timers.entrySet()) {
                if (entry.getValue() <= due) {
                    due = Math.max(actions.now, entry.getValue());
                    timer = entry.getKey();
                }
            }
            Long timedOut = null;
            for (Map.Entry<Long, CheckedRequest> entry : actions.requests.entrySet()) {
                CheckedRequest request = entry.getValue();
                if (request.hasAttemptInFlight() && request.deadline < due) {
                    due = Math.max(actions.now, request.deadline);
                    timedOut = entry.getKey();
                }
            }
            actions.now = due;
            if (timedOut != null) {
                int attempt = actions.requests.get(timedOut).firstInFlight();
                endAttempt(timedOut, attempt, AttemptOutcome.TIMEOUT, null);
            } else if (timer != null) {
                actions.timers.remove(timer);
                balancer.onTimer(actions.now, timer);
            } else {
                return;
            }
        }
    }

    private void sendEndpointList(EndpointListKind kind, int size) {
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            long id = 100 + random.nextInt(30);
            EndpointState state = random.nextInt(3) > 0
                    ? EndpointState.UP
                    : kind == EndpointListKind.CHANGES ? EndpointState.REMOVED : EndpointState.DRAINING;
            entries.removeIf(entry -> entry.id() == id);
            int weight = random.nextInt(4);
            long startedAt = random.nextInt(3) > 0 ? 0 : actions.now;
            entries.add(new Endpoint(id, id / 4, "z" + id % 3, weight, startedAt, state));
        }
        if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
            actions.endpoints.replaceAll(
                    (id, endpoint) -> new Endpoint(id, endpoint.cell(), endpoint.zone(), 1, 0, EndpointState.REMOVED));
        }
        entries.forEach(entry -> actions.endpoints.put(entry.id(), entry));
        balancer.onEndpointList(actions.now, kind, entries);
    }

    private void checkThatAllEnded() {
        for (Map.Entry<Long, CheckedRequest> entry : actions.requests.entrySet()) {
            CheckedRequest request = entry.getValue();
            assertTrue(request.closed || request.streaming, "request " + entry.getKey() + " lost");
        }
    }
}

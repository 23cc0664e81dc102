package brackenbridge.core.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Checks each action of a {@link Balancer} against the invariants when it is taken. */
final class InvariantCheckingActions implements BalancerActions {
    /** How many microseconds after the deadline a final result is allowed. */
    private static final long MAX_ANSWER_LATENESS_US = 16_000;

    final Map<Long, CheckedRequest> requests = new LinkedHashMap<>();
    final Map<Long, Endpoint> endpoints = new HashMap<>();
    final StringBuilder log = new StringBuilder();
    final Map<String, Long> timers = new LinkedHashMap<>();
    long now;
    int attempts;
    int rejections;
    int failures;
    int retries;

    /** The state of a request that the checks need. */
    static final class CheckedRequest {
        final RequestClass requestClass;
        final long deadline;
        final List<Endpoint> sentTo = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final List<AttemptOutcome> outcomes = new ArrayList<>();
        boolean closed;
        boolean streaming;

        CheckedRequest(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        boolean hasAttemptInFlight() {
            return outcomes.contains(null);
        }

        int firstInFlight() {
            return outcomes.indexOf(null);
        }

        /** The first attempt that is in flight or may have run; -1 for none. */
        int firstThatMayHaveRun() {
            for (int i = 0; i < sentTo.size(); i++) {
                if (outcomes.get(i) == null || !outcomes.get(i).neverRan) {
                    return i;
                }
            }
            return -1;
        }
    }

    private CheckedRequest openRequest(long id) {
        CheckedRequest request = requests.get(id);
        assertTrue(request != null, "unknown request " + id);
        assertTrue(!request.closed, "request " + id + " has already ended");
        return request;
    }

    @Override
    public void startAttempt(long id, long endpointId, long timeout) {
        CheckedRequest request = openRequest(id);
        Endpoint endpoint = endpoints.get(endpointId);
        assertTrue(endpoint != null, "endpoint never listed");
        assertEquals(EndpointState.UP, endpoint.state(), "attempt at an endpoint that is draining or removed");
        assertTrue(timeout > 0);
        int earlier = request.firstThatMayHaveRun();
        if (earlier >= 0) {
            retries++;
            checkRetry(request, earlier, endpoint);
        }
        attempts++;
        request.sentTo.add(endpoint);
        request.sentAt.add(now);
        request.outcomes.add(null);
        log.append('s')
                .append(id)
                .append(' ')
                .append(endpointId)
                .append(' ')
                .append(timeout)
                .append('\n');
    }

    private void checkRetry(CheckedRequest request, int earlier, Endpoint endpoint) {
        RequestClass requestClass = request.requestClass;
        assertTrue(requestClass.idempotence() != Idempotence.NOT_IDEMPOTENT, "non-idempotent request sent again");
        if (requestClass.idempotence() != Idempotence.IDEMPOTENCY_KEY) {
            return;
        }
        Endpoint first = request.sentTo.get(earlier);
        assertTrue(
                now - request.sentAt.get(earlier) < requestClass.idempotencyKeyTtl(),
                "retry after the idempotency key has expired");
        assertTrue(
                switch (requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> first.zone().equals(endpoint.zone());
                    case CELL -> first.cell() == endpoint.cell();
                },
                "retry outside its deduplication scope");
    }

    @Override
    public void reject(long id, long retryAfter) {
        CheckedRequest request = openRequest(id);
        RequestClass requestClass = request.requestClass;
        assertTrue(
                request.firstThatMayHaveRun() < 0
                        || requestClass.idempotence() == Idempotence.IDEMPOTENT
                        || requestClass.idempotence() == Idempotence.IDEMPOTENCY_KEY
                                && requestClass.deduplicationScope() == DeduplicationScope.ALL,
                "rejection of a request that may have run and must not be retried");
        rejections++;
        close(id, request);
    }

    @Override
    public void fail(long id) {
        failures++;
        close(id, openRequest(id));
    }

    private void close(long id, CheckedRequest request) {
        request.closed = true;
        assertTrue(
                now <= request.deadline + MAX_ANSWER_LATENESS_US, "final result late by " + (now - request.deadline));
        log.append("e").append(id).append('\n');
    }

    @Override
    public void setTimer(long at, String token) {
        timers.merge(token, at, Math::min);
    }

    @Override
    public void startHealthCheck(long endpoint) {
        throw new AssertionError("health checks cost the server work and are not expected");
    }
}

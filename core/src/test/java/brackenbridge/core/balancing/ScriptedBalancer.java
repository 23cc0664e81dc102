package brackenbridge.core.balancing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Sends scripted events to one balancer, records its actions and fires its timers in order. */
final class ScriptedBalancer implements BalancerActions {
    static final long MILLISECOND_US = 1000;
    static final long SECOND_US = 1_000_000;

    /** A recorded action; fields that don't apply to it are 0. */
    record Action(String type, long at, long request, long endpoint, long amount) {}

    private record ScheduledTimer(long at, long order, String token) {}

    final List<Action> actions = new ArrayList<>();
    final Map<Long, Integer> attempts = new HashMap<>();
    final Balancer balancer;
    long now = 1_000_000_000L;
    private final PriorityQueue<ScheduledTimer> timers = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private long timersSet;

    ScriptedBalancer(BalancerSettings settings) {
        balancer = new Balancer(settings, this);
    }

    static RequestClass idempotentClass(String name, double weight) {
        return new RequestClass(
                name, SECOND_US, 3 * SECOND_US, Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false, weight, 0);
    }

    static RequestClass nonIdempotentClass(String name, double weight) {
        return nonIdempotentClass(name, 2 * SECOND_US, weight);
    }

    static RequestClass nonIdempotentClass(String name, long objective, double weight) {
        return new RequestClass(
                name,
                objective,
                5 * objective / 2,
                Idempotence.NOT_IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false,
                weight,
                0);
    }

    static RequestClass idempotencyKeyClass(String name, double weight, DeduplicationScope scope) {
        return new RequestClass(
                name, 2 * SECOND_US, 5 * SECOND_US, Idempotence.IDEMPOTENCY_KEY, scope, SECOND_US, false, weight, 0);
    }

    static BalancerSettings settings(
            int instances, boolean polledDiscovery, List<TenantShare> tenants, RequestClass... classes) {
        return new BalancerSettings(
                7,
                0,
                instances,
                0,
                "here",
                List.of(classes),
                tenants,
                0.1,
                polledDiscovery,
                10 * SECOND_US,
                4,
                20000,
                2 * SECOND_US,
                true,
                false,
                true,
                15 * SECOND_US,
                0.2,
                20 * SECOND_US,
                NetworkSettings.DEFAULT);
    }

    static BalancerSettings settings(RequestClass... classes) {
        return settings(6, false, List.of(), classes);
    }

    static Endpoint endpointUp(long id, double weight) {
        return new Endpoint(id, id / 4, "here", weight, 0, EndpointState.UP);
    }

    static Endpoint endpoint(long id, String zone, long startedAt, EndpointState state) {
        return new Endpoint(id, id / 4, zone, 1, startedAt, state);
    }

    /** Lists this many servers of equal weight, with ids from 1. */
    ScriptedBalancer listServers(int count) {
        List<Endpoint> all = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            all.add(endpointUp(i, 1));
        }
        return sendList(EndpointListKind.CACHED, all.toArray(new Endpoint[0]));
    }

    ScriptedBalancer sendList(EndpointListKind kind, Endpoint... entries) {
        balancer.onEndpointList(now, kind, List.of(entries));
        return this;
    }

    ScriptedBalancer submit(long id, String className) {
        return submit(id, className, null, -1, 3 * SECOND_US);
    }

    ScriptedBalancer submit(long id, String className, String tenant, long key, long timeLeft) {
        balancer.onRequest(now, new BalancerRequest(id, className, tenant, key, timeLeft, -1, false));
        return this;
    }

    ScriptedBalancer endAttempt(long id, int attempt, AttemptOutcome outcome, long latency) {
        balancer.onAttemptEnded(now, id, attempt, outcome == AttemptOutcome.OK, outcome, latency, null);
        return this;
    }

    /** Advances the time and fires the timers that expire. */
    ScriptedBalancer advance(long time) {
        long until = now + time;
        while (!timers.isEmpty() && timers.peek().at() <= until) {
            ScheduledTimer due = timers.poll();
            now = Math.max(now, due.at());
            balancer.onTimer(now, due.token());
        }
        now = until;
        return this;
    }

    List<Action> actionsOfType(String type) {
        return actions.stream().filter(a -> a.type().equals(type)).toList();
    }

    List<Long> requestsOfType(String type) {
        return actionsOfType(type).stream().map(Action::request).toList();
    }

    /** The server of the request's latest attempt; -1 if there was none. */
    long lastServerOf(long request) {
        return actionsOfType("startAttempt").stream()
                .filter(a -> a.request() == request)
                .map(Action::endpoint)
                .reduce(-1L, (a, b) -> b);
    }

    @Override
    public void startAttempt(long request, long endpoint, long timeout) {
        attempts.merge(request, 1, Integer::sum);
        actions.add(new Action("startAttempt", now, request, endpoint, timeout));
    }

    @Override
    public void reject(long request, long retryAfter) {
        actions.add(new Action("reject", now, request, 0, retryAfter));
    }

    @Override
    public void fail(long request) {
        actions.add(new Action("fail", now, request, 0, 0));
    }

    @Override
    public void setTimer(long at, String token) {
        timers.add(new ScheduledTimer(at, timersSet++, token));
    }

    @Override
    public void startHealthCheck(long endpoint) {
        actions.add(new Action("healthCheck", now, 0, endpoint, 0));
    }
}

package brackenbridge.core.balancing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Plays scripted events at one instance, records its actions and fires its timers in order. */
final class ScriptedBalancer implements BalancerActions {
    static final long MILLISECOND_US = 1000;
    static final long SECOND_US = 1_000_000;

    /** An action as it was taken; the fields that an action lacks are 0. */
    record Action(String type, long at, long request, long endpoint, long amount) {}

    private record Due(long at, long order, String token) {}

    final List<Action> actions = new ArrayList<>();
    final Map<Long, Integer> attempts = new HashMap<>();
    final Balancer balancer;
    long now = 1_000_000_000L;
    private final PriorityQueue<Due> timers = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private long timersSet;

    ScriptedBalancer(BalancerSettings settings) {
        balancer = new Balancer(settings, this);
    }

    static RequestClass idempotentClass(String name, double worth) {
        return new RequestClass(
                name, SECOND_US, 3 * SECOND_US, Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false, worth, 0);
    }

    static RequestClass nonIdempotentClass(String name, double worth) {
        return nonIdempotentClass(name, 2 * SECOND_US, worth);
    }

    static RequestClass nonIdempotentClass(String name, long aim, double worth) {
        return new RequestClass(
                name, aim, 5 * aim / 2, Idempotence.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, false, worth, 0);
    }

    static RequestClass idempotencyKeyClass(String name, double worth, DeduplicationScope scope) {
        return new RequestClass(
                name, 2 * SECOND_US, 5 * SECOND_US, Idempotence.IDEMPOTENCY_KEY, scope, SECOND_US, false, worth, 0);
    }

    static BalancerSettings settings(int peers, boolean ask, List<TenantShare> tenants, RequestClass... classes) {
        return new BalancerSettings(
                7,
                0,
                peers,
                0,
                "here",
                List.of(classes),
                tenants,
                0.1,
                ask,
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

    /** Lists so many servers of equal weight, ids from 1. */
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

    ScriptedBalancer submit(long id, String className, String tenant, long key, long left) {
        balancer.onRequest(now, new BalancerRequest(id, className, tenant, key, left, -1, false));
        return this;
    }

    ScriptedBalancer endAttempt(long id, int attempt, AttemptOutcome outcome, long latency) {
        balancer.onAttemptEnded(now, id, attempt, outcome == AttemptOutcome.OK, outcome, latency, null);
        return this;
    }

    /** Lets time pass, firing the timers that fall due. */
    ScriptedBalancer advance(long time) {
        long until = now + time;
        while (!timers.isEmpty() && timers.peek().at() <= until) {
            Due due = timers.poll();
            now = Math.max(now, due.at());
            balancer.onTimer(now, due.token());
        }
        now = until;
        return this;
    }

    List<Action> actionsOfType(String what) {
        return actions.stream().filter(a -> a.type().equals(what)).toList();
    }

    List<Long> requestsOfType(String what) {
        return actionsOfType(what).stream().map(Action::request).toList();
    }

    /** Where the request's latest attempt went; -1 if it was never sent. */
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
        timers.add(new Due(at, timersSet++, token));
    }

    @Override
    public void startHealthCheck(long endpoint) {
        actions.add(new Action("healthCheck", now, 0, endpoint, 0));
    }
}

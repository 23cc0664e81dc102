package brackenbridge.core;

import brackenbridge.clock.Clock;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.NetworkSettings;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.counters.Counters;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** Feeds events to a reducer, records its effects and fires its timers on a manual clock. */
final class ReducerHarness {
    static final RequestClass VIEW = new RequestClass(
            "view", 4_000_000, 8_000_000, Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false, 2, 0.25);
    static final RequestClass FILE = new RequestClass(
            "file", 3_000_000, 6_000_000, Idempotence.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, false, 10, 0.25);

    final Clock.Manual clock = new Clock.Manual(1_796_000_000_000.0);
    final Counters counters = new Counters();
    final BalancerSettings settings;
    final Reducer reducer;
    final List<Effect> effects = new ArrayList<>();
    private final PriorityQueue<Effect.SetTimer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Effect.SetTimer::atMs));
    private long requestCount;

    ReducerHarness(int servers) {
        this(servers, 1);
    }

    ReducerHarness(int servers, int peers) {
        this(servers, peers, VIEW, FILE);
    }

    ReducerHarness(int servers, int peers, RequestClass... classes) {
        settings = settings(peers, 5, classes);
        reducer = new Reducer(settings, counters);
        List<ServerEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            endpoints.add(endpoint("s-" + i, EndpointState.UP));
        }
        send(new Event.Started(new EndpointList(41, true, endpoints)));
    }

    static BalancerSettings settings(int peers, int attempts, RequestClass... classes) {
        return new BalancerSettings(
                7,
                0,
                peers,
                0,
                "room",
                List.of(classes),
                List.of(),
                0.1,
                true,
                10_000_000,
                attempts,
                40000,
                0,
                true,
                true,
                false,
                30_000_000,
                0.3,
                8_500_000,
                new NetworkSettings(120_000, 500_000, false, List.of("depth")));
    }

    static ServerEndpoint endpoint(String host, EndpointState state) {
        return new ServerEndpoint(
                host, "127.0.0.1:" + (9000 + Math.abs(host.hashCode() % 1000)), "room", -1, 1, 0, state);
    }

    ReducerHarness send(Event event) {
        for (Effect effect : reducer.reduce(clock.nowMs(), event)) {
            if (effect instanceof Effect.SetTimer timer) {
                timers.add(timer);
            } else {
                effects.add(effect);
            }
        }
        return this;
    }

    /** Opens a request and returns its id. */
    long open(RequestClass requestClass, double timeLeftMs) {
        send(new Event.RequestReceived(
                requestCount,
                new ClientRequest(requestClass.name(), null, timeLeftMs, false, true, "message " + requestCount)));
        return requestCount++;
    }

    /** Advances the clock and fires the timers that become due. */
    ReducerHarness advance(double ms) {
        double untilMs = clock.nowMs() + ms;
        while (!timers.isEmpty() && timers.peek().atMs() <= untilMs) {
            Effect.SetTimer timer = timers.poll();
            clock.advance(Math.max(0, timer.atMs() - clock.nowMs()));
            send(new Event.TimerFired(timer.key()));
        }
        clock.advance(untilMs - clock.nowMs());
        return this;
    }

    <E extends Effect> List<E> effects(Class<E> kind) {
        return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** The attempts of the request so far. */
    List<Effect.StartAttempt> attempts(long requestId) {
        return effects(Effect.StartAttempt.class).stream()
                .filter(effect -> effect.requestId() == requestId)
                .toList();
    }

    /** The local replies to the request so far. */
    List<Effect.LocalReply> localReplies(long requestId) {
        return effects(Effect.SendLocalReply.class).stream()
                .filter(effect -> effect.requestId() == requestId)
                .map(Effect.SendLocalReply::reply)
                .toList();
    }
}

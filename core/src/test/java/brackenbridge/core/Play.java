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

/** Plays events at a reducer, keeps the effects and fires its timers by a clock that stands still. */
final class Play {
    static final RequestClass VIEW = new RequestClass(
            "view", 4_000_000, 8_000_000, Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false, 2, 0.25);
    static final RequestClass FILE = new RequestClass(
            "file", 3_000_000, 6_000_000, Idempotence.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, false, 10, 0.25);

    final Clock.Settable clock = new Clock.Settable(1_796_000_000_000.0);
    final Counters counters = new Counters();
    final BalancerSettings settings;
    final Reducer reducer;
    final List<brackenbridge.core.Effect> effects = new ArrayList<>();
    private final PriorityQueue<brackenbridge.core.Effect.SetTimer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(brackenbridge.core.Effect.SetTimer::atMs));
    private long flows;

    Play(int servers) {
        this(servers, 1);
    }

    Play(int servers, int peers) {
        this(servers, peers, VIEW, FILE);
    }

    Play(int servers, int peers, RequestClass... classes) {
        settings = settings(peers, 5, classes);
        reducer = new Reducer(settings, counters);
        List<ServerEndpoint> targets = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            targets.add(target("s-" + i, EndpointState.UP));
        }
        tell(new Event.Started(new EndpointList(41, true, targets)));
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

    static ServerEndpoint target(String host, EndpointState state) {
        return new ServerEndpoint(
                host, "127.0.0.1:" + (9000 + Math.abs(host.hashCode() % 1000)), "room", -1, 1, 0, state);
    }

    Play tell(Event event) {
        for (brackenbridge.core.Effect e : reducer.reduce(clock.nowMs(), event)) {
            if (e instanceof brackenbridge.core.Effect.SetTimer t) {
                timers.add(t);
            } else {
                effects.add(e);
            }
        }
        return this;
    }

    /** Opens a flow and gives its number back. */
    long open(RequestClass c, double leftMs) {
        tell(new Event.RequestReceived(
                flows, new ClientRequest(c.name(), null, leftMs, false, true, "message " + flows)));
        return flows++;
    }

    /** Lets time pass, firing the timers that fall due. */
    Play pass(double ms) {
        double until = clock.nowMs() + ms;
        while (!timers.isEmpty() && timers.peek().atMs() <= until) {
            brackenbridge.core.Effect.SetTimer t = timers.poll();
            clock.pass(Math.max(0, t.atMs() - clock.nowMs()));
            tell(new Event.TimerFired(t.key()));
        }
        clock.pass(until - clock.nowMs());
        return this;
    }

    <E extends brackenbridge.core.Effect> List<E> of(Class<E> kind) {
        return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** The flow's forwards so far. */
    List<brackenbridge.core.Effect.StartAttempt> forwards(long flow) {
        return of(brackenbridge.core.Effect.StartAttempt.class).stream()
                .filter(f -> f.requestId() == flow)
                .toList();
    }

    /** The fixed responses that the flow got. */
    List<brackenbridge.core.Effect.LocalReply> fixed(long flow) {
        return of(brackenbridge.core.Effect.SendLocalReply.class).stream()
                .filter(f -> f.requestId() == flow)
                .map(brackenbridge.core.Effect.SendLocalReply::reply)
                .toList();
    }
}

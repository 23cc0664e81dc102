package brackenbridge.lab.bench;

import brackenbridge.core.ClientRequest;
import brackenbridge.core.Effect;
import brackenbridge.core.EndpointList;
import brackenbridge.core.Event;
import brackenbridge.core.Reducer;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.balancing.NetworkSettings;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.counters.Counters;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * One event through the reducer with the module: a flow is three (opened, written, answered), and the timers that fall
 * due meanwhile are part of it.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class ReducerBench {
    private static final int EVENTS_A_FLOW = 3;
    private static final int OPEN = 8;

    /** Servers of the target group. */
    @Param({"10", "1000"})
    private int servers;

    private Reducer reducer;
    private double now;
    private long flows;
    private final PriorityQueue<Effect.SetTimer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Effect.SetTimer::atMs));
    private final Set<Object> unset = new HashSet<>();
    private final List<Effect.StartAttempt> out = new ArrayList<>();

    /** A node that has learned its servers, with a few flows open. */
    @Setup
    public void start() {
        RequestClass view = new RequestClass(
                "view", 4_000_000, 8_000_000, BalancerApiEffects.SAFE, DeduplicationScope.ALL, 0, false, 2, 0.25);
        RequestClass file = new RequestClass(
                "file", 3_000_000, 6_000_000, BalancerApiEffects.UNSAFE, DeduplicationScope.ALL, 0, false, 10, 0.25);
        reducer = new Reducer(
                new BalancerSettings(
                        7,
                        0,
                        10,
                        0,
                        "room",
                        List.of(view, file),
                        List.of(),
                        0.1,
                        true,
                        10_000_000,
                        5,
                        40_000,
                        3_000_000,
                        true,
                        true,
                        false,
                        30_000_000,
                        0.3,
                        8_500_000,
                        new NetworkSettings(120_000, 500_000, false, List.of("depth"))),
                new Counters());
        now = 1_000_000;
        timers.clear();
        out.clear();
        unset.clear();
        List<ServerEndpoint> targets = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            targets.add(new ServerEndpoint("s-" + i, "127.0.0.1:" + (1 + i), "room", -1, 1, 0, EndpointState.UP));
        }
        tell(new Event.Started(new EndpointList(1, true, targets)));
        for (int i = 0; i < OPEN; i++) {
            open();
        }
    }

    /** What the module's own interface names likewise. */
    private static final class BalancerApiEffects {
        static final brackenbridge.core.balancing.Idempotence SAFE =
                brackenbridge.core.balancing.Idempotence.IDEMPOTENT;
        static final brackenbridge.core.balancing.Idempotence UNSAFE =
                brackenbridge.core.balancing.Idempotence.NOT_IDEMPOTENT;
    }

    private void tell(Event event) {
        for (Effect e : reducer.reduce(now, event)) {
            if (e instanceof Effect.SetTimer t) {
                timers.add(t);
            } else if (e instanceof Effect.CancelTimer t) {
                unset.add(t.key());
            } else if (e instanceof Effect.StartAttempt f) {
                out.add(f);
            }
        }
    }

    private void open() {
        tell(new Event.RequestReceived(
                flows, new ClientRequest((flows & 3) == 0 ? "file" : "view", null, 5000, false, true, "")));
        flows++;
    }

    /** One flow from its arrival to its answer, at a pace of one in two milliseconds. */
    @Benchmark
    @OperationsPerInvocation(EVENTS_A_FLOW)
    public int flow() {
        now += 2;
        while (!timers.isEmpty() && timers.peek().atMs() <= now) {
            Effect.SetTimer t = timers.poll();
            if (!unset.remove(t.key())) {
                tell(new Event.TimerFired(t.key()));
            }
        }
        open();
        if (!out.isEmpty()) {
            Effect.StartAttempt f = out.remove(0);
            tell(new Event.AttemptWritten(f.requestId(), f.attempt()));
            tell(new Event.ResponseReceived(f.requestId(), f.attempt(), Event.ResponseKind.SERVED, "", null));
        }
        return out.size();
    }
}

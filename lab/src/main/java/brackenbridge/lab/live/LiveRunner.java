package brackenbridge.lab.live;

import brackenbridge.clock.Clock;
import brackenbridge.lab.experiment.Results;
import brackenbridge.lab.model.Scheduler;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.stats.Scoreboard;
import brackenbridge.lab.trouble.Faults;
import brackenbridge.lab.world.Experiment;
import brackenbridge.lab.world.World;
import com.eclipsesource.json.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/** Plays a run on real sockets with real node processes. */
public final class LiveRunner {
    /** Every node before the first tier runs. */
    public static final IntPredicate ALL_NODES = number -> true;

    private static final int CONNECTIONS = 4000;

    /**
     * What came of a run.
     *
     * @param board the figures
     * @param ledger the rules
     * @param sent first tries that were due
     * @param late first tries that the load tool wrote late
     * @param overrun whether so many that the run is marked
     * @param connections connections that servers of the first tier have accepted
     * @param listBytes bytes of lists that discovery of the first tier has written
     */
    public record Outcome(
            Scoreboard board,
            RuleChecker ledger,
            long sent,
            long late,
            boolean overrun,
            long connections,
            long listBytes) {}

    private LiveRunner() {}

    /**
     * Plays one run and adds it to the results; an interruption adds what there is, marked as partial.
     *
     * @param home the root of the repository, where the deployment's command runs
     * @param run what the deployment starts a node with
     */
    public static Outcome play(
            Experiment experiment, Experiment.Run run, Path home, String command, Path folder, Results results)
            throws IOException, InterruptedException {
        return play(
                experiment,
                run,
                home,
                command,
                folder,
                results,
                ProcessLinks.DIRECT,
                ALL_NODES,
                (scheduler, nodes) -> {});
    }

    /** Hears that the load begins: the time, and the processes that may be struck. */
    public interface Begun {
        /** It begins now. */
        void now(Scheduler scheduler, List<? extends Control> nodes);

        /** All requests have ended, on the caller's thread; the processes still run. */
        default void ended(List<? extends Control> nodes) throws IOException {}
    }

    /**
     * The same with links between the processes.
     *
     * @param runs which nodes before the first tier run, by their numbers; the others are only told of as peers
     * @param begun hears when the load begins, on the event loop of the stand-ins
     */
    public static Outcome play(
            Experiment experiment,
            Experiment.Run run,
            Path home,
            String command,
            Path folder,
            Results results,
            ProcessLinks links,
            IntPredicate runs,
            Begun begun)
            throws IOException, InterruptedException {
        World world = run.world();
        Files.createDirectories(folder);
        Clock clock = Clock.system();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        Scoreboard board = new Scoreboard(world);
        LiveWorld live = new LiveWorld(world, run.seed(), loop, clock, board, links);
        LoopScheduler scheduler = new LoopScheduler(loop, clock);
        List<NodeProcess> nodes = new ArrayList<>();
        Thread interrupted = null;
        try {
            for (int i : IntStream.range(0, world.nodes(0)).filter(runs).toArray()) {
                InetSocketAddress at = freePort();
                String name = "n0-" + i;
                InetSocketAddress front = StandInHttp.address(links.through("clients", name, StandInHttp.dial(at)));
                nodes.add(new NodeProcess(
                        name,
                        at,
                        front,
                        folder,
                        List.of("/bin/sh", "-c", command),
                        home,
                        live.nodeConfig(name, i, StandInHttp.dial(at)),
                        loop,
                        scheduler,
                        died -> live.registry().nodeDied(died, clock.nowMs())));
            }
            live.nodes(nodes);
            for (NodeProcess n : nodes) {
                n.launch();
            }
            for (NodeProcess n : nodes) {
                n.awaitReady();
            }
            LoadClient load = new LoadClient(
                    world, run.seed(), loop, clock, nodes, board, live.ledger(), live.registry(), true, CONNECTIONS);
            AtomicBoolean written = new AtomicBoolean();
            interrupted = new Thread(
                    () -> {
                        loop.submit(() -> {
                                    if (written.compareAndSet(false, true)) {
                                        results.add(
                                                line(experiment, run, board, live.ledger(), load)
                                                        .add("partial", true),
                                                board.latency(),
                                                live.ledger());
                                    }
                                })
                                .awaitUninterruptibly(LoadRunner.LAST_MS);
                        nodes.forEach(NodeProcess::tellToEnd);
                    },
                    "interrupted");
            Runtime.getRuntime().addShutdownHook(interrupted);
            loop.execute(() -> {
                new Faults(live).schedule(world.troubles(), clock.nowMs());
                begun.now(scheduler, nodes);
                sample(live, board, scheduler, (int) Math.ceil(world.seconds()));
            });
            load.start().get();
            begun.ended(nodes);
            if (written.compareAndSet(false, true)) {
                results.add(line(experiment, run, board, live.ledger(), load), board.latency(), live.ledger());
            }
            return new Outcome(
                    board,
                    live.ledger(),
                    load.sent(),
                    load.late(),
                    load.overrun(),
                    live.connections(),
                    live.discovery(0).listBytes());
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        } finally {
            if (interrupted != null) {
                removeHook(interrupted);
            }
            for (NodeProcess n : nodes) {
                n.end();
            }
            live.close();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static void removeHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The process is ending: the hook is running.
            return;
        }
    }

    private static JsonObject line(
            Experiment experiment, Experiment.Run run, Scoreboard board, RuleChecker ledger, LoadClient load) {
        return Results.line(experiment, run, "live", board, ledger)
                .add("overrun", load.overrun())
                .add("late", load.late())
                .add("sent", load.sent())
                .add("send_lag_p99_ms", Scoreboard.round(load.lag().getValueAtPercentile(99) / 1000.0));
    }

    private static void sample(LiveWorld live, Scoreboard board, LoopScheduler scheduler, int left) {
        if (left <= 0) {
            return;
        }
        scheduler.at(scheduler.nowMs() + 1000, () -> {
            double sum = 0;
            double squares = 0;
            double most = 0;
            for (StandInServer s : live.servers(0)) {
                double load = s.model().load() / (double) s.model().profile().cores();
                sum += load;
                squares += load * load;
                most = Math.max(most, load);
            }
            double n = Math.max(1, live.servers(0).size());
            double mean = sum / n;
            board.load(mean, most, mean > 0 ? Math.sqrt(Math.max(0, squares / n - mean * mean)) / mean : 0);
            sample(live, board, scheduler, left - 1);
        });
    }

    /** A port of loopback that is free now. */
    public static InetSocketAddress freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", s.getLocalPort());
        }
    }
}

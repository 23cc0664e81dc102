package brackenbridge.lab.live;

import brackenbridge.clock.Clock;
import brackenbridge.lab.experiment.Results;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.stats.Scoreboard;
import brackenbridge.lab.world.Experiment;
import com.eclipsesource.json.JsonObject;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** The load tool alone, against whatever listens at an address of loopback. */
public final class LoadRunner {
    private static final double SLACK_MS = 58;

    private LoadRunner() {}

    private record Fixed(InetSocketAddress address) implements LoadClient.Gate {
        @Override
        public String name() {
            return address.getHostString() + ":" + address.getPort();
        }

        @Override
        public boolean open() {
            return true;
        }
    }

    /** An interrupted run has so long to write what there is. */
    static final long LAST_MS = 5000;

    /**
     * Plays the load and adds one line of results; an interruption adds what there is, marked as partial.
     *
     * @param checkBodies whether answers must be those of the laboratory's own servers
     */
    public static LiveRunner.Outcome play(
            Experiment experiment,
            Experiment.Run run,
            InetSocketAddress target,
            int connections,
            boolean checkBodies,
            Results results)
            throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Scoreboard board = new Scoreboard(run.world());
        RuleChecker ledger = new RuleChecker(SLACK_MS, 0);
        LoadClient load = new LoadClient(
                run.world(),
                run.seed(),
                group.next(),
                Clock.system(),
                List.of(new Fixed(target)),
                board,
                ledger,
                new Registry(),
                checkBodies,
                connections);
        AtomicBoolean written = new AtomicBoolean();
        // The board is the event loop's: guards the figures against being read in the middle of an answer.
        Thread hook = new Thread(
                () -> group.next()
                        .submit(() -> {
                            if (written.compareAndSet(false, true)) {
                                results.add(
                                        line(experiment, run, board, ledger, load)
                                                .add("partial", true),
                                        board.latency(),
                                        ledger);
                            }
                        })
                        .awaitUninterruptibly(LAST_MS),
                "interrupted");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            CompletableFuture<Void> done = load.start();
            done.get();
            if (written.compareAndSet(false, true)) {
                results.add(line(experiment, run, board, ledger, load), board.latency(), ledger);
            }
            return new LiveRunner.Outcome(board, ledger, load.sent(), load.late(), load.overrun(), 0, 0);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static JsonObject line(
            Experiment experiment, Experiment.Run run, Scoreboard board, RuleChecker ledger, LoadClient load) {
        return Results.line(experiment, run, "load", board, ledger)
                .add("overrun", load.overrun())
                .add("late", load.late())
                .add("sent", load.sent())
                .add("send_lag_p99_ms", Scoreboard.round(load.lag().getValueAtPercentile(99) / 1000.0));
    }
}

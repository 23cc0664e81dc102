package brackenbridge.lab.fleet;

import brackenbridge.clock.Clock;
import brackenbridge.lab.experiment.Results;
import brackenbridge.lab.live.Control;
import brackenbridge.lab.live.LiveRunner;
import brackenbridge.lab.model.Scheduler;
import brackenbridge.lab.world.Experiment;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Plays a fleet: real nodes, a relay on every link, and the faults of the script and the seed. */
public final class FleetRunner {
    /**
     * What came of it.
     *
     * @param run the figures and the rules
     * @param faults what was played
     * @param log what happened, a line each, in order
     * @param counts what all links passed
     */
    public record Outcome(LiveRunner.Outcome run, List<Fault> faults, List<String> log, Relay.Counts counts) {}

    /** Where a node's program is and how it is started. */
    public record Program(Path home, String command) {}

    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private final Scheduler scheduler;
    private final double startMs;
    private final Relays relays;
    private final List<? extends Control> nodes;

    private FleetRunner(Scheduler scheduler, Relays relays, List<? extends Control> nodes) {
        this.scheduler = scheduler;
        this.startMs = scheduler.nowMs();
        this.relays = relays;
        this.nodes = nodes;
    }

    /**
     * Plays it once.
     *
     * @param faults what goes wrong; null for the script with what the seed draws
     */
    public static Outcome play(
            FleetPlan plan, long seed, List<Fault> faults, Program program, Path folder, Results results)
            throws IOException, InterruptedException {
        Clock clock = Clock.system();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Experiment.Run run = plan.experiment().withSeed(seed).runs().get(0);
        List<Fault> played = new ArrayList<>();
        FleetRunner[] runner = new FleetRunner[1];
        try (Relays relays = new Relays(group.next(), clock, seed)) {
            LiveRunner.Outcome r = LiveRunner.play(
                    plan.experiment(),
                    run,
                    program.home(),
                    program.command(),
                    folder,
                    results,
                    relays,
                    LiveRunner.ALL_NODES,
                    (scheduler, nodes) -> {
                        List<String> names = nodes.stream().map(Control::name).toList();
                        played.addAll(faults != null ? faults : plan.faults(seed, relays.names(), names));
                        runner[0] = new FleetRunner(scheduler, relays, nodes);
                        played.forEach(runner[0]::schedule);
                    });
            return new Outcome(r, played, List.copyOf(runner[0].log), relays.counts());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private void schedule(Fault f) {
        scheduler.at(startMs + f.atMs(), () -> {
            if (f.link() != null) {
                List<Relay> struck = relays.struckBy(f);
                note("begins, " + struck.size() + " links: ", f);
                struck.forEach(r -> r.begin(f.link()));
                scheduler.at(startMs + f.atMs() + f.forMs(), () -> {
                    note("ends: ", f);
                    struck.forEach(r -> r.end(f.link()));
                });
                return;
            }
            for (Control n : nodes) {
                if (f.strikes(n.name()) && n.up()) {
                    note("strikes " + n.name() + ": ", f);
                    strike(f, n);
                }
            }
        });
    }

    private void strike(Fault f, Control n) {
        double back = startMs + f.atMs() + f.forMs();
        switch (f.blow()) {
            case STALL -> {
                n.stall(true);
                scheduler.at(back, () -> {
                    note("goes on, " + n.name() + ": ", f);
                    n.stall(false);
                });
            }
            case KILL -> {
                n.kill();
                scheduler.at(back, n::start);
            }
            default -> n.stop(() -> scheduler.at(Math.max(back, scheduler.nowMs()), n::start));
        }
    }

    private void note(String what, Fault f) {
        log.add(String.format(Locale.ROOT, "%10.1f ms  %s%s", scheduler.nowMs() - startMs, what, f.text()));
    }
}

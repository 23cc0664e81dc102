package brackenbridge.lab.experiment;

import brackenbridge.lab.policy.Policies;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.sim.Simulation;
import brackenbridge.lab.world.Experiment;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;

/** Plays an experiment in simulated time. */
public final class SimRunner {
    /**
     * What came of it.
     *
     * @param runs runs that were played
     * @param broken rules broken in all of them
     * @param breaches the first breaches
     * @param requests requests checked
     * @param events events that reducers took in
     */
    public record Summary(int runs, long broken, List<RuleChecker.Breach> breaches, long requests, long events) {}

    private SimRunner() {}

    /**
     * Plays all runs on so many threads; results are written in the order of the runs, whichever ends first, so that
     * the files are equal byte for byte.
     *
     * @param bar whether to draw a progress bar on standard error
     */
    public static Summary play(Experiment experiment, Path out, int threads, boolean bar) throws IOException {
        List<Experiment.Run> runs = experiment.runs();
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, threads), r -> {
            Thread t = new Thread(r, "run");
            t.setDaemon(true);
            return t;
        });
        long broken = 0;
        long requests = 0;
        long events = 0;
        int played = 0;
        List<RuleChecker.Breach> breaches = new ArrayList<>();
        try (Results results = new Results(out);
                ProgressBar progress = bar
                        ? new ProgressBarBuilder()
                                .setTaskName(experiment.name())
                                .setInitialMax(runs.size())
                                .setStyle(ProgressBarStyle.ASCII)
                                .build()
                        : null) {
            List<Future<Simulation.Result>> pending = new ArrayList<>();
            for (Experiment.Run run : runs) {
                pending.add(
                        pool.submit(() -> new Simulation(run.world(), run.seed(), Policies.of(run.policy())).run()));
            }
            for (int i = 0; i < runs.size(); i++) {
                Simulation.Result r = pending.set(i, null).get();
                results.add(
                        Results.line(experiment, runs.get(i), "sim", r.board(), r.ledger()),
                        r.board().latency(),
                        r.ledger());
                broken += r.ledger().broken();
                requests += r.ledger().checked();
                events += r.events();
                breaches.addAll(r.ledger().breaches());
                played++;
                if (progress != null) {
                    progress.step();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof OutOfMemoryError) {
                throw new IOException(
                        "out of memory: raise it by BRACKENBRIDGE_JAVA_OPTS=-Xmx..., or play fewer runs "
                                + "at once by --threads",
                        e);
            }
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
        return new Summary(played, broken, breaches, requests, events);
    }
}

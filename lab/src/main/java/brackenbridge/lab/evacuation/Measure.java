package brackenbridge.lab.evacuation;

import brackenbridge.fleet.evacuation.Forecast.Verdict;
import brackenbridge.lab.evacuation.Evacuations.PoolResult;
import brackenbridge.lab.evacuation.Evacuations.Result;
import brackenbridge.lab.world.Experiment;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Many evacuations, over the cores, and what is said of them; the same lines whatever the number of threads. */
public final class Measure {
    private static final int SURPRISES_EVERY = 4;

    private Measure() {}

    /**
     * Plays them and prints.
     *
     * @param draws evacuations of each experiment and seed
     * @return whether the aims were met
     */
    public static boolean run(
            List<Experiment> experiments, List<Long> seeds, int draws, int threads, boolean each, PrintStream out)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        List<Result> results = new ArrayList<>();
        try {
            List<Callable<Result>> tasks = new ArrayList<>();
            for (Experiment e : experiments) {
                for (long seed : seeds) {
                    for (int i = 0; i < draws; i++) {
                        RandomPlan drawn = RandomPlan.of(e.name(), e.world(), seed, i);
                        tasks.add(() -> Evacuations.play(e.name(), drawn, seed, false));
                        if (i % SURPRISES_EVERY == 0) {
                            tasks.add(() -> Evacuations.play(e.name(), drawn, seed, true));
                        }
                    }
                }
            }
            for (Future<Result> f : pool.invokeAll(tasks)) {
                results.add(f.get());
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
        return tell(experiments, results, each, out);
    }

    private static boolean tell(List<Experiment> experiments, List<Result> results, boolean each, PrintStream out) {
        List<PoolResult> all = new ArrayList<>();
        results.forEach(r -> all.addAll(r.pools()));
        if (each) {
            for (PoolResult r : all) {
                out.printf(
                        Locale.ROOT,
                        "%-14s %4d %-26s truth %8.0f  %-9s p=%.2f at %s %s of %.0f%n",
                        r.experiment(),
                        r.seed(),
                        r.pool(),
                        r.truthMs(),
                        r.foretold().verdict(),
                        r.foretold().saturationProbability(),
                        r.foretold().saturationMs(),
                        r.foretold().resource(),
                        r.lengthMs());
            }
            results.stream()
                    .filter(r -> r.halted() != null || r.surprised())
                    .forEach(r ->
                            out.println((r.surprised() ? "surprise " : "halted ") + r.inTime() + " " + r.halted()));
        }
        out.printf(
                Locale.ROOT,
                "%-22s %5s %9s %9s %7s %8s %9s %8s%n",
                "",
                "pools",
                "saturated",
                "foretold",
                "false",
                "unknown",
                "time off",
                "in 10%");
        for (Experiment e : experiments) {
            out.println(Score.of(
                            all.stream()
                                    .filter(r -> r.experiment().equals(e.name()))
                                    .toList(),
                            Score::forecast)
                    .line(e.name()));
        }
        Score s = Score.of(all, Score::forecast);
        out.println(s.line("all"));
        out.println(Score.of(
                        all,
                        r -> r.unrehearsed() == Verdict.SATURATES
                                        && r.foretold().saturationMs() != null
                                ? r.foretold().saturationMs().expected()
                                : Double.NaN)
                .line("before rehearsal"));
        out.println(Score.of(all, PoolResult::proportionalMs).line("proportional scaling"));
        out.println(Score.of(all, PoolResult::peakMs).line("last peak"));
        double[] held = Score.coverage(all);
        out.printf(
                Locale.ROOT,
                "intervals of 80%% held: times %.2f of %.0f, loads %.2f of %.0f%n",
                held[0],
                held[1],
                held[2],
                held[3]);
        long halted = results.stream()
                .filter(r -> !r.surprised() && r.halted() != null)
                .count();
        out.printf(
                Locale.ROOT,
                "rehearsals without a surprise that halted: %d of %d%n",
                halted,
                results.stream().filter(r -> !r.surprised()).count());
        out.println(Score.last(s, results));
        return s.good();
    }
}

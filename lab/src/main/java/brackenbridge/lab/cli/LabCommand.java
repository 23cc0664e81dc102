package brackenbridge.lab.cli;

import brackenbridge.cli.Extension;
import brackenbridge.lab.experiment.SimRunner;
import brackenbridge.lab.experiment.Theory;
import brackenbridge.lab.policy.Policies;
import brackenbridge.lab.random.Distribution;
import brackenbridge.lab.report.Compare;
import brackenbridge.lab.report.HtmlReport;
import brackenbridge.lab.rules.Ledger;
import brackenbridge.lab.world.Experiment;
import brackenbridge.lab.world.ExperimentFile;
import brackenbridge.lab.world.FileFault;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** {@code lab}: the laboratory's commands. */
public final class LabCommand implements Extension {
    /** A broken rule. */
    static final int BROKEN = 1;
    /** A command line or a file that can't be used. */
    static final int USAGE = 2;

    @Parameters(commandDescription = "Play an experiment in simulated time")
    private static final class Sim {
        @Parameter(description = "EXPERIMENT.toml", required = true)
        private String file;
        @Parameter(names = "--out", description = "The folder of results", required = true)
        private String out;
        @Parameter(names = "--seed", description = "This seed alone, instead of the file's")
        private Long seed;
        @Parameter(names = "--threads", description = "Runs at once; by default one for each core")
        private int threads = Runtime.getRuntime().availableProcessors();
        @Parameter(names = "--policy", description = "This policy alone, instead of the file's")
        private String policy;
    }

    @Parameters(commandDescription = "Write a folder's report.html")
    private static final class Report {
        @Parameter(description = "DIR", required = true)
        private String folder;
    }

    @Parameters(commandDescription = "Put two folders of results side by side")
    private static final class Comparison {
        @Parameter(description = "DIR1 DIR2", required = true, arity = 2)
        private List<String> folders;
    }

    @Parameters(commandDescription = "Hold the model of a server against queueing theory")
    private static final class Check {
        @Parameter(names = "--requests", description = "Requests for each queue")
        private int requests = 4_000_000;
        @Parameter(names = "--seed", description = "The seed")
        private long seed = 7;
    }

    @Override
    public String name() {
        return "lab";
    }

    @Override
    public int run(String[] args) {
        Sim sim = new Sim();
        Report report = new Report();
        Comparison comparison = new Comparison();
        Check check = new Check();
        JCommander line = JCommander.newBuilder().programName("brackenbridge lab").addCommand("sim", sim)
                .addCommand("report", report).addCommand("compare", comparison).addCommand("theory", check).build();
        try {
            line.parse(args);
        } catch (ParameterException e) {
            return usage(e.getMessage());
        }
        if (line.getParsedCommand() == null) {
            line.usage();
            return USAGE;
        }
        try {
            return switch (line.getParsedCommand()) {
                case "sim" -> sim(sim);
                case "report" -> {
                    System.out.println("wrote " + HtmlReport.write(Path.of(report.folder)));
                    yield 0;
                }
                case "compare" -> {
                    if (comparison.folders.size() != 2) {
                        throw new ParameterException("compare wants two folders");
                    }
                    System.out.print(Compare.text(Path.of(comparison.folders.get(0)),
                            Path.of(comparison.folders.get(1))));
                    yield 0;
                }
                case "theory" -> theory(check);
                default -> USAGE;
            };
        } catch (ParameterException e) {
            return usage(e.getMessage());
        } catch (FileFault e) {
            return usage(e.getMessage());
        } catch (IOException | UncheckedIOException e) {
            return usage(String.valueOf(e.getMessage()));
        }
    }

    private static int theory(Check o) {
        System.out.printf(Locale.ROOT, "%-22s %5s %12s %12s %8s%n", "queue", "load", "expected ms", "measured ms",
                "error");
        Distribution work = Distribution.exponential(10);
        Distribution uneven = new Distribution(Distribution.Shape.LOGNORMAL, 10, 1.5);
        boolean all = true;
        for (double load : new double[] {0.5, 0.8, 0.95}) {
            for (Theory.Row r : List.of(Theory.wait("M/M/1", 1, work, load, o.requests, o.seed),
                    Theory.wait("M/M/8", 8, work, load, o.requests, o.seed),
                    Theory.wait("M/G/1 lognormal cv 1.5", 1, uneven, load, o.requests, o.seed),
                    Theory.wait("M/D/1", 1, Distribution.fixed(10), load, o.requests, o.seed))) {
                System.out.printf(Locale.ROOT, "%-22s %5.2f %12.4f %12.4f %+7.2f%%%n", r.name(), r.load(),
                        r.expectedMs(), r.measuredMs(), 100 * r.relativeError());
                all &= Math.abs(r.relativeError()) <= 0.03;
            }
        }
        Theory.Tail tail = Theory.twoChoices(1000, 0.9, o.requests, o.seed);
        System.out.println("two choices, 1000 servers, load 0.9: part of servers with so many requests at least");
        for (int i = 0; i <= 6; i++) {
            System.out.printf(Locale.ROOT, "%22d %5s %12.6f %12.6f%n", i, "", tail.expected()[i],
                    tail.measured()[i]);
        }
        System.out.println(all ? "all waits within 3%" : "some waits beyond 3%");
        return all ? 0 : BROKEN;
    }

    private static int usage(String why) {
        System.err.println("brackenbridge: " + why.replaceAll("\\s+", " "));
        return USAGE;
    }

    private static int sim(Sim o) throws FileFault, IOException {
        Experiment e = ExperimentFile.read(Path.of(o.file), Policies.names());
        if (o.seed != null) {
            e = e.withSeed(o.seed);
        }
        if (o.policy != null) {
            if (!Policies.names().contains(o.policy)) {
                return usage("no policy '" + o.policy + "'; known are " + String.join(", ", Policies.names()));
            }
            e = e.withPolicies(List.of(o.policy));
        }
        Path out = Path.of(o.out);
        long began = System.nanoTime();
        SimRunner.Summary s = SimRunner.play(e, out, o.threads, System.console() != null);
        Files.writeString(out.resolve("experiment.toml"), Files.readString(Path.of(o.file)));
        double took = (System.nanoTime() - began) / 1e9;
        System.out.print(Tables.outcomes(out));
        System.out.println("report: " + HtmlReport.write(out));
        System.out.printf(Locale.ROOT, "%d runs, %d requests, %d events in %.1f s%n", s.runs(), s.requests(),
                s.events(), took);
        return rules(s.broken(), s.breaches());
    }

    private static int rules(long broken, List<Ledger.Breach> breaches) {
        if (broken == 0) {
            System.out.println("rules: none broken");
            return 0;
        }
        System.out.println("rules: broken " + broken + " times; the first:");
        System.out.println(breaches.get(0).text());
        return BROKEN;
    }
}

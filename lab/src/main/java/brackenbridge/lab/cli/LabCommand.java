package brackenbridge.lab.cli;

import brackenbridge.cli.Extension;
import brackenbridge.lab.experiment.SimRunner;
import brackenbridge.lab.policy.Policies;
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

    @Override
    public String name() {
        return "lab";
    }

    @Override
    public int run(String[] args) {
        Sim sim = new Sim();
        JCommander line = JCommander.newBuilder().programName("brackenbridge lab").addCommand("sim", sim).build();
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
                default -> USAGE;
            };
        } catch (FileFault e) {
            return usage(e.getMessage());
        } catch (IOException | UncheckedIOException e) {
            return usage(String.valueOf(e.getMessage()));
        }
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

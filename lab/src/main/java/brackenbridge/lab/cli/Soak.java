package brackenbridge.lab.cli;

import brackenbridge.lab.rules.RuleChecker.Rule;
import brackenbridge.lab.soak.SoakFault;
import brackenbridge.lab.soak.SoakOutcome;
import brackenbridge.lab.soak.SoakPlanner;
import brackenbridge.lab.soak.SoakRunner;
import brackenbridge.lab.world.FileFault;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** {@code lab soak}: a real node under signals in series, replacements and failures, each request checked. */
@Parameters(commandDescription = "Soak a real node: reloads, stops, replacements and failures, drawn from a seed")
final class Soak {
    /** Findings of each rule that are printed; the log has more. */
    private static final int MAX_BREACHES = 3;

    private static final double MIN_SECONDS = 3;
    private static final double MAX_SECONDS = 600;
    private static final int MAX_SEEDS = 10_000;

    @Parameter(names = "--seed", description = "The first seed")
    private long seed = 1;

    @Parameter(names = "--seeds", description = "How many seeds, one after the other")
    private int seeds = 1;

    @Parameter(names = "--seconds", description = "How long clients begin requests")
    private double seconds = 8;

    @Parameter(names = "--faults", description = "What is done wrong on purpose, to check the checker")
    private List<SoakFault> faults = List.of();

    @Parameter(names = "--out", description = "The folder of logs")
    private String out = "target/soak";

    /** The exit status: 0, or 1 where a rule was broken. */
    int run() throws FileFault, IOException, InterruptedException {
        if (seeds < 1 || seeds > MAX_SEEDS) {
            throw new ParameterException("--seeds must be within 1 to " + MAX_SEEDS);
        }
        if (!(seconds >= MIN_SECONDS && seconds <= MAX_SECONDS)) {
            throw new ParameterException("--seconds must be within 3 to 600");
        }
        Deployment deployment = Deployment.read();
        Set<SoakFault> chosen = EnumSet.noneOf(SoakFault.class);
        chosen.addAll(faults);
        boolean kept = true;
        for (long each = seed; each < seed + seeds; each++) {
            SoakOutcome outcome = SoakRunner.play(
                    SoakPlanner.plan(each, seconds),
                    chosen,
                    deployment.home(),
                    deployment.run(),
                    Path.of(out, "seed-" + each));
            kept &= outcome.broken().isEmpty();
            tell(outcome);
        }
        return kept ? 0 : LabCommand.BROKEN;
    }

    private static void tell(SoakOutcome outcome) {
        System.out.println(outcome.text());
        for (Rule rule : outcome.broken().keySet()) {
            outcome.breaches().stream()
                    .filter(breach -> breach.rule() == rule)
                    .limit(MAX_BREACHES)
                    .forEach(breach -> System.out.println(breach.text()));
        }
        if (!outcome.broken().isEmpty()) {
            System.out.println(
                    "again: bin/brackenbridge lab soak --seed " + outcome.plan().seed() + " --seconds "
                            + outcome.plan().world().seconds());
        }
    }
}

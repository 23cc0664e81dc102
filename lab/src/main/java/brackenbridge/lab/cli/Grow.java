package brackenbridge.lab.cli;

import brackenbridge.lab.grow.GrowRunner;
import brackenbridge.lab.grow.GrowTable;
import brackenbridge.lab.grow.GrowWorld;
import brackenbridge.lab.world.FileFault;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** {@code lab grow}: what a node needs before few and before many servers. */
@Parameters(commandDescription = "Measure what a node needs as its fleet grows, against the bounds")
final class Grow {
    private static final double LEAST_SECONDS = 3;
    private static final double MOST_SECONDS = 600;
    private static final int MOST_BREACHES = 3;
    private static final int MOST_SEEDS = 100;

    @Parameter(names = "--servers", description = "Numbers of servers; the first is the usual one")
    private List<Integer> servers = List.of(200, 3200);

    @Parameter(names = "--seed", description = "The seed")
    private long seed = 1;

    @Parameter(names = "--seeds", description = "How many seeds; the figures are their means")
    private int seeds = 1;

    @Parameter(names = "--ends", description = "How servers fail and are replaced: ABRUPT or QUIET")
    private GrowWorld.Ends ends = GrowWorld.Ends.ABRUPT;

    @Parameter(names = "--seconds", description = "How long requests arrive")
    private double seconds = 30;

    @Parameter(names = "--out", description = "The folder of what is left over")
    private String out = "target/grow";

    /** The exit status: 0, or 1 where a bound was passed or a rule broken. */
    int run() throws FileFault, IOException, InterruptedException {
        check();
        Deployment deployment = Deployment.read();
        GrowRunner runner = new GrowRunner(deployment.home(), deployment.run(), Path.of(out));
        List<GrowRunner.Outcome> outcomes = new ArrayList<>();
        boolean kept = true;
        for (int count : servers) {
            GrowRunner.Outcome outcome = runner.playMean(count, seconds, seed, seeds, ends);
            outcomes.add(outcome);
            kept &= outcome.breaches().isEmpty();
            tell(outcome);
        }
        GrowTable table = new GrowTable(outcomes);
        System.out.print(table.text());
        return table.holds() && kept ? 0 : LabCommand.BROKEN;
    }

    private void check() {
        if (servers.size() < 2
                || servers.stream()
                        .anyMatch(count -> count < GrowWorld.LEAST_SERVERS || count > GrowWorld.MOST_SERVERS)) {
            throw new ParameterException("--servers: two numbers or more within " + GrowWorld.LEAST_SERVERS + " to "
                    + GrowWorld.MOST_SERVERS);
        }
        if (seeds < 1 || seeds > MOST_SEEDS) {
            throw new ParameterException("--seeds must be within 1 to " + MOST_SEEDS);
        }
        if (!(seconds >= LEAST_SECONDS && seconds <= MOST_SECONDS)) {
            throw new ParameterException("--seconds must be within 3 to 600");
        }
    }

    private static void tell(GrowRunner.Outcome outcome) {
        System.out.println(outcome.servers() + " servers: " + outcome.breaches().size() + " rules broken"
                + (outcome.overrun() ? "; MARKED: more was due than the load tool could send" : ""));
        outcome.breaches().stream().limit(MOST_BREACHES).forEach(breach -> System.out.println(breach.text()));
    }
}

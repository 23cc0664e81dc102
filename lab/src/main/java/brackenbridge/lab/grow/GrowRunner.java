package brackenbridge.lab.grow;

import brackenbridge.lab.experiment.Results;
import brackenbridge.lab.live.LiveRunner;
import brackenbridge.lab.live.ProcessLinks;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.world.Experiment;
import brackenbridge.lab.world.FileFault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Plays one size: a node process started by the deployment's command, before this process's stand-in servers. */
public final class GrowRunner {
    private static final double BYTES_PER_KB = 1000;

    private final Path home;
    private final String command;
    private final Path folder;

    /**
     * Prepares it.
     *
     * @param home the root of the repository, where the command runs
     * @param command what starts a node
     * @param folder the folder of what is left over
     */
    public GrowRunner(Path home, String command, Path folder) {
        this.home = home;
        this.command = command;
        this.folder = folder;
    }

    /**
     * What came of one size.
     *
     * @param servers the number of servers
     * @param needs what the node needed
     * @param overrun whether the load tool was too slow, so that the figures are its own too
     * @param breaches broken rules, with each request's history
     */
    public record Outcome(int servers, Needs needs, boolean overrun, List<RuleChecker.Breach> breaches) {}

    /** Plays a fleet of so many servers for so long. */
    public Outcome play(int servers, double seconds, long seed, GrowWorld.Ends ends)
            throws FileFault, IOException, InterruptedException {
        Experiment experiment = GrowWorld.of(servers, seconds, seed, ends);
        Path place = folder.resolve("servers-" + servers + "-seed-" + seed);
        ProcessMeter meter = new ProcessMeter();
        try (Results results = new Results(place)) {
            LiveRunner.Outcome run = LiveRunner.play(
                    experiment,
                    experiment.runs().get(0),
                    home,
                    command,
                    place.resolve("node"),
                    results,
                    ProcessLinks.DIRECT,
                    number -> number == GrowWorld.NODE,
                    meter);
            Needs needs = new Needs(
                    meter.cpuSeconds(),
                    meter.memoryMb(),
                    meter.descriptors(),
                    run.connections(),
                    run.listBytes() / BYTES_PER_KB,
                    run.board().servedPart());
            return new Outcome(servers, needs, run.overrun(), run.ledger().breaches());
        }
    }

    /** Plays the same fleet with so many seeds in turn: what the node needed in the mean, and all breaches. */
    public Outcome playMean(int servers, double seconds, long firstSeed, int seeds, GrowWorld.Ends ends)
            throws FileFault, IOException, InterruptedException {
        List<Needs> needs = new ArrayList<>();
        List<RuleChecker.Breach> breaches = new ArrayList<>();
        boolean overrun = false;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            Outcome outcome = play(servers, seconds, seed, ends);
            needs.add(outcome.needs());
            breaches.addAll(outcome.breaches());
            overrun |= outcome.overrun();
        }
        return new Outcome(servers, Needs.mean(needs), overrun, breaches);
    }
}

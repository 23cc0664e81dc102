package brackenbridge.lab.cli;

import brackenbridge.lab.evacuation.Measure;
import brackenbridge.lab.policy.Policies;
import brackenbridge.lab.world.Experiment;
import brackenbridge.lab.world.ExperimentFile;
import brackenbridge.lab.world.FileFault;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** {@code lab evacuate}: evacuations of zones in simulated time, foretold and carried out. */
@Parameters(commandDescription = "Foretell and carry out evacuations of zones that are drawn from experiments")
final class Evacuate {
    @Parameter(description = "EXPERIMENT.toml ...")
    private List<String> files = new ArrayList<>();

    @Parameter(names = "--seeds", description = "Seeds")
    private List<Long> seeds = new ArrayList<>(List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L, 10L));

    @Parameter(names = "--draws", description = "Evacuations of each experiment and seed")
    private int draws = 4;

    @Parameter(names = "--threads", description = "Evacuations at once; by default one for each core")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Parameter(names = "--each", description = "Say what became of each pool")
    private boolean each;

    private static final List<String> USUAL =
            List.of("zones", "lasting-choke", "retry-storm", "overload-many", "tries-early");

    /** The exit status: 0, or 1 where the aims were not met. */
    int run() throws FileFault, InterruptedException {
        if (draws < 1 || draws > 1000 || threads < 1 || threads > 256 || seeds.isEmpty() || seeds.size() > 10_000) {
            throw new ParameterException("--draws must be within 1 to 1000, --threads within 1 to 256");
        }
        List<Experiment> experiments = new ArrayList<>();
        List<String> paths = files.isEmpty()
                ? USUAL.stream().map(n -> "lab/experiments/" + n + ".toml").toList()
                : files;
        for (String f : paths) {
            experiments.add(ExperimentFile.read(Path.of(f), Policies.names()));
        }
        return Measure.run(experiments, seeds, draws, threads, each, System.out) ? 0 : LabCommand.BROKEN;
    }
}

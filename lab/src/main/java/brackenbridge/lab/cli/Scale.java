package brackenbridge.lab.cli;

import brackenbridge.lab.scale.ScaleFile;
import brackenbridge.lab.scale.ScaleOutcome;
import brackenbridge.lab.scale.ScalePlan;
import brackenbridge.lab.scale.ScaleRunner;
import brackenbridge.lab.scale.Slopes;
import brackenbridge.lab.world.FileFault;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** {@code lab scale}: control machines and many nodes as processes of this machine, measured. */
@Parameters(commandDescription = "Measure how agreed values reach many nodes")
final class Scale {
    private static final int MAX_SEEDS = 100;

    @Parameter(description = "SCALE.toml", required = true)
    private String file;

    @Parameter(names = "--seed", description = "The first seed")
    private long seed = 1;

    @Parameter(names = "--seeds", description = "How many seeds, one after the other")
    private int seeds = 1;

    @Parameter(names = "--nodes", description = "Numbers of nodes, in place of the file's; fits a line through them")
    private List<Integer> nodes = List.of();

    @Parameter(names = "--out", description = "The folder of results")
    private String out = "target/scale";

    /** The exit status: 0, or 1 where a bound was passed. */
    int run() throws FileFault, IOException, InterruptedException {
        if (seeds < 1 || seeds > MAX_SEEDS || nodes.stream().anyMatch(count -> count < 1 || count > 5000)) {
            throw new ParameterException("--seeds must be within 1 to " + MAX_SEEDS + ", --nodes within 1 to 5000");
        }
        ScalePlan plan = ScaleFile.read(Path.of(file));
        List<ScaleOutcome> outcomes = new ArrayList<>();
        boolean passed = true;
        for (long s = seed; s < seed + seeds; s++) {
            for (int count : nodes.isEmpty() ? List.of(plan.nodes()) : nodes) {
                Path folder = Path.of(out).resolve("seed-" + s + "-nodes-" + count);
                clear(folder);
                ScaleOutcome outcome = ScaleRunner.play(plan.withNodes(count), s, folder);
                Files.writeString(folder.resolve("report.txt"), outcome.text() + outcome.summary() + "\n");
                System.out.print(outcome.text());
                System.out.println(outcome.summary());
                outcomes.add(outcome);
                passed &= outcome.passed();
            }
        }
        if (!nodes.isEmpty()) {
            System.out.print(Slopes.write(outcomes, Path.of(out)));
            System.out.println(outcomes.get(outcomes.size() - 1).summary());
        }
        return passed ? 0 : LabCommand.BROKEN;
    }

    /** Disks of an earlier play would be another fleet's past. */
    private static void clear(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (java.util.stream.Stream<Path> all = Files.walk(folder)) {
                for (Path path : all.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }
}

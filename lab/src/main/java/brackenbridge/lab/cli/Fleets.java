package brackenbridge.lab.cli;

import brackenbridge.lab.experiment.Results;
import brackenbridge.lab.fleet.Fault;
import brackenbridge.lab.fleet.FleetFile;
import brackenbridge.lab.fleet.FleetPlan;
import brackenbridge.lab.fleet.FleetRunner;
import brackenbridge.lab.fleet.MembersFile;
import brackenbridge.lab.fleet.Shrinking;
import brackenbridge.lab.report.HtmlReport;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.world.FileFault;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** {@code lab fleet}: real processes with a relay on every link, and faults between them. */
@Parameters(commandDescription = "Play a fleet of real processes with faults on links and processes")
final class Fleets {
    @Parameter(description = "FLEET.toml", required = true)
    private String file;

    @Parameter(names = "--seed", description = "The first seed")
    private long seed = 1;

    @Parameter(names = "--seeds", description = "How many seeds, one after the other")
    private int seeds = 1;

    @Parameter(names = "--out", description = "The folder of results")
    private String out = "target/fleet";

    @Parameter(names = "--shrink", description = "Where a promise breaks: plays to spend on a shorter script")
    private int shrink;

    /** The exit status: 0, or 1 where a promise was broken. */
    int run() throws FileFault, IOException, InterruptedException {
        if (seeds < 1 || seeds > 10_000 || shrink < 0) {
            throw new ParameterException("--seeds must be within 1 to 10000, --shrink 0 or more");
        }
        if (MembersFile.is(Path.of(file))) {
            return new FleetsOfMembers(MembersFile.read(Path.of(file)), Path.of(out)).run(seed, seeds, shrink);
        }
        FleetPlan plan = FleetFile.read(Path.of(file));
        Deployment deployment = Deployment.read();
        FleetRunner.Program program = new FleetRunner.Program(deployment.home(), deployment.run());
        int status = 0;
        Path folder = Path.of(out);
        try (Results results = new Results(folder)) {
            results.keep("experiment.toml", Files.readString(Path.of(file)));
            for (long s = seed; s < seed + seeds && status == 0; s++) {
                FleetRunner.Outcome o = FleetRunner.play(plan, s, null, program, folder.resolve("seed-" + s), results);
                Files.write(folder.resolve("seed-" + s + ".log"), o.log());
                tell(s, o);
                if (broken(plan, o)) {
                    breach(plan, s, o);
                    shorter(plan, s, o, program, folder);
                    status = LabCommand.BROKEN;
                }
            }
        }
        System.out.println("report: " + HtmlReport.write(folder));
        return status;
    }

    private static boolean broken(FleetPlan plan, FleetRunner.Outcome o) {
        return o.run().ledger().broken() > 0 || o.run().board().servedPart() < plan.servedLeast();
    }

    private static void tell(long seed, FleetRunner.Outcome o) {
        System.out.printf(
                Locale.ROOT,
                "seed %d: %d faults, %d first tries, served %.4f, worst 10 s %.4f, %d rules "
                        + "broken; links: %d connections, %d reset, %.1f MB there, %.1f MB back%n",
                seed,
                o.faults().size(),
                o.run().board().first(),
                o.run().board().servedPart(),
                o.run().board().worstTenSeconds(),
                o.run().ledger().broken(),
                o.counts().connections(),
                o.counts().resets(),
                o.counts().bytesThere() / 1e6,
                o.counts().bytesBack() / 1e6);
    }

    /** The first breach, and the lines that led to it. */
    private static void breach(FleetPlan plan, long seed, FleetRunner.Outcome o) {
        if (o.run().ledger().broken() > 0) {
            RuleChecker.Breach first = o.run().ledger().breaches().get(0);
            System.out.println("seed " + seed + ": " + first.text());
        } else {
            System.out.printf(
                    Locale.ROOT,
                    "seed %d: served %.4f of at least %.4f%n",
                    seed,
                    o.run().board().servedPart(),
                    plan.servedLeast());
        }
        o.log().forEach(l -> System.out.println("  " + l));
    }

    private void shorter(FleetPlan plan, long s, FleetRunner.Outcome o, FleetRunner.Program program, Path folder)
            throws IOException, InterruptedException {
        if (shrink == 0 || o.faults().size() < 2) {
            return;
        }
        List<IOException> failed = new ArrayList<>();
        try (Results results = new Results(folder.resolve("shrinking"))) {
            List<Fault> least = Shrinking.shrink(
                    o.faults(),
                    faults -> {
                        try {
                            return broken(
                                    plan,
                                    FleetRunner.play(plan, s, faults, program, folder.resolve("shrinking"), results));
                        } catch (IOException e) {
                            failed.add(e);
                            return false;
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                            return false;
                        }
                    },
                    shrink);
            System.out.println(
                    "fails still with " + least.size() + " of " + o.faults().size() + " faults:");
            least.forEach(f -> System.out.println("  " + f.text()));
        }
        if (!failed.isEmpty()) {
            throw failed.get(0);
        }
    }
}

package brackenbridge.lab.cli;

import brackenbridge.fleet.replica.ReplicationLimits;
import brackenbridge.lab.replica.Bounds;
import brackenbridge.lab.replica.Explorer;
import brackenbridge.lab.replica.ReplicationMistake;
import brackenbridge.lab.replica.ReplicationModel;
import brackenbridge.lab.replica.SimulatedReplicaFleet;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** {@code lab replicate}: the replica at size, or every history of three members. */
@Parameters(commandDescription = "Play the replica: members in simulated time, or every small history")
final class Replicate {
    private static final double[] AWAY_MS = {1000, 60_000, 3_600_000};

    @Parameter(names = "--nodes", description = "Members of the fleet")
    private int nodes = 100;

    @Parameter(names = "--keys", description = "Records of each member")
    private int keys = 20;

    @Parameter(names = "--writes", description = "Writes a second of each member under change")
    private double writes = 1;

    @Parameter(names = "--lost", description = "The part of messages that are lost")
    private double lost = 0.001;

    @Parameter(names = "--change", description = "How long is written, in milliseconds")
    private double change = 5000;

    @Parameter(names = "--budget", description = "Bytes a second that a member sends, at the most")
    private double budget = 1_000_000;

    @Parameter(names = "--seed", description = "The seed")
    private long seed = 1;

    @Parameter(names = "--explore", description = "Go through every history instead, and look for each mistake")
    private boolean explore;

    @Parameter(names = "--most", description = "With --explore: moments to look at, at the most")
    private long most = 1_000_000;

    @Parameter(names = "--bounds", description = "With --explore: writes,wants,pieces,ends,saves,forgets,folds")
    private List<Integer> bounds = new ArrayList<>(List.of(3, 1, 2, 1, 0, 1, 0));

    /** The exit status: 0, or 1 where the promise was broken or a mistake was not found. */
    int run() {
        if (bounds.size() != 7 || bounds.stream().anyMatch(b -> b < 0 || b > 20)) {
            throw new ParameterException("--bounds wants seven numbers within 0 to 20");
        }
        if (nodes < 2
                || nodes > 2000
                || keys < 1
                || keys > 1000
                || !(writes > 0 && writes <= 1000)
                || !(lost >= 0 && lost < 0.9)
                || !(change >= 100 && change <= 600_000)
                || !(budget >= 1000)) {
            throw new ParameterException("--nodes must be within 2 to 2000, --keys 1 to 1000, --writes above 0 to "
                    + "1000, --lost 0 to 0.9, --change 100 to 600000, --budget 1000 and more");
        }
        return explore ? explore() : fleet();
    }

    private int fleet() {
        ReplicationLimits terms = ReplicationLimits.DEFAULT.withBytesPerSecond(budget);
        SimulatedReplicaFleet f = new SimulatedReplicaFleet(
                new SimulatedReplicaFleet.Plan(nodes, keys, writes, lost, change, terms, seed));
        SimulatedReplicaFleet.Outcome o = f.run();
        System.out.printf(
                Locale.ROOT,
                "%d members of %d records, %s, %d level after the warm-up%n",
                nodes,
                keys,
                nodes - 1 > terms.maxMeshPeers() ? "each passes news on to " + terms.fanOut() : "each tells all",
                o.level());
        System.out.printf(
                Locale.ROOT,
                "write to one member  p50 %d ms, p99 %d ms, max %d ms%n",
                o.each().getValueAtPercentile(50),
                o.each().getValueAtPercentile(99),
                o.each().getMaxValue());
        System.out.printf(
                Locale.ROOT,
                "write to all members p50 %d ms, p99 %d ms, max %d ms, %d writes%n",
                o.all().getValueAtPercentile(50),
                o.all().getValueAtPercentile(99),
                o.all().getMaxValue(),
                o.all().getTotalCount());
        System.out.printf(
                Locale.ROOT,
                "bytes a second a member: %.0f at rest, %.0f at %.1f writes a second of each%n",
                o.atRest(),
                o.underChange(),
                writes);
        System.out.printf(Locale.ROOT, "oldest sign of life of anyone at anyone: %.0f ms%n", o.oldestMs());
        boolean broken = o.level() < nodes;
        for (double away : AWAY_MS) {
            SimulatedReplicaFleet.Returned r = f.away(away);
            System.out.printf(
                    Locale.ROOT,
                    "away for %.0f s: behind by %d, %s after %.0f ms, all sent %d bytes%n",
                    away / 1000,
                    r.behind(),
                    r.right() ? "level" : "NOT AS THE OTHERS",
                    r.levelMs(),
                    r.bytes());
            broken |= !r.right();
        }
        return broken ? LabCommand.BROKEN : 0;
    }

    private int explore() {
        Explorer.Found all = Explorer.explore(
                new ReplicationModel(
                        new Bounds(
                                bounds.get(0),
                                bounds.get(1),
                                bounds.get(2),
                                bounds.get(3),
                                bounds.get(4),
                                bounds.get(5),
                                bounds.get(6)),
                        ReplicationMistake.NONE),
                most);
        System.out.printf(
                Locale.ROOT,
                "%d moments, %d steps, %d deep, %s%n",
                all.states(),
                all.steps(),
                all.depth(),
                all.whole() ? "all there are" : "and more");
        boolean failed = tell("as it is", all, false);
        for (ReplicationMistake m : ReplicationMistake.values()) {
            if (m != ReplicationMistake.NONE) {
                failed |= tell(
                        m.name().toLowerCase(Locale.ROOT),
                        Explorer.explore(new ReplicationModel(Bounds.of(m), m), most),
                        true);
            }
        }
        return failed ? LabCommand.BROKEN : 0;
    }

    private static boolean tell(String name, Explorer.Found f, boolean wanted) {
        System.out.printf(
                Locale.ROOT,
                "%-22s %s%n",
                name,
                f.breach() == null
                        ? "no breach in " + f.states() + " moments"
                        : f.breach() + ", after " + String.join("; ", f.history()));
        return f.breach() == null == wanted;
    }
}

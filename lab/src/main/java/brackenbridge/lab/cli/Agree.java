package brackenbridge.lab.cli;

import brackenbridge.core.generation.LeaseTerms;
import brackenbridge.lab.agree.AgreementMistake;
import brackenbridge.lab.agree.AgreementModel;
import brackenbridge.lab.agree.Bounds;
import brackenbridge.lab.agree.Explorer;
import brackenbridge.lab.agree.Search;
import brackenbridge.lab.agree.SimulatedAgreementFleet;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** {@code lab agree}: the agreement on settings at size, or every history of a few nodes. */
@Parameters(commandDescription = "Play the agreement on settings: a fleet in simulated time, or every small history")
final class Agree {
    private static final double[] OUT_OF_REACH = {0, 0.01, 0.05};

    @Parameter(names = "--nodes", description = "Nodes of the fleet")
    private int nodes = 1000;

    @Parameter(names = "--proposals", description = "Proposals, six seconds apart")
    private int proposals = 5;

    @Parameter(names = "--lease", description = "The lease, in milliseconds")
    private double lease = 1600;

    @Parameter(names = "--drift", description = "The part by which clocks' rates may be off")
    private double drift = 0.01;

    @Parameter(names = "--seed", description = "The seed")
    private long seed = 1;

    @Parameter(names = "--explore", description = "Go through every history instead, and look for each mistake")
    private boolean explore;

    @Parameter(names = "--most", description = "With --explore: moments to look at, at the most")
    private long most = 1_000_000;

    @Parameter(names = "--bounds", description = "With --explore: holders,ticks,questions,starts,proposals,takeovers")
    private List<Integer> bounds = new ArrayList<>(List.of(2, 3, 1, 0, 1, 0));

    /** The exit status: 0, or 1 where the promise was broken or a mistake was not found. */
    int run() {
        if (nodes < 1 || nodes > 10_000 || proposals < 1 || proposals > 1000) {
            throw new ParameterException("--nodes must be within 1 to 10000, --proposals within 1 to 1000");
        }
        if (bounds.size() != 6 || bounds.stream().anyMatch(b -> b < 0 || b > 20)) {
            throw new ParameterException("--bounds wants six numbers within 0 to 20");
        }
        LeaseTerms terms;
        try {
            terms = new LeaseTerms(lease, drift);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(e.getMessage());
        }
        return explore ? explore() : fleet(terms);
    }

    private int explore() {
        Explorer.Found all = Explorer.explore(
                new AgreementModel(
                        new Bounds(
                                bounds.get(0),
                                bounds.get(1),
                                bounds.get(2),
                                bounds.get(3),
                                bounds.get(4),
                                bounds.get(5)),
                        AgreementMistake.NONE),
                most);
        System.out.printf(
                Locale.ROOT,
                "%d moments, %d steps, %d deep, %s; %d with all nodes on the proposal%n",
                all.states(),
                all.steps(),
                all.depth(),
                all.whole() ? "all there are" : "and more",
                all.reached());
        boolean failed = tell("as it is", all, false);
        for (AgreementMistake m : AgreementMistake.values()) {
            if (m != AgreementMistake.NONE) {
                failed |= tell(
                        m.name().toLowerCase(Locale.ROOT),
                        Explorer.explore(new AgreementModel(Search.bounds(m), m), most),
                        true);
            }
        }
        return failed ? LabCommand.BROKEN : 0;
    }

    private static boolean tell(String name, Explorer.Found f, boolean wanted) {
        System.out.printf(
                Locale.ROOT,
                "%-24s %s%n",
                name,
                f.breach() == null
                        ? "no breach in " + f.states() + " moments"
                        : f.breach() + ", after " + String.join("; ", f.history()));
        return f.breach() == null == wanted;
    }

    private int fleet(LeaseTerms terms) {
        System.out.printf(
                Locale.ROOT,
                "%d nodes, lease %.0f ms, drift %.3f; times in ms from the proposal%n",
                nodes,
                terms.leaseMs(),
                terms.drift());
        System.out.printf(
                Locale.ROOT,
                "%-13s %-9s %-30s %6s %6s %6s %13s %8s %8s%n",
                "out of reach",
                "takeover",
                "in force",
                "p50",
                "p99",
                "max",
                "contradiction",
                "asks/s",
                "most/s");
        boolean broken = false;
        for (double out : OUT_OF_REACH) {
            for (boolean takeover : new boolean[] {false, true}) {
                SimulatedAgreementFleet.Outcome o = new SimulatedAgreementFleet(
                                new SimulatedAgreementFleet.Plan(nodes, out, proposals, takeover, terms, seed))
                        .run();
                System.out.printf(
                        Locale.ROOT,
                        "%-13s %-9s %-30s %6d %6d %6d %13.0f %8.0f %8d%n",
                        String.format(Locale.ROOT, "%.0f%%", out * 100),
                        takeover ? "yes" : "no",
                        o.inForceMs().stream().map(Math::round).toList(),
                        o.nodesMs().getValueAtPercentile(50),
                        o.nodesMs().getValueAtPercentile(99),
                        o.nodesMs().getMaxValue(),
                        o.contradictionMs(),
                        o.atRest(),
                        o.most());
                broken |= o.contradictionMs() > 0;
            }
        }
        return broken ? LabCommand.BROKEN : 0;
    }
}

package brackenbridge.core.membership;

import brackenbridge.core.membership.RecoveringDiscoveryService.Result;
import brackenbridge.core.membership.RecoveringDiscoveryService.Service;
import java.util.Locale;

/**
 * How much faster than the plain need (all nodes within six seconds) a service of lists has to be for all of its nodes
 * to be answered in time after an outage, by their number, the length of its line and its time-out. Not a test.
 */
final class DiscoveryRecoveryFigures {
    private static final int[] NODES = {100, 400, 1600};
    private static final int[] QUEUE_LIMITS = {17, 77, 400};
    private static final double[] TIMEOUTS_MS = {1000, 2000};
    private static final int SEARCH_STEPS = 14;

    private DiscoveryRecoveryFigures() {}

    /** Prints a row for each. */
    public static void main(String[] args) {
        for (int nodes : NODES) {
            for (int line : QUEUE_LIMITS) {
                for (double timeOutMs : TIMEOUTS_MS) {
                    System.out.println(row(nodes, line, timeOutMs));
                }
            }
        }
    }

    private static String row(int nodes, int line, double timeOutMs) {
        double needed = RecoveringDiscoveryService.MEASURED_TIME_MS / nodes;
        Result today = RecoveringDiscoveryService.simulate(nodes, new Service(line, timeOutMs, 20));
        double slowest = 0;
        double tooSlow = needed;
        for (int i = 0; i < SEARCH_STEPS; i++) {
            double tried = (slowest + tooSlow) / 2;
            boolean all = RecoveringDiscoveryService.simulate(nodes, new Service(line, timeOutMs, tried))
                            .answered()
                    == nodes;
            slowest = all ? tried : slowest;
            tooSlow = all ? tooSlow : tried;
        }
        return String.format(
                Locale.ROOT,
                "%5d nodes, line %3d, time-out %.0f ms: at 20 ms a call %d answered, %d "
                        + "calls refused; all answered up to %.2f ms a call, %s of what is needed",
                nodes,
                line,
                timeOutMs,
                today.answered(),
                today.rejected(),
                slowest,
                slowest == 0 ? "never" : String.format(Locale.ROOT, "%.2f times the rate", needed / slowest));
    }
}

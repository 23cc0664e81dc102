package brackenbridge.core.membership;

import brackenbridge.core.membership.RecoveringDiscoveryService.Result;
import brackenbridge.core.membership.RecoveringDiscoveryService.Service;
import java.util.Locale;

/**
 * Computes how much faster than the average need (all nodes within six seconds) a discovery service has to be so that
 * all nodes are answered in time after an outage, by the number of nodes, the queue limit and the time-out. Not a test.
 */
final class DiscoveryRecoveryFigures {
    private static final int[] NODES = {100, 400, 1600};
    private static final int[] QUEUE_LIMITS = {17, 77, 400};
    private static final double[] TIMEOUTS_MS = {1000, 2000};
    private static final int SEARCH_STEPS = 14;

    private DiscoveryRecoveryFigures() {}

    /** Prints a row for each combination. */
    public static void main(String[] args) {
        for (int nodes : NODES) {
            for (int queueLimit : QUEUE_LIMITS) {
                for (double timeoutMs : TIMEOUTS_MS) {
                    System.out.println(row(nodes, queueLimit, timeoutMs));
                }
            }
        }
    }

    private static String row(int nodes, int queueLimit, double timeoutMs) {
        double neededMs = RecoveringDiscoveryService.MEASURED_TIME_MS / nodes;
        Result atDefaultRate = RecoveringDiscoveryService.simulate(nodes, new Service(queueLimit, timeoutMs, 20));
        double feasibleMs = 0;
        double infeasibleMs = neededMs;
        for (int i = 0; i < SEARCH_STEPS; i++) {
            double candidateMs = (feasibleMs + infeasibleMs) / 2;
            boolean allAnswered =
                    RecoveringDiscoveryService.simulate(nodes, new Service(queueLimit, timeoutMs, candidateMs))
                                    .answered()
                            == nodes;
            feasibleMs = allAnswered ? candidateMs : feasibleMs;
            infeasibleMs = allAnswered ? infeasibleMs : candidateMs;
        }
        return String.format(
                Locale.ROOT,
                "%5d nodes, queue limit %3d, time-out %.0f ms: at 20 ms per call %d answered, %d "
                        + "calls rejected; all answered up to %.2f ms per call, %s of the required rate",
                nodes,
                queueLimit,
                timeoutMs,
                atDefaultRate.answered(),
                atDefaultRate.rejected(),
                feasibleMs,
                feasibleMs == 0 ? "never" : String.format(Locale.ROOT, "%.2f times", neededMs / feasibleMs));
    }
}

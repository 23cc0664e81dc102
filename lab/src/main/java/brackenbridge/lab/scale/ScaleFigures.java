package brackenbridge.lab.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Works out how long changes took to be in force, from what was proposed and what nodes began to act by. All times are
 * milliseconds of the machine's monotonic clock.
 */
final class ScaleFigures {
    /** A change of a resource: when it was first proposed, and when the proposer was told that it is in force. */
    record Change(long number, String resource, double proposedMs, double inForceMs) {}

    /** A node could not be reached, or was not there, from one moment until another. */
    record Unreachable(int node, double fromMs, double untilMs) {}

    /** A node began to act by a change, or by a later one of the same resource. */
    private record Applied(long change, double atMs) {}

    /**
     * What came of the changes.
     *
     * @param changes how many were decided
     * @param pairs how many pairs of a change and a node that follows it there were
     * @param missing how many of the pairs never came about though the node could be reached
     * @param node from the proposal, or from the node's return, until the node acts by it; sorted
     * @param last for each change until the last reachable node acts by it; sorted
     * @param agreed from the proposal until the proposer was told; sorted
     */
    record Result(int changes, int pairs, int missing, double[] node, double[] last, double[] agreed) {
        /** A quantile of sorted values; 0 if there are none. */
        static double quantile(double[] sorted, double part) {
            return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, Math.floor(part * sorted.length))];
        }
    }

    private final Map<String, List<Integer>> followers = new HashMap<>();
    private final Map<String, List<Applied>> applied = new HashMap<>();
    private final Map<Integer, List<Unreachable>> unreachable = new HashMap<>();

    /** Node {@code i} of this many follows {@link ScalePlan#resourcesOf}. */
    ScaleFigures(ScalePlan plan, int nodes, long seed) {
        for (int node = 0; node < nodes; node++) {
            for (String resource : ScalePlan.resourcesOf(node, plan.services(), plan.calls(), plan.tiers(), seed)) {
                followers.computeIfAbsent(resource, name -> new ArrayList<>()).add(node);
            }
        }
    }

    void applied(int node, String resource, long change, double atMs) {
        applied.computeIfAbsent(node + " " + resource, key -> new ArrayList<>()).add(new Applied(change, atMs));
    }

    void unreachable(Unreachable span) {
        unreachable.computeIfAbsent(span.node(), node -> new ArrayList<>()).add(span);
    }

    Result result(List<Change> changes, double endMs) {
        List<Double> node = new ArrayList<>();
        List<Double> last = new ArrayList<>();
        int pairs = 0;
        int missing = 0;
        for (Change change : changes) {
            double slowest = 0;
            for (int follower : followers.getOrDefault(change.resource(), List.of())) {
                pairs++;
                double took = tookMs(change, follower, endMs);
                if (Double.isInfinite(took)) {
                    missing++;
                } else if (!Double.isNaN(took)) {
                    node.add(took);
                    slowest = Math.max(slowest, took);
                }
            }
            last.add(slowest);
        }
        return new Result(
                changes.size(),
                pairs,
                missing,
                sorted(node),
                sorted(last),
                sorted(changes.stream()
                        .map(change -> change.inForceMs() - change.proposedMs())
                        .toList()));
    }

    /** Infinite if it never came about; NaN if the node can't be reached at the end either. */
    private double tookMs(Change change, int node, double endMs) {
        double at = applied.getOrDefault(node + " " + change.resource(), List.of()).stream()
                .filter(one -> one.change() >= change.number())
                .mapToDouble(Applied::atMs)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
        double from = change.proposedMs();
        for (Unreachable span : unreachable.getOrDefault(node, List.of())) {
            if (span.fromMs() <= at && span.untilMs() >= change.proposedMs()) {
                if (span.untilMs() >= endMs) {
                    return Double.NaN;
                }
                from = Math.max(from, span.untilMs());
            }
        }
        return Double.isInfinite(at) ? at : Math.max(0, at - from);
    }

    private static double[] sorted(List<Double> values) {
        double[] array = values.stream().mapToDouble(value -> value).toArray();
        Arrays.sort(array);
        return array;
    }
}

package brackenbridge.lab.scale;

import java.util.List;
import java.util.Locale;

/**
 * What a scale test measured.
 *
 * @param plan what was played
 * @param seed with which seed
 * @param startedMs from the first node's start until all nodes had everything that they follow, in milliseconds
 * @param result how long changes took
 * @param rest costs at rest
 * @param busy costs while changes were made
 * @param connections connections that nodes made in all
 * @param rejected versions that nodes could not use
 * @param proposals proposals that had to be made again
 * @param faults the faults, in words
 */
public record ScaleOutcome(
        ScalePlan plan,
        long seed,
        double startedMs,
        ScaleFigures.Result result,
        Cost rest,
        Cost busy,
        long connections,
        long rejected,
        int proposals,
        List<String> faults) {

    /**
     * What was used over a time, in hundredths of a core, MB of 2^20 bytes and KB of 1,000 bytes a second.
     *
     * @param nodeCorePercent a hollow node's processor time: the mean over all that share processes
     * @param aloneCorePercent that of the node that has a process of its own
     * @param aloneMemoryMb resident memory of that process
     * @param aloneThreads its threads
     * @param nodeKbPerSecond bytes in and out of a node's control connection: the mean over all
     * @param mostKbPerSecond that of the node with the most
     * @param machines each control machine
     */
    public record Cost(
            double nodeCorePercent,
            double aloneCorePercent,
            double aloneMemoryMb,
            int aloneThreads,
            double nodeKbPerSecond,
            double mostKbPerSecond,
            List<MachineCost> machines) {
        /** The highest processor time of a control machine. */
        double mostMachineCorePercent() {
            return machines.stream()
                    .mapToDouble(MachineCost::corePercent)
                    .filter(percent -> !Double.isNaN(percent))
                    .max()
                    .orElse(0);
        }
    }

    /**
     * What a control machine used.
     *
     * @param name its name
     * @param region where it stands
     * @param nodes how many nodes it served at the end
     * @param corePercent processor time, in hundredths of a core; NaN if it was killed meanwhile
     * @param memoryMb resident memory
     * @param threads threads
     * @param descriptors open descriptors
     * @param toNodesKbPerSecond bytes written to nodes
     * @param meshKbPerSecond bytes written to other control machines
     */
    public record MachineCost(
            String name,
            String region,
            int nodes,
            double corePercent,
            double memoryMb,
            int threads,
            int descriptors,
            double toNodesKbPerSecond,
            double meshKbPerSecond) {}

    /** Whether every bound was kept. */
    public boolean passed() {
        ScalePlan.Bounds bounds = plan.bounds();
        return result.missing() == 0
                && rejected == 0
                && slowestMs() <= bounds.inForceMs()
                && nodeCorePercent() <= bounds.nodeCorePercent()
                && rest.aloneMemoryMb() <= bounds.nodeMemoryMb()
                && mostKbPerSecond() <= bounds.nodeKbPerSecond()
                && machineCorePercent() <= bounds.machineCorePercent();
    }

    private double slowestMs() {
        return ScaleFigures.Result.quantile(result.last(), 1);
    }

    private double nodeCorePercent() {
        return Math.max(rest.nodeCorePercent(), busy.nodeCorePercent());
    }

    private double mostKbPerSecond() {
        return Math.max(rest.mostKbPerSecond(), busy.mostKbPerSecond());
    }

    private double machineCorePercent() {
        return Math.max(rest.mostMachineCorePercent(), busy.mostMachineCorePercent());
    }

    /** The tables, for people. */
    public String text() {
        StringBuilder text = new StringBuilder();
        line(
                text,
                "seed %d, %d nodes, %d control machines, %d services; faults: %s",
                seed,
                plan.nodes(),
                plan.machines(),
                plan.services(),
                faults.isEmpty() ? "none" : String.join("; ", faults));
        line(
                text,
                "all started within %.1f s, all had everything after %.1f s",
                plan.startMs() / 1000,
                startedMs / 1000);
        line(
                text,
                "%d changes, %d changes by node, %d missing, %d proposals made again, %d connections of nodes",
                result.changes(),
                result.pairs(),
                result.missing(),
                proposals,
                connections);
        quantiles(text, "decided", result.agreed());
        quantiles(text, "at a node", result.node());
        quantiles(text, "at the last", result.last());
        cost(text, "at rest", rest);
        cost(text, "with changes", busy);
        return text.toString();
    }

    private static void quantiles(StringBuilder text, String name, double[] sorted) {
        line(
                text,
                "%-14s p50 %7.0f ms, p99 %7.0f ms, max %7.0f ms",
                name,
                ScaleFigures.Result.quantile(sorted, 0.5),
                ScaleFigures.Result.quantile(sorted, 0.99),
                ScaleFigures.Result.quantile(sorted, 1));
    }

    private static void cost(StringBuilder text, String name, Cost cost) {
        line(
                text,
                "%s: a node %.3f%% of a core, %.2f KB/s (most %.2f); alone in a process %.2f%%, %.0f MB, %d threads",
                name,
                cost.nodeCorePercent(),
                cost.nodeKbPerSecond(),
                cost.mostKbPerSecond(),
                cost.aloneCorePercent(),
                cost.aloneMemoryMb(),
                cost.aloneThreads());
        cost.machines()
                .forEach(machine -> line(
                        text,
                        "  %-4s %-10s %4d nodes, %6.2f%% of a core, %4.0f MB, %3d threads, "
                                + "%4d descriptors, %7.2f KB/s to "
                                + "nodes, %6.2f KB/s to machines",
                        machine.name(),
                        machine.region(),
                        machine.nodes(),
                        machine.corePercent(),
                        machine.memoryMb(),
                        machine.threads(),
                        machine.descriptors(),
                        machine.toNodesKbPerSecond(),
                        machine.meshKbPerSecond()));
    }

    private static void line(StringBuilder text, String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    /** The last line that the command prints. */
    public String summary() {
        return String.format(
                Locale.ROOT,
                "scale: %d nodes, in force everywhere after %.1f s of %.0f, a node %.2f%% of "
                        + "%.1f of a core, %.0f MB of %.0f, %.2f KB/s of %.0f, control %.1f%% of a core at most",
                plan.nodes(),
                slowestMs() / 1000,
                plan.bounds().inForceMs() / 1000,
                nodeCorePercent(),
                plan.bounds().nodeCorePercent(),
                rest.aloneMemoryMb(),
                plan.bounds().nodeMemoryMb(),
                mostKbPerSecond(),
                plan.bounds().nodeKbPerSecond(),
                machineCorePercent());
    }
}

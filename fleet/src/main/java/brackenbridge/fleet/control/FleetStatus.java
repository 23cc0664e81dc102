package brackenbridge.fleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Formats the reports of all control machines, aggregated by region, as text for operators. */
public final class FleetStatus {
    /** Older reports are marked and excluded from the sums. */
    private static final double STALE_MS = 5000;

    private static final class Region {
        private int nodes;
        private int current;
        private final Map<String, Map<Long, Integer>> versions = new TreeMap<>();
        private final List<MachineReport.NodeBehind> behind = new ArrayList<>();

        void add(MachineReport.RegionReport report) {
            nodes += report.nodes();
            current += report.current();
            report.versions()
                    .forEach(count -> versions.computeIfAbsent(count.resource(), name -> new TreeMap<>())
                            .merge(count.version(), count.nodes(), Integer::sum));
            behind.addAll(report.behind());
        }
    }

    private FleetStatus() {}

    /** Formats each machine, then each region with its differing versions and some of its outdated nodes. */
    public static String format(List<ReportExchange.AgedReport> reports) {
        Map<String, Region> regions = new TreeMap<>();
        StringBuilder text = new StringBuilder();
        for (ReportExchange.AgedReport agedReport : reports) {
            MachineReport report = agedReport.report();
            int nodes = report.regions().stream()
                    .mapToInt(MachineReport.RegionReport::nodes)
                    .sum();
            boolean stale = agedReport.ageMs() > STALE_MS;
            appendLine(
                    text,
                    "machine " + report.machine(),
                    String.format(
                            Locale.ROOT,
                            "%d nodes, %s%s",
                            nodes,
                            report.confirmed() ? "confirmed" : "not confirmed by a majority",
                            stale
                                    ? String.format(
                                            Locale.ROOT,
                                            "; last report %.0f s ago, not counted",
                                            agedReport.ageMs() / 1000)
                                    : ""));
            if (!stale) {
                report.regions()
                        .forEach(region -> regions.computeIfAbsent(region.region(), name -> new Region())
                                .add(region));
            }
        }
        regions.forEach((name, region) -> appendRegion(text, name, region));
        return text.toString();
    }

    private static void appendRegion(StringBuilder text, String name, Region region) {
        appendLine(text, "region " + name, region.nodes + " nodes, " + region.current + " act by the newest versions");
        region.versions.forEach((resource, counts) -> {
            if (counts.size() > 1) {
                List<String> parts = new ArrayList<>();
                counts.forEach((version, nodes) -> parts.add(nodes + " at version " + version));
                appendLine(text, "  " + resource, String.join(", ", parts));
            }
        });
        region.behind.forEach(node -> appendLine(
                text,
                "  behind",
                node.node() + ": " + node.resource() + " at version "
                        + node.applied() + ", newest " + node.newest()
                        + (node.reason().isEmpty() ? "" : ", refused: " + node.reason())));
    }

    private static void appendLine(StringBuilder text, String key, String value) {
        text.append(String.format(Locale.ROOT, "%-20s %s%n", key, value));
    }
}

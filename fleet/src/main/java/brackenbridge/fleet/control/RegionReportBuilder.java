package brackenbridge.fleet.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Aggregates the nodes of one region for a machine's report. Not thread-safe. */
final class RegionReportBuilder {
    private final Map<String, Map<Long, Integer>> nodesByVersion = new TreeMap<>();
    private final List<MachineReport.NodeBehind> behind = new ArrayList<>();
    private int nodes;
    private int current;

    /** Adds a node, comparing its subscription with the newest versions in the table. */
    void add(String node, Subscription subscription, ResourceTable table) {
        nodes++;
        List<Subscription.Lag> lags = subscription.behind(table);
        current += lags.isEmpty() ? 1 : 0;
        lags.stream()
                .limit(Math.max(0, MachineReport.MAX_NAMED - behind.size()))
                .forEach(lag -> behind.add(
                        new MachineReport.NodeBehind(node, lag.name(), lag.applied(), lag.newest(), lag.reason())));
        subscription
                .names()
                .forEach(name -> nodesByVersion
                        .computeIfAbsent(name, key -> new TreeMap<>())
                        .merge(subscription.applied(name), 1, Integer::sum));
    }

    /** Builds the report of the added nodes, with at most {@link MachineReport#MAX_VERSIONS} version counts. */
    MachineReport.RegionReport build(String region) {
        List<MachineReport.VersionCount> counts = new ArrayList<>();
        nodesByVersion.forEach((name, byVersion) -> byVersion.forEach((version, count) -> {
            if (counts.size() < MachineReport.MAX_VERSIONS) {
                counts.add(new MachineReport.VersionCount(name, version, count));
            }
        }));
        return new MachineReport.RegionReport(region, nodes, current, counts, behind);
    }
}

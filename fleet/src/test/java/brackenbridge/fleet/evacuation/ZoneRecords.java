package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.PoolModel.PoolReport;
import brackenbridge.fleet.replica.RecordVersion;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Records as the nodes of three zones would write them; in each zone, front servers call parcel servers. */
final class ZoneRecords {
    static final ForecastSettings SETTINGS = ForecastSettings.withDefaults(
            List.of("front", "parcel"),
            Map.of(
                    "view",
                    new ForecastSettings.ClassSettings(8000, true),
                    "file",
                    new ForecastSettings.ClassSettings(7500, false)));
    static final List<String> ZONES = List.of("a", "b", "c");

    /** First attempts per second of each zone, split evenly over its two nodes. */
    final Map<String, Double> firstAttemptRates = new TreeMap<>(Map.of("a", 60.0, "b", 60.0, "c", 60.0));

    final Map<String, Integer> frontServers = new TreeMap<>(Map.of("a", 5, "b", 5, "c", 5));
    final Map<String, Integer> parcelServers = new TreeMap<>(Map.of("a", 4, "b", 4, "c", 4));
    final Map<String, Double> ageMs = new TreeMap<>();
    final Map<String, Double> clockRates = new TreeMap<>();
    private long sequence;

    /** Attempts per second that one front server and one parcel server can serve. */
    static final double FRONT_CAPACITY = 33;

    static final double PARCEL_CAPACITY = 100;
    static final double CALLS_PER_ATTEMPT = 2;

    static Map<String, String> nodes() {
        Map<String, String> zoneByNode = new LinkedHashMap<>();
        for (String zone : ZONES) {
            zoneByNode.put("n-" + zone + "1", zone);
            zoneByNode.put("n-" + zone + "2", zone);
        }
        return zoneByNode;
    }

    List<PoolReport> records() {
        List<PoolReport> reports = new ArrayList<>();
        sequence++;
        nodes().forEach((node, zone) -> {
            double clock = clockRates.getOrDefault(node, 1.0);
            double firstRate = firstAttemptRates.get(zone) / 2 / clock;
            // A small variation from second to second.
            double variation = 1 + 0.03 * Math.sin(sequence * 1.7 + node.hashCode());
            add(reports, node, zone, "front", firstRate * variation, frontServers.get(zone), FRONT_CAPACITY, 26, 90);
            add(
                    reports,
                    node,
                    zone,
                    "parcel",
                    firstRate * variation * CALLS_PER_ATTEMPT,
                    parcelServers.get(zone),
                    PARCEL_CAPACITY,
                    30,
                    21);
        });
        return reports;
    }

    private void add(
            List<PoolReport> reports,
            String node,
            String zone,
            String tier,
            double rate,
            int servers,
            double capacityEach,
            double slots,
            double serviceMs) {
        double utilisation = Math.min(1, rate * 2 * clockRates.getOrDefault(node, 1.0) / (servers * capacityEach));
        for (String className : List.of("view", "file")) {
            double classRate = rate * ("view".equals(className) ? 0.7 : 0.3);
            reports.add(new PoolReport(
                    node,
                    zone,
                    new PoolName(tier, zone, "std"),
                    className,
                    new RecordVersion(1, sequence),
                    new PoolObservation(
                            classRate,
                            classRate,
                            0,
                            servers,
                            slots,
                            classRate * serviceMs / 1000,
                            serviceMs,
                            serviceMs,
                            1,
                            0,
                            1000,
                            utilisation,
                            slots + 6,
                            0.4,
                            6000,
                            1,
                            0),
                    ageMs.getOrDefault(node, 300.0)));
        }
    }

    /** Returns a model that has learnt from this many seconds of records. */
    PoolModel trainedModel(int seconds) {
        PoolModel model = new PoolModel(SETTINGS);
        model.expectNodes(nodes());
        for (int second = 0; second < seconds; second++) {
            model.update(1000.0 * second, 0, records());
        }
        return model;
    }
}

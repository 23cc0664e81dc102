package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.PoolModel.PoolReport;
import brackenbridge.fleet.replica.RecordVersion;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Records as nodes of three zones would write them: front servers that call parcel servers, in each zone. */
final class ZoneRecords {
    static final ForecastSettings SETTINGS = ForecastSettings.withDefaults(
            List.of("front", "parcel"),
            Map.of(
                    "view",
                    new ForecastSettings.ClassSettings(8000, true),
                    "file",
                    new ForecastSettings.ClassSettings(7500, false)));
    static final List<String> ZONES = List.of("a", "b", "c");

    /** First tries a second of each zone, evenly over its two nodes. */
    final Map<String, Double> firstAttemptRates = new TreeMap<>(Map.of("a", 60.0, "b", 60.0, "c", 60.0));

    final Map<String, Integer> frontServers = new TreeMap<>(Map.of("a", 5, "b", 5, "c", 5));
    final Map<String, Integer> parcelServers = new TreeMap<>(Map.of("a", 4, "b", 4, "c", 4));
    final Map<String, Double> ageMs = new TreeMap<>();
    final Map<String, Double> clockRates = new TreeMap<>();
    private long sequence;

    /** Tries a second that a front server and a parcel server can do. */
    static final double FRONT_CAPACITY = 33;

    static final double PARCEL_CAPACITY = 100;
    static final double CALLS_PER_ATTEMPT = 2;

    static Map<String, String> nodes() {
        Map<String, String> all = new LinkedHashMap<>();
        for (String z : ZONES) {
            all.put("n-" + z + "1", z);
            all.put("n-" + z + "2", z);
        }
        return all;
    }

    List<PoolReport> records() {
        List<PoolReport> out = new ArrayList<>();
        sequence++;
        nodes().forEach((node, zone) -> {
            double clock = clockRates.getOrDefault(node, 1.0);
            double first = firstAttemptRates.get(zone) / 2 / clock;
            // Seconds differ a little, as they do.
            double wave = 1 + 0.03 * Math.sin(sequence * 1.7 + node.hashCode());
            add(out, node, zone, "front", first * wave, frontServers.get(zone), FRONT_CAPACITY, 26, 90);
            add(
                    out,
                    node,
                    zone,
                    "parcel",
                    first * wave * CALLS_PER_ATTEMPT,
                    parcelServers.get(zone),
                    PARCEL_CAPACITY,
                    30,
                    21);
        });
        return out;
    }

    private void add(
            List<PoolReport> out,
            String node,
            String zone,
            String tier,
            double rate,
            int servers,
            double each,
            double slots,
            double serviceMs) {
        double u = Math.min(1, rate * 2 * clockRates.getOrDefault(node, 1.0) / (servers * each));
        for (String c : List.of("view", "file")) {
            double mine = rate * ("view".equals(c) ? 0.7 : 0.3);
            out.add(new PoolReport(
                    node,
                    zone,
                    new PoolName(tier, zone, "std"),
                    c,
                    new RecordVersion(1, sequence),
                    new PoolObservation(
                            mine,
                            mine,
                            0,
                            servers,
                            slots,
                            mine * serviceMs / 1000,
                            serviceMs,
                            serviceMs,
                            1,
                            0,
                            1000,
                            u,
                            slots + 6,
                            0.4,
                            6000,
                            1,
                            0),
                    ageMs.getOrDefault(node, 300.0)));
        }
    }

    /** A model that has seen so many seconds of it. */
    PoolModel trainedModel(int seconds) {
        PoolModel m = new PoolModel(SETTINGS);
        m.expectNodes(nodes());
        for (int i = 0; i < seconds; i++) {
            m.update(1000.0 * i, 0, records());
        }
        return m;
    }
}

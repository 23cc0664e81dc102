package brackenbridge.lab.report;

import brackenbridge.lab.experiment.Results;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Two folders of results side by side. Runs of the same place and seed are paired, so that what the seed alone brings
 * cancels out; a difference whose 95% interval leaves 0 out is beyond noise.
 */
public final class Compare {
    private static final String[][] FIGURES = {
        {"served", "worth served", "4"},
        {"worst10s", "worst 10 s", "4"},
        {"priced", "less crossings", "4"},
        {"crossed", "crossed/first", "4"},
        {"latency_ms.p50", "p50 ms", "1"},
        {"latency_ms.p99", "p99 ms", "1"},
        {"latency_ms.p99.9", "p99.9 ms", "1"}
    };

    private Compare() {}

    /** The comparison as text, a line for each figure of each group that both folders have. */
    public static String text(Path a, Path b) throws IOException {
        Map<String, Map<Long, JsonObject>> first = byKey(Results.read(a));
        Map<String, Map<Long, JsonObject>> second = byKey(Results.read(b));
        StringBuilder s = new StringBuilder(String.format(
                Locale.ROOT,
                "%-34s %-14s %12s %12s  %-22s %s%n",
                "mode, policy, servers, nodes, load",
                "figure",
                "first",
                "second",
                "difference",
                "verdict"));
        int compared = 0;
        for (Map.Entry<String, Map<Long, JsonObject>> e : first.entrySet()) {
            Map<Long, JsonObject> other = second.get(e.getKey());
            if (other == null) {
                s.append(String.format(Locale.ROOT, "%-34s only in the first%n", e.getKey()));
                continue;
            }
            compared++;
            for (String[] f : FIGURES) {
                s.append(line(e.getKey(), e.getValue(), other, f));
            }
        }
        for (String key : second.keySet()) {
            if (!first.containsKey(key)) {
                s.append(String.format(Locale.ROOT, "%-34s only in the second%n", key));
            }
        }
        return s.append(compared).append(" groups compared\n").toString();
    }

    private static Map<String, Map<Long, JsonObject>> byKey(List<JsonObject> lines) {
        Map<String, Map<Long, JsonObject>> by = new LinkedHashMap<>();
        for (Group g : Group.of(lines)) {
            Map<Long, JsonObject> seeds = new LinkedHashMap<>();
            g.lines().forEach(l -> seeds.put(l.getLong("seed", 0), l));
            by.put(g.key(), seeds);
        }
        return by;
    }

    private static String line(String key, Map<Long, JsonObject> a, Map<Long, JsonObject> b, String[] figure) {
        List<Double> first = new ArrayList<>();
        List<Double> second = new ArrayList<>();
        List<Double> differences = new ArrayList<>();
        a.forEach((seed, l) -> {
            JsonObject other = b.get(seed);
            if (other != null) {
                double x = Group.figure(l, figure[0]);
                double y = Group.figure(other, figure[0]);
                first.add(x);
                second.add(y);
                differences.add(y - x);
            }
        });
        if (differences.isEmpty()) {
            return String.format(Locale.ROOT, "%-34s %-14s no seed in both%n", key, figure[1]);
        }
        Interval d = Interval.of(differences);
        int decimals = Integer.parseInt(figure[2]);
        boolean better = figure[0].startsWith("latency") || figure[0].equals("crossed") ? d.mean() < 0 : d.mean() > 0;
        String verdict = d.n() < 2
                ? d.mean() == 0 ? "equal" : "one seed: no verdict"
                : d.mean() == 0 ? "equal" : !d.beyondNoise() ? "within noise" : better ? "better" : "WORSE";
        return String.format(
                Locale.ROOT,
                "%-34s %-14s %12s %12s  %-22s %s%n",
                key,
                figure[1],
                String.format(
                        Locale.ROOT, "%." + decimals + "f", Interval.of(first).mean()),
                String.format(
                        Locale.ROOT, "%." + decimals + "f", Interval.of(second).mean()),
                d.text(decimals),
                verdict);
    }
}

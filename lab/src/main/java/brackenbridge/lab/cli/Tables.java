package brackenbridge.lab.cli;

import brackenbridge.lab.experiment.Results;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Tables of results for a terminal. */
final class Tables {
    private Tables() {}

    /** A line for each thing compared, its figures the means over seeds. */
    static String outcomes(Path folder) throws IOException {
        Map<String, List<JsonObject>> groups = new LinkedHashMap<>();
        for (JsonObject line : Results.read(folder)) {
            String key = String.format(
                    Locale.ROOT,
                    "%-18s %7d %6d %7.2f",
                    line.getString("policy", ""),
                    line.getInt("servers", 0),
                    line.getInt("nodes", 0),
                    line.getDouble("load", 0));
            groups.computeIfAbsent(key, k -> new ArrayList<>())
                    .add(line.get("figures").asObject());
        }
        StringBuilder s = new StringBuilder(String.format(
                Locale.ROOT,
                "%-18s %7s %6s %7s %5s %8s %8s %9s %9s %9s " + "%8s %8s%n",
                "policy",
                "servers",
                "nodes",
                "load",
                "runs",
                "worth",
                "worst10s",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "refused",
                "failed"));
        groups.forEach((key, runs) -> s.append(String.format(
                Locale.ROOT,
                "%s %5d %8.4f %8.4f %9.1f %9.1f %9.1f %8.4f %8.4f%n",
                key,
                runs.size(),
                mean(runs, "served"),
                mean(runs, "worst10s"),
                latency(runs, "p50"),
                latency(runs, "p99"),
                latency(runs, "p99.9"),
                ends(runs, "refused"),
                ends(runs, "failed") + ends(runs, "unanswered"))));
        return s.toString();
    }

    /** What became of first tries, by class, over all runs. */
    static String ends(Path folder) throws IOException {
        Map<String, long[]> counts = new LinkedHashMap<>();
        List<String> names = new ArrayList<>();
        for (JsonObject line : Results.read(folder)) {
            for (JsonObject.Member m :
                    line.get("figures").asObject().get("classes").asObject()) {
                JsonObject ends = m.getValue().asObject().get("ends").asObject();
                if (names.isEmpty()) {
                    names.addAll(ends.names());
                }
                long[] of = counts.computeIfAbsent(m.getName(), k -> new long[names.size()]);
                for (int i = 0; i < of.length; i++) {
                    of[i] += ends.getLong(names.get(i), 0);
                }
            }
        }
        StringBuilder s = new StringBuilder(String.format(Locale.ROOT, "%n%-18s", "class"));
        names.forEach(n -> s.append(String.format(Locale.ROOT, "%12s", n)));
        s.append('\n');
        counts.forEach((name, of) -> {
            s.append(String.format(Locale.ROOT, "%-18s", name));
            for (long n : of) {
                s.append(String.format(Locale.ROOT, "%12d", n));
            }
            s.append('\n');
        });
        return s.append('\n').toString();
    }

    private static double mean(List<JsonObject> runs, String name) {
        return runs.stream().mapToDouble(r -> r.getDouble(name, 0)).average().orElse(0);
    }

    private static double latency(List<JsonObject> runs, String name) {
        return runs.stream()
                .mapToDouble(r -> r.get("latency_ms").asObject().getDouble(name, 0))
                .average()
                .orElse(0);
    }

    private static double ends(List<JsonObject> runs, String name) {
        return runs.stream()
                .mapToDouble(r -> r.get("all").asObject().get("ends").asObject().getLong(name, 0)
                        / Math.max(1.0, r.getLong("first", 0)))
                .average()
                .orElse(0);
    }
}

package brackenbridge.lab.report;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs that differ in their seeds alone.
 *
 * @param mode {@code sim} or {@code live}
 * @param policy what decided
 * @param servers servers of the first tier
 * @param nodes its nodes
 * @param load the load
 * @param lines the runs
 */
record Group(String mode, String policy, int servers, int nodes, double load, List<JsonObject> lines) {

    /** The groups of a folder's lines, in their order. */
    static List<Group> of(List<JsonObject> lines) {
        Map<String, Group> groups = new LinkedHashMap<>();
        for (JsonObject l : lines) {
            Group g = new Group(
                    l.getString("mode", "sim"),
                    l.getString("policy", ""),
                    l.getInt("servers", 0),
                    l.getInt("nodes", 0),
                    l.getDouble("load", 0),
                    new ArrayList<>());
            groups.computeIfAbsent(g.key(), k -> g).lines.add(l);
        }
        return new ArrayList<>(groups.values());
    }

    String key() {
        return mode + " " + policy + " " + servers + " " + nodes + " " + load;
    }

    /** The same whatever decided. */
    String place() {
        return servers + " " + load;
    }

    /** A figure of each run by its path, such as {@code latency_ms.p99}. */
    List<Double> figures(String path) {
        List<Double> all = new ArrayList<>();
        for (JsonObject l : lines) {
            all.add(figure(l, path));
        }
        return all;
    }

    Interval interval(String path) {
        return Interval.of(figures(path));
    }

    static double figure(JsonObject line, String path) {
        JsonValue v = line.get("figures");
        for (String part : path.split("\\.(?![0-9])")) {
            v = v == null || !v.isObject() ? null : v.asObject().get(part);
        }
        return v == null ? 0 : v.asDouble();
    }

    /** The part of first tries that ended so. */
    Interval ends(String... names) {
        List<Double> all = new ArrayList<>();
        for (JsonObject l : lines) {
            double sum = 0;
            for (String name : names) {
                sum += figure(l, "all.ends." + name);
            }
            all.add(sum / Math.max(1, figure(l, "first")));
        }
        return Interval.of(all);
    }

    /** The part of the worth served of one class or tenant. */
    Interval part(String of, String name) {
        List<Double> all = new ArrayList<>();
        for (JsonObject l : lines) {
            JsonObject o =
                    l.get("figures").asObject().get(of).asObject().get(name).asObject();
            double worth = o.getDouble("worth", 0);
            all.add(worth > 0 ? o.getDouble("served", 0) / worth : 1);
        }
        return Interval.of(all);
    }

    /** A series by the second, its mean over the runs. */
    double[] seconds(String name) {
        double[] sum = new double[0];
        for (JsonObject l : lines) {
            List<JsonValue> values = l.get("figures")
                    .asObject()
                    .get("seconds")
                    .asObject()
                    .get(name)
                    .asArray()
                    .values();
            if (sum.length == 0) {
                sum = new double[values.size()];
            }
            for (int i = 0; i < Math.min(sum.length, values.size()); i++) {
                sum[i] += values.get(i).asDouble() / lines.size();
            }
        }
        return sum;
    }

    /** The part of the worth served of what was due in each second. */
    double[] servedBySecond() {
        double[] worth = seconds("worth");
        double[] served = seconds("served");
        for (int i = 0; i < worth.length; i++) {
            served[i] = worth[i] > 0 ? served[i] / worth[i] : 1;
        }
        return served;
    }

    /** Rules broken in all runs. */
    long broken() {
        long sum = 0;
        for (JsonObject l : lines) {
            for (JsonObject.Member m : l.get("rules").asObject()) {
                sum += m.getValue().asLong();
            }
        }
        return sum;
    }
}

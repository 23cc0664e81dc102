package brackenbridge.lab.report;

import brackenbridge.lab.experiment.Results;
import brackenbridge.lab.report.Plots.Line;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonObject.Member;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** One self-contained page for a folder of results. */
public final class HtmlReport {
    private static final String STYLE = """
            body{font:15px/1.5 system-ui,sans-serif;max-width:1320px;margin:2em auto;padding:0 1em;color:#222}
            h1{margin-bottom:.1em}h2{margin-top:2em;border-bottom:1px solid #ccc}
            table{border-collapse:collapse;margin:1em 0;font-variant-numeric:tabular-nums}
            th,td{padding:.25em .7em;text-align:right;border-bottom:1px solid #e4e4e4;white-space:nowrap}
            th:first-child,td:first-child{text-align:left}tr.best td{font-weight:600}
            .bad{color:#b00020;font-weight:600}pre{background:#f5f5f5;padding:.8em;overflow-x:auto}
            .wide{overflow-x:auto}svg{max-width:100%;height:auto}
            .plots{display:grid;grid-template-columns:repeat(auto-fill,minmax(620px,1fr));gap:1em}
            """;

    private final List<Group> groups;
    private final List<JsonObject> lines;
    private final StringBuilder page = new StringBuilder();

    private HtmlReport(List<JsonObject> lines) {
        this.lines = lines;
        this.groups = Group.of(lines);
    }

    /** Writes {@code report.html} into the folder, and says where it is. */
    public static Path write(Path folder) throws IOException {
        List<JsonObject> lines = Results.read(folder);
        if (lines.isEmpty()) {
            throw new IOException(folder + " holds no finished run");
        }
        Path page = folder.resolve("report.html");
        Files.writeString(page, new HtmlReport(lines).page(folder));
        return page;
    }

    private String page(Path folder) throws IOException {
        String name = lines.get(0).getString("experiment", "");
        page.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(name))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>")
                .append(escape(name))
                .append("</h1>");
        Path file = folder.resolve("experiment.toml");
        String toml = Files.exists(file) ? Files.readString(file) : "";
        for (String l : toml.lines().toList()) {
            if (l.startsWith("about = ")) {
                page.append("<p>")
                        .append(escape(l.substring(8).replaceAll("^\"|\"$", "")))
                        .append("</p>");
            }
        }
        summary();
        outcomes();
        parts("classes", "Worth served by class");
        parts("tenants", "Worth served by tenant");
        overTime();
        overLoadAndSize();
        recovery(toml);
        rules(folder);
        commands(name);
        if (!toml.isEmpty()) {
            page.append("<h2>The experiment</h2><pre>").append(escape(toml)).append("</pre>");
        }
        return page.append("</body></html>\n").toString();
    }

    private void summary() {
        long broken = groups.stream().mapToLong(Group::broken).sum();
        long checked = lines.stream().mapToLong(l -> l.getLong("checked", 0)).sum();
        page.append(String.format(
                Locale.ROOT,
                "<p>%d runs, %,d requests held against the rules, %s.</p>",
                lines.size(),
                checked,
                broken == 0 ? "no rule broken" : "<span class=\"bad\">rules broken " + broken + " times</span>"));
        if (lines.stream().anyMatch(l -> l.getBoolean("overrun", false))) {
            page.append("<p class=\"bad\">In some runs more requests were due than the load tool could send; their "
                    + "figures describe the tool as much as the node.</p>");
        }
    }

    private void table(List<String> head, List<List<String>> rows, Set<Integer> best) {
        page.append("<div class=\"wide\"><table><tr>");
        head.forEach(h -> page.append("<th>").append(escape(h)).append("</th>"));
        page.append("</tr>");
        for (int i = 0; i < rows.size(); i++) {
            page.append(best.contains(i) ? "<tr class=\"best\">" : "<tr>");
            rows.get(i).forEach(c -> page.append("<td>").append(escape(c)).append("</td>"));
            page.append("</tr>");
        }
        page.append("</table></div>");
    }

    private static String label(Group g) {
        return g.policy() + (g.mode().equals("live") ? " (live)" : "");
    }

    private void outcomes() {
        page.append("<h2>Outcomes</h2><p>Means over seeds with 95% confidence intervals; the most worth at each size "
                + "and load is bold, the oracle aside.</p>");
        List<List<String>> rows = new ArrayList<>();
        Map<String, Integer> bestAt = new LinkedHashMap<>();
        Map<String, Double> most = new LinkedHashMap<>();
        for (int i = 0; i < groups.size(); i++) {
            Group g = groups.get(i);
            Interval served = g.interval("served");
            rows.add(List.of(
                    label(g),
                    Integer.toString(g.servers()),
                    Integer.toString(g.nodes()),
                    String.format(Locale.ROOT, "%.2f", g.load()),
                    Integer.toString(g.lines().size()),
                    served.text(4),
                    g.interval("worst10s").text(3),
                    g.interval("crossed").text(3),
                    g.interval("latency_ms.p50").text(1),
                    g.interval("latency_ms.p99").text(1),
                    g.interval("latency_ms.p99.9").text(1),
                    g.ends("refused").text(4),
                    g.ends("failed", "unanswered").text(4)));
            if (!g.policy().equals("oracle") && served.mean() > most.getOrDefault(g.place(), -1.0)) {
                most.put(g.place(), served.mean());
                bestAt.put(g.place(), i);
            }
        }
        table(
                List.of(
                        "decided by",
                        "servers",
                        "nodes",
                        "load",
                        "runs",
                        "worth served",
                        "worst 10 s",
                        "zones changed a first try",
                        "p50 ms",
                        "p99 ms",
                        "p99.9 ms",
                        "refused",
                        "failed"),
                rows,
                Set.copyOf(bestAt.values()));
    }

    private void parts(String of, String title) {
        Set<String> names = new LinkedHashSet<>();
        for (Member m : lines.get(0).get("figures").asObject().get(of).asObject()) {
            names.add(m.getName());
        }
        if (names.isEmpty()) {
            return;
        }
        page.append("<h2>").append(title).append("</h2>");
        List<String> head = new ArrayList<>(List.of("decided by", "servers", "load"));
        head.addAll(names);
        List<List<String>> rows = new ArrayList<>();
        for (Group g : groups) {
            List<String> row = new ArrayList<>(
                    List.of(label(g), Integer.toString(g.servers()), String.format(Locale.ROOT, "%.2f", g.load())));
            names.forEach(n -> row.add(g.part(of, n).text(3)));
            rows.add(row);
        }
        table(head, rows, Set.of());
    }

    private void overTime() {
        Map<String, List<Group>> places = new LinkedHashMap<>();
        groups.forEach(
                g -> places.computeIfAbsent(g.place(), k -> new ArrayList<>()).add(g));
        page.append("<h2>Over time</h2>");
        page.append("<div class=\"plots\">");
        int shown = 0;
        for (List<Group> at : places.values()) {
            // A page with every size and load would be too long to read: the first and the last tell the story.
            if (shown++ > 0 && shown < places.size()) {
                continue;
            }
            Group first = at.get(0);
            String where = places.size() == 1
                    ? ""
                    : String.format(Locale.ROOT, ", %d servers, load %.2f", first.servers(), first.load());
            series("Worth served" + where, "part of what was due", at, Group::servedBySecond, false);
            series("Median latency" + where, "ms", at, g -> g.seconds("p50_ms"), true);
            series("99th percentile of latency" + where, "ms", at, g -> g.seconds("p99_ms"), true);
            series("Load of the fullest server" + where, "requests a core", at, g -> g.seconds("load_most"), false);
            series(
                    "Spread of load over servers" + where,
                    "standard deviation / mean",
                    at,
                    g -> g.seconds("load_cv"),
                    false);
        }
        page.append("</div>");
    }

    private interface Series {
        double[] of(Group g);
    }

    private void series(String title, String unit, List<Group> at, Series series, boolean log) {
        Map<String, Line> plotted = new LinkedHashMap<>();
        for (Group g : at) {
            double[] y = series.of(g);
            double[] x = new double[y.length];
            for (int i = 0; i < x.length; i++) {
                x[i] = i;
            }
            plotted.put(label(g), new Line(x, y));
        }
        page.append(Plots.lines(title, "s", unit, plotted, false, log));
    }

    private void overLoadAndSize() {
        over("load", Group::load, Group::servers, "servers", false);
        over("servers", g -> (double) g.servers(), g -> (int) Math.round(g.load() * 100), "load in %", true);
    }

    private interface Place {
        double of(Group g);
    }

    private void over(
            String name, Place x, java.util.function.ToIntFunction<Group> fixed, String fixedName, boolean log) {
        Map<Integer, Map<String, TreeMap<Double, Group>>> by = new TreeMap<>();
        for (Group g : groups) {
            by.computeIfAbsent(fixed.applyAsInt(g), k -> new LinkedHashMap<>())
                    .computeIfAbsent(label(g), k -> new TreeMap<>())
                    .put(x.of(g), g);
        }
        by.forEach((at, policies) -> {
            if (policies.values().stream().mapToInt(TreeMap::size).max().orElse(0) < 2) {
                return;
            }
            page.append("<h2>Over ")
                    .append(name)
                    .append(by.size() == 1 ? "" : ", " + fixedName + " " + at)
                    .append("</h2><div class=\"plots\">");
            for (String[] f : new String[][] {
                {"served", "Worth served", "part"},
                {"latency_ms.p50", "Median latency", "ms"},
                {"latency_ms.p99", "99th percentile of latency", "ms"}
            }) {
                Map<String, Line> plotted = new LinkedHashMap<>();
                policies.forEach((policy, points) -> plotted.put(
                        policy,
                        new Line(
                                points.keySet().stream()
                                        .mapToDouble(Double::doubleValue)
                                        .toArray(),
                                points.values().stream()
                                        .mapToDouble(g -> g.interval(f[0]).mean())
                                        .toArray())));
                page.append(Plots.lines(f[1] + " over " + name, name, f[2], plotted, log, f[2].equals("ms")));
            }
            page.append("</div>");
        });
    }

    /** How soon after a trouble began the worth served came back to what it was before. */
    private void recovery(String toml) {
        List<double[]> troubles = troubles(toml);
        if (troubles.isEmpty()) {
            return;
        }
        page.append("<h2>Recovery</h2><p>The worth served in the five seconds before the first trouble, in the worst "
                + "second after it began, and the time from its beginning until three seconds together reached 98% of "
                + "what was served before.</p>");
        int from = (int) troubles.get(0)[0];
        List<List<String>> rows = new ArrayList<>();
        for (Group g : groups) {
            double[] served = g.servedBySecond();
            double before = 0;
            for (int i = Math.max(0, from - 5); i < from; i++) {
                before += served[i] / Math.min(5, from);
            }
            double worst = 1;
            int back = -1;
            int sunk = -1;
            for (int i = from; i < served.length; i++) {
                worst = Math.min(worst, served[i]);
                if (served[i] < 0.98 * before) {
                    sunk = i;
                    back = -1;
                } else if (sunk >= 0 && back < 0 && i - sunk >= 3) {
                    back = sunk + 1;
                }
            }
            rows.add(List.of(
                    label(g),
                    Integer.toString(g.servers()),
                    String.format(Locale.ROOT, "%.2f", g.load()),
                    String.format(Locale.ROOT, "%.3f", before),
                    String.format(Locale.ROOT, "%.3f", worst),
                    sunk < 0 ? "never sank" : back < 0 ? "not in the run" : (back - from) + " s"));
        }
        table(List.of("decided by", "servers", "load", "before", "worst second", "back after"), rows, Set.of());
    }

    private static List<double[]> troubles(String toml) {
        List<double[]> found = new ArrayList<>();
        boolean in = false;
        for (String l : toml.lines().toList()) {
            if (l.startsWith("[")) {
                in = l.startsWith("[[trouble]]");
            }
            var m = java.util.regex.Pattern.compile("at = \"([0-9.]+)s\".*").matcher(l.strip());
            if (in && m.matches()) {
                found.add(new double[] {Double.parseDouble(m.group(1))});
            }
        }
        Collections.sort(found, (a, b) -> Double.compare(a[0], b[0]));
        return found;
    }

    private void rules(Path folder) throws IOException {
        page.append("<h2>Rules</h2>");
        Path breaches = folder.resolve("breaches.txt");
        if (!Files.exists(breaches)) {
            page.append("<p>None broken.</p>");
            return;
        }
        String text = Files.readString(breaches);
        page.append("<pre>")
                .append(escape(text.length() > 20_000 ? text.substring(0, 20_000) + "\n..." : text))
                .append("</pre>");
    }

    private void commands(String name) {
        page.append("<h2>To repeat it</h2><pre>");
        String mode = lines.get(0).getString("mode", "sim");
        page.append("bin/brackenbridge lab ")
                .append(mode)
                .append(" experiment.toml --out ")
                .append(escape(name))
                .append("\n\n# one run alone, with the same figures\n");
        Set<String> each = new LinkedHashSet<>();
        lines.forEach(l -> each.add("bin/brackenbridge lab " + mode + " experiment.toml --out one"
                + (mode.equals("sim") ? " --policy " + l.getString("policy", "").split("/")[0] : "") + " --seed "
                + l.getLong("seed", 0)));
        each.stream().limit(40).forEach(c -> page.append(escape(c)).append('\n'));
        page.append("</pre>");
    }

    private static String escape(String s) {
        return s.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}

package brackenbridge.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** How measured costs grow with the number of nodes: a straight line by least squares for each, and a plot. */
public final class Slopes {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 600;
    private static final Map<String, ToDoubleFunction<ScaleOutcome>> COSTS = costs();

    private Slopes() {}

    private static Map<String, ToDoubleFunction<ScaleOutcome>> costs() {
        Map<String, ToDoubleFunction<ScaleOutcome>> costs = new LinkedHashMap<>();
        costs.put("a node, % of a core at rest", outcome -> outcome.rest().nodeCorePercent());
        costs.put("a node, % of a core with changes", outcome -> outcome.busy().nodeCorePercent());
        costs.put("a node, KB/s with changes", outcome -> outcome.busy().nodeKbPerSecond());
        costs.put(
                "busiest machine, % of a core at rest",
                outcome -> outcome.rest().mostMachineCorePercent());
        costs.put(
                "busiest machine, % of a core with changes",
                outcome -> outcome.busy().mostMachineCorePercent());
        costs.put(
                "all machines to nodes, KB/s with changes",
                outcome -> outcome.busy().machines().stream()
                        .mapToDouble(ScaleOutcome.MachineCost::toNodesKbPerSecond)
                        .sum());
        costs.put(
                "a machine to machines, KB/s with changes",
                outcome -> outcome.busy().machines().stream()
                        .mapToDouble(ScaleOutcome.MachineCost::meshKbPerSecond)
                        .average()
                        .orElse(0));
        costs.put(
                "largest machine, MB",
                outcome -> outcome.busy().machines().stream()
                        .mapToDouble(ScaleOutcome.MachineCost::memoryMb)
                        .max()
                        .orElse(0));
        costs.put(
                "a machine, threads",
                outcome -> outcome.busy().machines().stream()
                        .mapToDouble(ScaleOutcome.MachineCost::threads)
                        .max()
                        .orElse(0));
        costs.put(
                "a change at the last node, ms, p99",
                outcome -> ScaleFigures.Result.quantile(outcome.result().last(), 0.99));
        return costs;
    }

    /** The table of fits; also written to {@code slopes.md} in the folder, with a plot beside it. */
    public static String write(List<ScaleOutcome> outcomes, Path folder) throws IOException {
        StringBuilder text = new StringBuilder(
                "| cost | measured | straight line | largest residual |\n" + "| --- | --- | --- | --- |\n");
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Costs by nodes, each by its largest")
                .xAxisTitle("nodes")
                .yAxisTitle("part of the largest")
                .build();
        double[] nodes =
                outcomes.stream().mapToDouble(outcome -> outcome.plan().nodes()).toArray();
        COSTS.forEach((name, cost) -> {
            double[] values = outcomes.stream().mapToDouble(cost).toArray();
            text.append(row(name, nodes, values));
            double most = Math.max(1e-9, java.util.Arrays.stream(values).max().orElse(1));
            chart.addSeries(
                    name,
                    nodes,
                    java.util.Arrays.stream(values).map(value -> value / most).toArray());
        });
        Files.writeString(folder.resolve("slopes.md"), text);
        BitmapEncoder.saveBitmap(chart, folder.resolve("slopes.png").toString(), BitmapEncoder.BitmapFormat.PNG);
        return text.toString();
    }

    private static String row(String name, double[] nodes, double[] values) {
        SimpleRegression line = new SimpleRegression();
        StringBuilder measured = new StringBuilder();
        for (int i = 0; i < nodes.length; i++) {
            line.addData(nodes[i], values[i]);
            measured.append(i == 0 ? "" : ", ").append(String.format(Locale.ROOT, "%.0f: %.3g", nodes[i], values[i]));
        }
        double residual = 0;
        for (int i = 0; i < nodes.length; i++) {
            residual = Math.max(residual, Math.abs(values[i] - line.predict(nodes[i])));
        }
        return nodes.length < 2
                ? String.format(Locale.ROOT, "| %s | %s | | |%n", name, measured)
                : String.format(
                        Locale.ROOT,
                        "| %s | %s | %.3g + %.3g x nodes | %.3g |%n",
                        name,
                        measured,
                        line.getIntercept(),
                        line.getSlope(),
                        residual);
    }
}

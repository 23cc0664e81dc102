package brackenbridge.lab.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Line plots as SVG. */
final class Plots {
    private static final int WIDTH = 760;
    private static final int HEIGHT = 340;
    /** Okabe and Ito's colours, which the colour-blind can tell apart. */
    private static final Color[] COLOURS = {
        new Color(0xD55E00),
        new Color(0x0072B2),
        new Color(0x009E73),
        new Color(0xCC79A7),
        new Color(0x56B4E9),
        new Color(0xE69F00),
        new Color(0x999999),
        Color.BLACK
    };

    /**
     * A line.
     *
     * @param x places
     * @param y values
     */
    record Line(double[] x, double[] y) {}

    private Plots() {}

    /** A plot of lines by name; SVG text, to stand inside a page. */
    static String lines(String title, String x, String y, Map<String, Line> lines, boolean logX, boolean mayLogY) {
        boolean logY = mayLogY && spansDecades(lines);
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setPlotBorderVisible(false);
        chart.getStyler().setLegendBorderColor(Color.WHITE);
        chart.getStyler().setChartTitleFont(new Font(Font.SANS_SERIF, Font.BOLD, 14));
        chart.getStyler().setLegendFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
        chart.getStyler().setAxisTitleFont(new Font(Font.SANS_SERIF, Font.PLAIN, 12));
        chart.getStyler().setAxisTickLabelsFont(new Font(Font.SANS_SERIF, Font.PLAIN, 11));
        chart.getStyler().setXAxisLogarithmic(logX);
        chart.getStyler().setYAxisLogarithmic(logY);
        chart.getStyler().setMarkerSize(5);
        int colour = 0;
        for (Map.Entry<String, Line> e : shown(lines, logX, logY).entrySet()) {
            XYSeries s =
                    chart.addSeries(e.getKey(), e.getValue().x(), e.getValue().y());
            s.setLineColor(COLOURS[colour % COLOURS.length]);
            s.setMarkerColor(COLOURS[colour % COLOURS.length]);
            s.setLineStyle(new BasicStroke(colour == 0 ? 2.4f : 1.3f));
            s.setMarker(e.getValue().x().length > 20 ? SeriesMarkers.NONE : SeriesMarkers.CIRCLE);
            colour++;
        }
        if (chart.getSeriesMap().isEmpty()) {
            return "<p>" + title + ": nothing to plot.</p>";
        }
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
            String svg = out.toString(StandardCharsets.UTF_8);
            return svg.substring(Math.max(0, svg.indexOf("<svg")));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** A logarithm of less than two decades has too few marks to be read. */
    private static boolean spansDecades(Map<String, Line> lines) {
        double least = Double.POSITIVE_INFINITY;
        double most = 0;
        for (Line l : lines.values()) {
            for (double y : l.y()) {
                if (y > 0) {
                    least = Math.min(least, y);
                    most = Math.max(most, y);
                }
            }
        }
        return most > 100 * least;
    }

    /** What a logarithm can't show is left out. */
    private static Map<String, Line> shown(Map<String, Line> lines, boolean logX, boolean logY) {
        Map<String, Line> shown = new LinkedHashMap<>();
        lines.forEach((name, line) -> {
            int n = 0;
            double[] x = new double[line.x().length];
            double[] y = new double[x.length];
            for (int i = 0; i < x.length; i++) {
                if ((!logX || line.x()[i] > 0) && (!logY || line.y()[i] > 0) && Double.isFinite(line.y()[i])) {
                    x[n] = line.x()[i];
                    y[n++] = line.y()[i];
                }
            }
            if (n > 0) {
                shown.put(name, new Line(java.util.Arrays.copyOf(x, n), java.util.Arrays.copyOf(y, n)));
            }
        });
        return shown;
    }
}

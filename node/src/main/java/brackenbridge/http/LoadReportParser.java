package brackenbridge.http;

import brackenbridge.core.balancing.LoadReport;

/** Reads the load report of a server: {@code name=value} pairs set apart by commas. */
public final class LoadReportParser {
    private LoadReportParser() {}

    /** The report with the fields that came and were numbers, NaN for the others; null if none did. */
    public static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        double[] values = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        boolean any = false;
        for (String pair : text.strip().split(",")) {
            int eq = pair.indexOf('=');
            int which = eq < 0 ? -1 : field(pair.substring(0, eq).strip());
            if (which >= 0) {
                try {
                    double value = Double.parseDouble(pair.substring(eq + 1).strip());
                    if (Double.isFinite(value) && value >= 0) {
                        values[which] = value;
                        any = true;
                    }
                } catch (NumberFormatException e) {
                    // As good as absent: one broken value must not cost the others.
                    continue;
                }
            }
        }
        return any ? new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]) : null;
    }

    /** Each value has the servers' own name and the one that the settings use. */
    private static int field(String name) {
        return switch (name) {
            case "inflight", "concurrent" -> 0;
            case "queue", "depth" -> 1;
            case "util", "load_share" -> 2;
            case "latency_ms", "mean_ms" -> 3;
            case "qps", "tps" -> 4;
            case "eps", "err_ps" -> 5;
            default -> -1;
        };
    }
}

package brackenbridge.http;

import brackenbridge.core.balancing.LoadReport;

/** Parses the load report of a server: {@code name=value} pairs separated by commas. */
public final class LoadReportParser {
    private LoadReportParser() {}

    /** Returns the report, with NaN for each value that is absent or invalid; null if all are. */
    public static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        double[] values = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        boolean any = false;
        for (String pair : text.strip().split(",")) {
            int equals = pair.indexOf('=');
            int index = equals < 0 ? -1 : fieldIndex(pair.substring(0, equals).strip());
            if (index >= 0) {
                try {
                    double value = Double.parseDouble(pair.substring(equals + 1).strip());
                    if (Double.isFinite(value) && value >= 0) {
                        values[index] = value;
                        any = true;
                    }
                } catch (NumberFormatException e) {
                    // Counts as absent, so that one malformed value does not discard the others.
                    continue;
                }
            }
        }
        return any ? new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]) : null;
    }

    /** Returns the index of a value in the report; servers and settings use different names for the same value. */
    private static int fieldIndex(String name) {
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

package brackenbridge.wire;

import brackenbridge.config.SettingsParser;
import brackenbridge.core.balancing.AttemptOutcome;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.LoadReport;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Reads the structured fields of messages: outcomes, load reports and settings. */
final class WireFields {
    /** Indexed by the number on the wire, which starts at 1. */
    private static final AttemptOutcome[] OUTCOMES = {
        AttemptOutcome.OK,
        AttemptOutcome.ERROR,
        AttemptOutcome.FULL,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.RESET,
        AttemptOutcome.CANCELLED,
        AttemptOutcome.NEVER_STARTED
    };

    private static final int LOAD_REPORT_FIELDS = 6;
    private static final int UNKNOWN_FIELD = -1;

    private WireFields() {}

    /** Reads the outcome of an attempt or of a health check. */
    static AttemptOutcome readOutcome(WireReader reader) {
        long code = reader.readNumber("result");
        if (code < 1 || code > OUTCOMES.length) {
            throw reader.error("result", "unknown: " + code);
        }
        return OUTCOMES[(int) code - 1];
    }

    /** Reads the rest of a message as a server's load report; null if there is none. */
    static LoadReport readLoadReport(WireReader reader) {
        String pairs = reader.readOptionalText("pressure");
        reader.requireEndOfMessage();
        if (pairs == null) {
            return null;
        }
        double[] figures = new double[LOAD_REPORT_FIELDS];
        Arrays.fill(figures, Double.NaN);
        int pairStart = 0;
        while (pairStart < pairs.length()) {
            int comma = pairs.indexOf(',', pairStart);
            int pairEnd = comma < 0 ? pairs.length() : comma;
            readLoadReportField(reader, pairs.substring(pairStart, pairEnd), figures);
            pairStart = pairEnd + 1;
        }
        return new LoadReport(figures[0], figures[1], figures[2], figures[3], figures[4], figures[5]);
    }

    private static void readLoadReportField(WireReader reader, String pair, double[] figures) {
        int colon = pair.indexOf(':');
        if (colon < 0) {
            throw reader.error("pressure", "not a pair: '" + pair + "'");
        }
        int figure = fieldIndex(pair.substring(0, colon));
        if (figure == UNKNOWN_FIELD) {
            return;
        }
        String value = pair.substring(colon + 1);
        try {
            figures[figure] = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw reader.error("pressure", "not a number: '" + value + "'");
        }
    }

    /** Returns the index of a field among the components of {@link LoadReport}. */
    private static int fieldIndex(String name) {
        return switch (name) {
            case "concurrent" -> 0;
            case "depth" -> 1;
            case "load_share" -> 2;
            case "mean_ms" -> 3;
            case "tps" -> 4;
            case "err_ps" -> 5;
            default -> UNKNOWN_FIELD;
        };
    }

    /** Reads the rest of a message as the settings of an instance, in fields {@code path=value}. */
    static BalancerSettings readSettings(WireReader reader, long seed) {
        Map<String, String> pairs = new HashMap<>();
        while (reader.hasMoreFields()) {
            String pair = reader.readText("setup");
            int equalsSign = pair.indexOf('=');
            if (equalsSign >= 0) {
                pairs.put(pair.substring(0, equalsSign), pair.substring(equalsSign + 1));
            } else if (!pair.isEmpty() && !pair.equals("-")) {
                throw reader.error("setup", "not a pair: '" + pair + "'");
            }
        }
        try {
            return new SettingsParser(pairs).parse(seed);
        } catch (IllegalArgumentException e) {
            throw reader.error("setup", e.getMessage());
        }
    }
}

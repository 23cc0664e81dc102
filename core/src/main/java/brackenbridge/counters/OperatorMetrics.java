package brackenbridge.counters;

import java.util.Collection;
import java.util.TreeSet;

/** Words the counters as the figures that the operators' staff fetch, one a line: {@code proxy.NAME:VALUE|c}. */
public final class OperatorMetrics {
    /** What the figures tell beside the counters; how long discovery has been silent, in milliseconds. */
    public record Gauges(int active, int poolSize, int poolEjected, double silentMs) {}

    private OperatorMetrics() {}

    /** The figures by now; a class that has asked for nothing yet is told with zeros. */
    public static String lines(Counters counters, Collection<String> classes, Gauges gauges) {
        TreeSet<String> named = new TreeSet<>(classes);
        counters.classes().forEach(named::add);
        StringBuilder text = new StringBuilder(512);
        for (String c : named) {
            line(text, "ok." + c, counters.of(Counter.ANSWERED_SERVED, c), 'c');
            line(text, "shed." + c, counters.of(Counter.ANSWERED_REJECTED, c), 'c');
            line(
                    text,
                    "errors." + c,
                    counters.of(Counter.ANSWERED_FAILED, c) + counters.of(Counter.ANSWERED_INVALID_REQUEST, c),
                    'c');
        }
        line(text, "tries", counters.of(Counter.ATTEMPTS_WRITTEN), 'c');
        line(text, "active", gauges.active(), 'g');
        line(text, "pool_size", gauges.poolSize(), 'g');
        line(text, "pool_ejected", gauges.poolEjected(), 'g');
        // Staff see a lost list by it: it stays below some 3,000 while discovery is there. -1: it never spoke.
        line(text, "discovery_silent_ms", Double.isInfinite(gauges.silentMs()) ? -1 : (long) gauges.silentMs(), 'g');
        line(text, "config_applied", counters.of(Counter.RECONFIGURED), 'c');
        line(text, "config_rejected", counters.of(Counter.RECONFIGURE_FAILED), 'c');
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value, char type) {
        text.append("proxy.")
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(type)
                .append('\n');
    }
}

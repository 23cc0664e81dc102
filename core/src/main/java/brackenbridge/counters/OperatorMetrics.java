package brackenbridge.counters;

import java.util.Collection;
import java.util.TreeSet;

/** Formats the counters as metrics for operators, one per line: {@code proxy.NAME:VALUE|c}. */
public final class OperatorMetrics {
    /** The gauges; {@code silentMs} is the time since the last message from discovery. */
    public record Gauges(int active, int poolSize, int poolEjected, double silentMs) {}

    private OperatorMetrics() {}

    /** Formats the current metrics; a class without requests so far is listed with zeros. */
    public static String format(Counters counters, Collection<String> classes, Gauges gauges) {
        TreeSet<String> classNames = new TreeSet<>(classes);
        counters.classNames().forEach(classNames::add);
        StringBuilder text = new StringBuilder(512);
        for (String className : classNames) {
            appendMetric(text, "ok." + className, counters.get(Counter.ANSWERED_SERVED, className), 'c');
            appendMetric(text, "shed." + className, counters.get(Counter.ANSWERED_REJECTED, className), 'c');
            appendMetric(
                    text,
                    "errors." + className,
                    counters.get(Counter.ANSWERED_FAILED, className)
                            + counters.get(Counter.ANSWERED_INVALID_REQUEST, className),
                    'c');
        }
        appendMetric(text, "tries", counters.get(Counter.ATTEMPTS_WRITTEN), 'c');
        appendMetric(text, "active", gauges.active(), 'g');
        appendMetric(text, "pool_size", gauges.poolSize(), 'g');
        appendMetric(text, "pool_ejected", gauges.poolEjected(), 'g');
        // Shows operators that discovery is unavailable; the value usually stays below about 3,000. -1 means no message
        // so far.
        appendMetric(
                text, "discovery_silent_ms", Double.isInfinite(gauges.silentMs()) ? -1 : (long) gauges.silentMs(), 'g');
        appendMetric(text, "config_applied", counters.get(Counter.RECONFIGURED), 'c');
        appendMetric(text, "config_rejected", counters.get(Counter.RECONFIGURE_FAILED), 'c');
        return text.toString();
    }

    private static void appendMetric(StringBuilder text, String name, long value, char type) {
        text.append("proxy.")
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(type)
                .append('\n');
    }
}

package brackenbridge.counters;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** The values of all counters, in total and by request class. To be used on the event loop only. */
public final class Counters {

    private final EnumMap<Counter, Long> counts = new EnumMap<>(Counter.class);
    private final Map<String, EnumMap<Counter, Long>> byClass = new TreeMap<>();
    private final EnumMap<RejectionReason.Port, EnumMap<RejectionReason, Long>> rejections =
            new EnumMap<>(RejectionReason.Port.class);

    /** Increments a counter. */
    public void count(Counter counter) {
        counts.merge(counter, 1L, Long::sum);
    }

    /** Counts one rejected input or closed connection at a port. */
    public void countRejection(RejectionReason.Port port, RejectionReason reason) {
        rejections
                .computeIfAbsent(port, key -> new EnumMap<>(RejectionReason.class))
                .merge(reason, 1L, Long::sum);
    }

    /**
     * Increments a counter, in total and for a request class. A class keeps its counts when it is removed from the
     * settings.
     */
    public void count(Counter counter, String className) {
        count(counter);
        byClass.computeIfAbsent(className, key -> new EnumMap<>(Counter.class)).merge(counter, 1L, Long::sum);
    }

    /** Counts a request of a class that is no longer served; requests of classes that never were are not counted. */
    public void countRemovedClass(String className) {
        if (byClass.containsKey(className)) {
            count(Counter.REQUESTS_RECEIVED, className);
            count(Counter.ANSWERED_INVALID_REQUEST, className);
        }
    }

    /** Returns the value of a counter for one request class. */
    public long get(Counter counter, String className) {
        Map<Counter, Long> counted = byClass.get(className);
        return counted == null ? 0 : counted.getOrDefault(counter, 0L);
    }

    /** Returns the request classes that have counts. */
    public Iterable<String> classNames() {
        return byClass.keySet();
    }

    /** Returns the total value of a counter. */
    public long get(Counter counter) {
        return counts.getOrDefault(counter, 0L);
    }

    /**
     * Formats one line per counter in order of declaration, including zeros, then one line per rejection reason that
     * occurred.
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        for (Counter counter : Counter.values()) {
            text.append(counter.key()).append(' ').append(get(counter)).append('\n');
        }
        rejections.forEach((port, reasons) -> reasons.forEach((reason, count) -> text.append(rejectionKey(port, reason))
                .append(' ')
                .append(count)
                .append('\n')));
        return text.toString();
    }

    /** Formats all counters above zero on one line. */
    public String toLine() {
        StringBuilder line = new StringBuilder();
        for (Map.Entry<Counter, Long> entry : counts.entrySet()) {
            line.append(line.isEmpty() ? "" : " ")
                    .append(entry.getKey().key())
                    .append('=')
                    .append(entry.getValue());
        }
        rejections.forEach((port, reasons) -> reasons.forEach((reason, count) -> line.append(line.isEmpty() ? "" : " ")
                .append(rejectionKey(port, reason))
                .append('=')
                .append(count)));
        return line.toString();
    }

    private static String rejectionKey(RejectionReason.Port port, RejectionReason reason) {
        return "refused_" + port.key() + "_" + reason.key();
    }
}

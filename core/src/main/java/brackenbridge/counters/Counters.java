package brackenbridge.counters;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** The values of all counters, in all and by request class. Only the thread of the event loop uses them. */
public final class Counters {

    private final EnumMap<Counter, Long> counts = new EnumMap<>(Counter.class);
    private final Map<String, EnumMap<Counter, Long>> byClass = new TreeMap<>();
    private final EnumMap<RejectionReason.Port, EnumMap<RejectionReason, Long>> refused =
            new EnumMap<>(RejectionReason.Port.class);

    /** Counts one. */
    public void count(Counter counter) {
        counts.merge(counter, 1L, Long::sum);
    }

    /** Counts one refusal, or one close, at a port. */
    public void countRejection(RejectionReason.Port port, RejectionReason why) {
        refused.computeIfAbsent(port, p -> new EnumMap<>(RejectionReason.class)).merge(why, 1L, Long::sum);
    }

    /** Counts one of a class of request. The class keeps its counts when it is dropped from the settings. */
    public void count(Counter counter, String className) {
        count(counter);
        byClass.computeIfAbsent(className, n -> new EnumMap<>(Counter.class)).merge(counter, 1L, Long::sum);
    }

    /** Counts a request of a class that is served no more; of one that never was, nothing is kept. */
    public void countDropped(String className) {
        if (byClass.containsKey(className)) {
            count(Counter.REQUESTS_RECEIVED, className);
            count(Counter.ANSWERED_INVALID_REQUEST, className);
        }
    }

    /** The count so far of one class. */
    public long of(Counter counter, String className) {
        Map<Counter, Long> counted = byClass.get(className);
        return counted == null ? 0 : counted.getOrDefault(counter, 0L);
    }

    /** The classes of which something was counted. */
    public Iterable<String> classes() {
        return byClass.keySet();
    }

    /** The count so far. */
    public long of(Counter counter) {
        return counts.getOrDefault(counter, 0L);
    }

    /** One line a counter, in the order of their declaration, those at zero included; and one a reason of refusals. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Counter counter : Counter.values()) {
            text.append(counter.key()).append(' ').append(of(counter)).append('\n');
        }
        refused.forEach((port, reasons) -> reasons.forEach((why, count) ->
                text.append(name(port, why)).append(' ').append(count).append('\n')));
        return text.toString();
    }

    /** All that are above zero, on one line. */
    public String line() {
        StringBuilder line = new StringBuilder();
        for (Map.Entry<Counter, Long> e : counts.entrySet()) {
            line.append(line.isEmpty() ? "" : " ")
                    .append(e.getKey().key())
                    .append('=')
                    .append(e.getValue());
        }
        refused.forEach((port, reasons) -> reasons.forEach((why, count) -> line.append(line.isEmpty() ? "" : " ")
                .append(name(port, why))
                .append('=')
                .append(count)));
        return line.toString();
    }

    private static String name(RejectionReason.Port port, RejectionReason why) {
        return "refused_" + port.key() + "_" + why.key();
    }
}

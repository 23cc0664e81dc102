package brackenbridge.fleet.peer;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Thread-safe counters by name. Names are constants of this package, so their number is bounded. */
final class LinkMetrics {
    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

    void count(String name) {
        count(name, 1);
    }

    void count(String name, long by) {
        counts.computeIfAbsent(name, k -> new LongAdder()).add(by);
    }

    Map<String, Double> snapshot() {
        Map<String, Double> all = new TreeMap<>();
        counts.forEach((name, count) -> all.put(name, (double) count.sum()));
        return all;
    }
}

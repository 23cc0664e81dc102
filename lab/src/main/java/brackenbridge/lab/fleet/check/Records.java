package brackenbridge.lab.fleet.check;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Own records as the log tells of them: the value of each is a number that grows with each write of its owner, so a
 * later one of the same key is known by its number alone.
 */
final class Records {
    /** A record's name. */
    record Id(String owner, String key) {}

    /**
     * A write that its owner said was taken.
     *
     * @param t when it said so
     * @param n its number
     * @param gone whether it removed the record
     */
    record Wrote(double t, Id id, long n, boolean gone) {}

    /** What a reader held from a moment on. */
    private record Held(long n, boolean gone) {}

    private final List<Wrote> wrote = new ArrayList<>();
    /** By reader and record: times and the number that was seen. */
    private final Map<String, Map<Id, TreeMap<Double, Held>>> seen = new HashMap<>();

    Records(List<Entry> log) {
        Map<Id, Long> removals = new HashMap<>();
        for (Entry e : log) {
            switch (e.what()) {
                case "tries" -> {
                    if (e.is("gone")) {
                        removals.put(new Id(e.text("member"), e.text("key")), e.whole("n"));
                    }
                }
                case "wrote" -> wrote.add(new Wrote(e.t(), new Id(e.who(), e.text("key")), e.whole("n"), e.is("gone")));
                case "saw" -> {
                    // A record that is gone has no number left: it is that of the last removal that was tried.
                    Id id = new Id(e.text("owner"), e.text("key"));
                    saw(
                            e.who(),
                            e.t(),
                            id,
                            e.is("gone")
                                    ? new Held(removals.getOrDefault(id, 0L), true)
                                    : new Held(e.whole("n"), false));
                }
                case "level" -> have(e).forEach((id, n) -> saw(e.who(), e.t(), id, new Held(n, false)));
                default -> {
                    // Nothing else matters here.
                }
            }
        }
    }

    private void saw(String reader, double t, Id id, Held held) {
        TreeMap<Double, Held> times =
                seen.computeIfAbsent(reader, r -> new HashMap<>()).computeIfAbsent(id, i -> new TreeMap<>());
        Map.Entry<Double, Held> last = times.lastEntry();
        if (last == null || !last.getValue().equals(held)) {
            times.put(t, held);
        }
    }

    /** What a member says that it holds, by record. */
    static Map<Id, Long> have(Entry level) {
        Map<Id, Long> all = new HashMap<>();
        if (level.more().get("have") != null) {
            for (JsonObject.Member owner : level.more().get("have").asObject()) {
                for (JsonObject.Member key : owner.getValue().asObject()) {
                    all.put(
                            new Id(owner.getName(), key.getName()),
                            key.getValue().asLong());
                }
            }
        }
        return all;
    }

    List<Wrote> wrote() {
        return wrote;
    }

    /** When a reader first held this write or a later one of the key; infinite if never. */
    double seenAt(String reader, Wrote w) {
        TreeMap<Double, Held> times = seen.getOrDefault(reader, Map.of()).getOrDefault(w.id(), new TreeMap<>());
        if (w.gone()
                && (times.floorEntry(w.t()) == null
                        || times.floorEntry(w.t()).getValue().gone())) {
            // There was nothing to remove, and nothing to tell.
            return w.t();
        }
        for (Map.Entry<Double, Held> e : times.entrySet()) {
            if (e.getValue().n() >= w.n()) {
                return e.getKey();
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** All members that the log tells of as started; a second process of one's name, {@code m0.twin}, is none. */
    static List<String> members(List<Entry> log) {
        return log.stream()
                .filter(e -> e.what().equals("ready") && !e.who().contains("."))
                .map(Entry::who)
                .distinct()
                .sorted()
                .toList();
    }

    static double end(List<Entry> log) {
        return log.isEmpty() ? 0 : log.get(log.size() - 1).t();
    }
}

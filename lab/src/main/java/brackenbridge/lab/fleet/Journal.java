package brackenbridge.lab.fleet;

import brackenbridge.lab.fleet.check.Entry;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The one log of a play: what all members say and what is done to them. Members stamp their lines with the monotonic
 * clock of the machine, which is one for all its processes, so that a line's time is not when it was read.
 */
final class Journal {
    /** Guards against a member that talks without end. */
    private static final int MOST = 3_000_000;

    private final List<Entry> entries = new ArrayList<>();
    private double origin;
    private boolean full;

    /** Milliseconds of the machine's monotonic clock. */
    static double now() {
        return System.nanoTime() / 1e6;
    }

    /** Times are told from this moment on. */
    synchronized void begin() {
        origin = now();
    }

    /** A line, at a time of {@link #now}. */
    synchronized void add(double at, String who, String what, JsonObject more) {
        if (entries.size() < MOST) {
            entries.add(new Entry(at, who, what, more));
        } else {
            full = true;
        }
    }

    /** A line of the laboratory's own, now. */
    void lab(String what, JsonObject more) {
        add(now(), "lab", what, more);
    }

    /** All lines in order of time; what lies between two of one time keeps its order. */
    synchronized List<Entry> lines() {
        if (full) {
            throw new IllegalStateException("more than " + MOST + " lines: ask for less, or for a shorter time");
        }
        return entries.stream()
                .map(e -> new Entry(e.t() - origin, e.who(), e.what(), shifted(e)))
                .sorted(Comparator.comparingDouble(Entry::t))
                .toList();
    }

    /** How many lines tell of this. */
    synchronized long count(String what) {
        return entries.stream().filter(e -> e.what().equals(what)).count();
    }

    private JsonObject shifted(Entry e) {
        if (e.more().get("until") == null) {
            return e.more();
        }
        return new JsonObject(e.more()).set("from", e.number("from") - origin).set("until", e.number("until") - origin);
    }
}

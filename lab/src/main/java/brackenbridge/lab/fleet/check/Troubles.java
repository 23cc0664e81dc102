package brackenbridge.lab.fleet.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What was done to whom and for how long, by the lines {@code fault}, {@code over}, {@code ended} and {@code ready}. A
 * member that was struck is in trouble until it is ready again.
 */
final class Troubles {
    /**
     * One trouble.
     *
     * @param from when it began, in milliseconds
     * @param to when it was over; infinite if it never was
     * @param a the member that was struck, or one end of the link
     * @param b the other end; empty if a member was struck
     * @param kind what it was
     */
    record Trouble(double from, double to, String a, String b, String kind) {
        boolean ofMember() {
            return b.isEmpty();
        }

        /** Whether the member's memory ended by it. */
        boolean ends() {
            return ofMember() && !kind.equals("stall");
        }

        /** Whether the member came back with less than it had on its disk. */
        boolean losesDisk() {
            return ends() && !kind.equals("kill") && !kind.equals("stop") && !kind.equals("ended");
        }

        boolean concerns(String x) {
            return a.equals(x) || b.equals(x);
        }

        /** Whether it can keep what one of these writes from the other. */
        boolean between(String x, String y) {
            return ofMember() ? a.equals(x) || a.equals(y) : concerns(x) && concerns(y);
        }

        boolean at(double fromMs, double toMs) {
            return from <= toMs && to >= fromMs;
        }
    }

    private final List<Trouble> all = new ArrayList<>();

    Troubles(List<Entry> log) {
        Map<Long, Entry> open = new HashMap<>();
        for (Entry e : log) {
            if (e.what().equals("fault")) {
                open.put(e.whole("id"), e);
            } else if (e.what().equals("over")) {
                close(open.remove(e.whole("id")), e.t());
            }
        }
        open.values().forEach(e -> close(e, Double.POSITIVE_INFINITY));
        all.sort(Comparator.comparingDouble(Trouble::from));
    }

    private void close(Entry e, double to) {
        if (e != null) {
            boolean member = !e.text("member").isEmpty();
            all.add(new Trouble(e.t(), to, member ? e.text("member") : e.text("from"), e.text("to"), e.text("kind")));
        }
    }

    List<Trouble> all() {
        return all;
    }

    List<Trouble> like(Predicate<Trouble> which) {
        return all.stream().filter(which).toList();
    }

    /** By when something must have happened that takes so long: each trouble on the way begins it anew. */
    static double due(double fromMs, double boundMs, List<Trouble> troubles) {
        double due = fromMs + boundMs;
        for (Trouble t : troubles) {
            if (t.at(fromMs, due)) {
                due = Math.max(due, t.to() + boundMs);
            }
        }
        return due;
    }

    /** How long something took, from its beginning or the end of the last trouble on its way. */
    static double took(double fromMs, double toMs, List<Trouble> troubles) {
        double from = fromMs;
        for (Trouble t : troubles) {
            if (t.at(fromMs, toMs)) {
                from = Math.max(from, Math.min(t.to(), toMs));
            }
        }
        return Math.max(0, toMs - from);
    }
}

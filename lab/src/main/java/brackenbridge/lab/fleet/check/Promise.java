package brackenbridge.lab.fleet.check;

import java.util.List;
import java.util.Map;

/** Something that a fleet promises, as it can be seen on the log of one play. */
@FunctionalInterface
public interface Promise {
    /**
     * Where a promise was broken.
     *
     * @param t at which moment of the log
     * @param text one line on it
     */
    record Breach(double t, String text) {}

    /**
     * What was found.
     *
     * @param breaches where it was broken; empty if it was kept
     * @param figures what was measured on the way, by name
     */
    record Finding(List<Breach> breaches, Map<String, Double> figures) {
        /** Keeps its own copies. */
        public Finding {
            breaches = List.copyOf(breaches);
            figures = Map.copyOf(figures);
        }
    }

    /** Checks it on a log in order of time. */
    Finding check(List<Entry> log);
}

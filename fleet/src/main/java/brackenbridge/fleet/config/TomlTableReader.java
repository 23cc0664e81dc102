package brackenbridge.fleet.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the values of one TOML table, each with its valid range and its default. A fault is recorded, and reading
 * continues with the default, so that all faults of a file are reported at once.
 */
final class TomlTableReader {
    private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]+(?:\\.[0-9]+)?) ?(ms|s|min|h)");
    private static final Map<String, Double> DURATION_UNITS_MS = Map.of("ms", 1.0, "s", 1e3, "min", 6e4, "h", 3.6e6);
    private static final Pattern SIZE_PATTERN = Pattern.compile("([0-9]+) ?(B|KiB|MiB|GiB)");
    private static final Map<String, Long> SIZE_UNITS_BYTES =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    /** A fault and its position in the file. */
    private record Fault(int line, int column, String text) {}

    /** Collects the faults of all tables of a file. */
    static final class FaultCollector {
        private final String file;
        private final List<Fault> faults = new ArrayList<>();

        FaultCollector(String file) {
            this.file = file;
        }

        void add(TomlPosition position, String key, String reason) {
            int line = position == null ? 1 : position.line();
            int column = position == null ? 1 : position.column();
            faults.add(new Fault(line, column, file + ":" + line + ":" + column + ": " + key + ": " + reason));
        }

        void throwIfAny() throws FleetFileException {
            if (!faults.isEmpty()) {
                faults.sort(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column));
                throw new FleetFileException(faults.stream().map(Fault::text).toList());
            }
        }
    }

    private final String path;
    private final TomlTable toml;
    private final TomlPosition position;
    private final FaultCollector faults;
    private final Set<String> readKeys = new HashSet<>();

    TomlTableReader(String path, TomlTable toml, TomlPosition position, FaultCollector faults) {
        this.path = path;
        this.toml = toml;
        this.position = position;
        this.faults = faults;
    }

    private String qualifiedKey(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private TomlPosition positionOf(String key) {
        TomlPosition keyPosition = toml == null ? null : toml.inputPositionOf(List.of(key));
        return keyPosition == null ? position : keyPosition;
    }

    void addFault(String key, String reason) {
        faults.add(positionOf(key), qualifiedKey(key), reason);
    }

    private Object value(String key) {
        readKeys.add(key);
        return toml == null ? null : toml.get(List.of(key));
    }

    /** Reads a string; a required one has null for {@code defaultValue}. */
    String string(String key, String defaultValue, Pattern pattern) {
        Object v = value(key);
        if (v == null && defaultValue == null) {
            addFault(key, "is missing");
        } else if (v != null && !(v instanceof String)) {
            addFault(key, "is not a string: " + v);
        } else if (v != null && !pattern.matcher((String) v).matches()) {
            addFault(key, "'" + v + "' does not have the form " + pattern);
        } else if (v != null) {
            return (String) v;
        }
        return defaultValue == null ? "" : defaultValue;
    }

    /** Whether the key is present. */
    boolean has(String key) {
        return value(key) != null;
    }

    /** Reads a list of strings; empty if absent. */
    List<String> strings(String key, Pattern pattern) {
        Object v = value(key);
        List<String> all = new ArrayList<>();
        if (v != null && !(v instanceof TomlArray)) {
            addFault(key, "is not a list of strings");
        }
        for (int i = 0; v instanceof TomlArray a && i < a.size(); i++) {
            if (a.get(i) instanceof String text && pattern.matcher(text).matches()) {
                all.add(text);
            } else {
                faults.add(
                        a.inputPositionOf(i), qualifiedKey(key) + "[" + i + "]", "does not have the form " + pattern);
            }
        }
        return all;
    }

    double number(String key, double defaultValue, double min, double max) {
        Object v = value(key);
        if (v == null) {
            return defaultValue;
        }
        double d = v instanceof Long l ? l : v instanceof Double x ? x : Double.NaN;
        if (!(d >= min && d <= max)) {
            addFault(key, v + " is not a number from " + min + " to " + max);
            return defaultValue;
        }
        return d;
    }

    int integer(String key, int defaultValue, int min, int max) {
        double d = number(key, defaultValue, min, max);
        if (d != Math.rint(d)) {
            addFault(key, d + " is not a whole number");
        }
        return (int) d;
    }

    boolean bool(String key, boolean defaultValue) {
        Object v = value(key);
        if (v != null && !(v instanceof Boolean)) {
            addFault(key, "is neither true nor false: " + v);
        }
        return v instanceof Boolean b ? b : defaultValue;
    }

    /** Reads a duration with its unit; returns milliseconds. */
    double durationMs(String key, double defaultMs, double minMs, double maxMs) {
        String text = string(key, defaultMs + "ms", Pattern.compile(".*"));
        Matcher m = DURATION_PATTERN.matcher(text);
        if (!m.matches()) {
            addFault(key, "'" + text + "' is not a time such as 250ms or 1.5s");
            return defaultMs;
        }
        double ms = Double.parseDouble(m.group(1)) * DURATION_UNITS_MS.get(m.group(2));
        if (!(ms >= minMs && ms <= maxMs)) {
            addFault(key, text + " is not from " + minMs + "ms to " + maxMs + "ms");
            return defaultMs;
        }
        return ms;
    }

    /** Reads a size with its unit; returns bytes. */
    long size(String key, long defaultBytes, long minBytes, long maxBytes) {
        String text = string(key, defaultBytes + "B", Pattern.compile(".*"));
        Matcher m = SIZE_PATTERN.matcher(text);
        if (!m.matches() || m.group(1).length() > 12) {
            addFault(key, "'" + text + "' is not a size such as 64KiB");
            return defaultBytes;
        }
        long bytes = Long.parseLong(m.group(1)) * SIZE_UNITS_BYTES.get(m.group(2));
        if (bytes < minBytes || bytes > maxBytes) {
            addFault(key, text + " is not from " + minBytes + "B to " + maxBytes + "B");
            return defaultBytes;
        }
        return bytes;
    }

    /** Returns the reader of a nested table; an absent table counts as empty. */
    TomlTableReader table(String key) {
        Object v = value(key);
        if (v != null && !(v instanceof TomlTable)) {
            addFault(key, "is not a table");
        }
        return new TomlTableReader(qualifiedKey(key), v instanceof TomlTable t ? t : null, positionOf(key), faults);
    }

    /** Returns the readers of an array of tables; empty if absent. */
    List<TomlTableReader> tables(String key) {
        Object v = value(key);
        List<TomlTableReader> all = new ArrayList<>();
        if (v != null && !(v instanceof TomlArray)) {
            addFault(key, "is not a list of tables");
        }
        for (int i = 0; v instanceof TomlArray a && i < a.size(); i++) {
            String item = qualifiedKey(key) + "[" + i + "]";
            if (a.get(i) instanceof TomlTable t) {
                all.add(new TomlTableReader(item, t, a.inputPositionOf(i), faults));
            } else {
                faults.add(a.inputPositionOf(i), item, "is not a table");
            }
        }
        return all;
    }

    /** Reads a table of numbers by key. */
    Map<String, Double> numbers(String key, double min, double max) {
        TomlTableReader t = table(key);
        Map<String, Double> all = new TreeMap<>();
        if (t.toml != null) {
            for (String k : t.toml.keySet()) {
                all.put(k, t.number(k, min, min, max));
            }
        }
        return all;
    }

    /** Records a fault for each key that was not read. */
    void rejectUnknownKeys() {
        if (toml == null) {
            return;
        }
        for (String key : toml.keySet()) {
            if (!readKeys.contains(key)) {
                String closest = readKeys.stream()
                        .min(Comparator.comparingInt((String k) ->
                                        LevenshteinDistance.getDefaultInstance().apply(key, k))
                                .thenComparing(k -> k))
                        .orElse("");
                addFault(key, "is unknown" + (closest.isEmpty() ? "" : "; did you mean '" + closest + "'?"));
            }
        }
    }
}

package brackenbridge.lab.world;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** One table of a file, read key by key: each value is checked where it is read, and what is left over is refused. */
public final class Section {
    private static final Pattern TIME = Pattern.compile("([0-9]+(?:\\.[0-9]+)?) ?(us|ms|s|min)");

    private final String file;
    private final TomlTable table;
    private final String path;
    private final TomlPosition at;
    private final Set<String> known = new LinkedHashSet<>();

    /** A table at its place in a file. */
    public Section(String file, TomlTable table, String path, TomlPosition at) {
        this.file = file;
        this.table = table;
        this.path = path;
        this.at = at;
    }

    /** A fault at the place of a key, or of the table if the key is absent. */
    public FileFault fault(String key, String reason) {
        TomlPosition p = key == null || !table.contains(List.of(key)) ? at : table.inputPositionOf(List.of(key));
        String name = key == null ? path : path.isEmpty() ? key : path + "." + key;
        return new FileFault(file, p.line(), p.column(), name + ": " + reason);
    }

    /** Whether the key is there. */
    public boolean has(String key) {
        known.add(key);
        return table.contains(List.of(key));
    }

    private Object value(String key) {
        known.add(key);
        return table.get(List.of(key));
    }

    /** A text; required if what an absent one is worth is null. */
    public String text(String key, String absent) throws FileFault {
        Object v = value(key);
        if (v == null) {
            if (absent == null) {
                throw fault(key, "is missing");
            }
            return absent;
        }
        if (!(v instanceof String s) || s.isBlank()) {
            throw fault(key, "is not a text");
        }
        return s;
    }

    /** True or false. */
    public boolean flag(String key, boolean absent) throws FileFault {
        Object v = value(key);
        if (v == null) {
            return absent;
        }
        if (!(v instanceof Boolean b)) {
            throw fault(key, "is neither true nor false");
        }
        return b;
    }

    /** A number within bounds; NaN as what an absent one is worth makes it required. */
    public double number(String key, double absent, double least, double most) throws FileFault {
        Object v = value(key);
        if (v == null) {
            if (Double.isNaN(absent)) {
                throw fault(key, "is missing");
            }
            return absent;
        }
        if (!(v instanceof Number n)) {
            throw fault(key, "is not a number");
        }
        return within(key, n.doubleValue(), least, most);
    }

    private double within(String key, double n, double least, double most) throws FileFault {
        if (!(n >= least && n <= most)) {
            throw fault(
                    key, String.format(Locale.ROOT, "%s is not within %s to %s", plain(n), plain(least), plain(most)));
        }
        return n;
    }

    private static String plain(double n) {
        return n == Math.rint(n) && Math.abs(n) < 1e15 ? Long.toString((long) n) : Double.toString(n);
    }

    /** A whole number within bounds; required if what an absent one is worth is the least there is. */
    public int whole(String key, int absent, int least, int most) throws FileFault {
        Object v = value(key);
        if (v != null && !(v instanceof Long)) {
            throw fault(key, "is not a whole number");
        }
        return (int) number(key, absent == Integer.MIN_VALUE ? Double.NaN : absent, least, most);
    }

    /** A time: a number of milliseconds, or a text such as {@code "1.5s"}; in milliseconds. */
    public double time(String key, double absent) throws FileFault {
        Object v = value(key);
        if (v instanceof String s) {
            Matcher m = TIME.matcher(s);
            if (!m.matches()) {
                throw fault(key, "'" + s + "' is not a time; write it as 250, \"250ms\" or \"1.5s\"");
            }
            double n = Double.parseDouble(m.group(1));
            return switch (m.group(2)) {
                case "us" -> n / 1000;
                case "ms" -> n;
                case "s" -> n * 1000;
                default -> n * 60_000;
            };
        }
        return number(key, absent, 0, 1e9);
    }

    /** One of an enumeration's names, in small letters; required if absent is null. */
    public <E extends Enum<E>> E choice(String key, Class<E> of, E absent) throws FileFault {
        String s = text(key, absent == null ? null : absent.name().toLowerCase(Locale.ROOT));
        List<String> names = new ArrayList<>();
        for (E e : of.getEnumConstants()) {
            String name = e.name().toLowerCase(Locale.ROOT);
            if (name.equals(s)) {
                return e;
            }
            names.add(name);
        }
        throw fault(key, "'" + s + "' is unknown" + nearest(s, names) + "; known are " + String.join(", ", names));
    }

    private static String nearest(String word, Iterable<String> names) {
        String best = null;
        int least = 4;
        for (String name : names) {
            int d = LevenshteinDistance.getDefaultInstance().apply(word, name);
            if (d < least) {
                least = d;
                best = name;
            }
        }
        return best == null ? "" : " (did you mean '" + best + "'?)";
    }

    /** A list of values of one type; absent as empty. */
    public <T> List<T> list(String key, Class<T> of, String type) throws FileFault {
        Object v = value(key);
        List<T> items = new ArrayList<>();
        if (v == null) {
            return items;
        }
        if (!(v instanceof TomlArray a)) {
            throw fault(key, "is not a list");
        }
        for (int i = 0; i < a.size(); i++) {
            Object item = a.get(i);
            if (of == Double.class && item instanceof Long n) {
                item = n.doubleValue();
            }
            if (!of.isInstance(item)) {
                TomlPosition p = a.inputPositionOf(i);
                throw new FileFault(file, p.line(), p.column(), key + " holds what is not " + type);
            }
            items.add(of.cast(item));
        }
        return items;
    }

    /** A table within this one; empty if absent. */
    public Section section(String key) throws FileFault {
        Object v = value(key);
        if (v == null) {
            return new Section(file, org.tomlj.Toml.parse("").getTableOrEmpty(key), key, at);
        }
        if (!(v instanceof TomlTable t)) {
            throw fault(key, "is not a table");
        }
        return new Section(file, t, path.isEmpty() ? key : path + "." + key, table.inputPositionOf(List.of(key)));
    }

    /** The tables of a list. */
    public List<Section> sections(String key) throws FileFault {
        Object v = value(key);
        List<Section> all = new ArrayList<>();
        if (v == null) {
            return all;
        }
        if (!(v instanceof TomlArray a)) {
            throw fault(key, "is not a list of tables; write [[" + key + "]]");
        }
        for (int i = 0; i < a.size(); i++) {
            if (!(a.get(i) instanceof TomlTable t)) {
                throw fault(key, "is not a list of tables; write [[" + key + "]]");
            }
            all.add(new Section(file, t, key + "[" + i + "]", a.inputPositionOf(i)));
        }
        return all;
    }

    /** Refuses what was not asked for. */
    public void end() throws FileFault {
        for (String key : table.keySet()) {
            if (!known.contains(key)) {
                throw fault(key, "is unknown" + nearest(key, known));
            }
        }
    }
}

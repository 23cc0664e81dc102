package brackenbridge.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/** Header fields in the order they came; names match without regard to case. */
public final class Headers {
    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    /** Adds a field. */
    public Headers add(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /** The first value of this name, or null. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** The same fields but for those of this name. */
    public Headers without(String name) {
        Headers others = new Headers();
        each((n, v) -> {
            if (!n.equalsIgnoreCase(name)) {
                others.add(n, v);
            }
        });
        return others;
    }

    /** How many fields have this name. */
    public int count(String name) {
        int count = 0;
        for (String n : names) {
            if (n.equalsIgnoreCase(name)) {
                count++;
            }
        }
        return count;
    }

    /** Whether a field of this name lists this word. */
    public boolean lists(String name, String word) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                for (String part : values.get(i).split(",")) {
                    if (part.trim().equalsIgnoreCase(word)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Hands each field on, in order. */
    public void each(BiConsumer<String, String> field) {
        for (int i = 0; i < names.size(); i++) {
            field.accept(names.get(i), values.get(i));
        }
    }

    /** The number of fields. */
    public int size() {
        return names.size();
    }
}

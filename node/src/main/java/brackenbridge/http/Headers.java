package brackenbridge.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/** Header fields in the order of the message; names are compared without regard to case. */
public final class Headers {
    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    /** Adds a field. */
    public Headers add(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /** Returns the first value of this name, or null. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** Returns a copy without the fields of this name. */
    public Headers without(String name) {
        Headers others = new Headers();
        forEach((otherName, value) -> {
            if (!otherName.equalsIgnoreCase(name)) {
                others.add(otherName, value);
            }
        });
        return others;
    }

    /** Returns the number of fields with this name. */
    public int count(String name) {
        int count = 0;
        for (String otherName : names) {
            if (otherName.equalsIgnoreCase(name)) {
                count++;
            }
        }
        return count;
    }

    /** Whether the comma-separated list in a field of this name contains this element. */
    public boolean hasListElement(String name, String element) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name) && containsElement(values.get(i), element)) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsElement(String list, String element) {
        for (String part : list.split(",")) {
            if (part.trim().equalsIgnoreCase(element)) {
                return true;
            }
        }
        return false;
    }

    /** Calls the consumer with the name and value of each field, in order. */
    public void forEach(BiConsumer<String, String> field) {
        for (int i = 0; i < names.size(); i++) {
            field.accept(names.get(i), values.get(i));
        }
    }

    /** Returns the number of fields. */
    public int size() {
        return names.size();
    }
}

package brackenbridge.config;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which keys a configuration has, and values of which type. The running configuration is the pattern for those that
 * come after it: guards against a file that was cut, or from which a key was lost, and still reads as one.
 */
public final class ConfigSchema {
    private final Map<String, String> types;

    private ConfigSchema(Map<String, String> types) {
        this.types = types;
    }

    /** The shape of this configuration; of the list of hosts, which changes all the time, only that it is there. */
    static ConfigSchema of(JsonObject json) {
        Map<String, String> types = new TreeMap<>();
        walk("", json, types);
        types.keySet().removeIf(path -> path.startsWith("known.hosts[]"));
        return new ConfigSchema(types);
    }

    /** Turns another configuration down that lacks one of these keys or has another type of value there. */
    public void requireSameKeysIn(ConfigSchema other) {
        types.forEach((path, type) -> {
            String there = other.types.get(path);
            String list = path.lastIndexOf("[]") < 0 ? null : path.substring(0, path.lastIndexOf("[]"));
            if (there == null && (list == null || !"empty array".equals(other.types.get(list)))) {
                throw new IllegalArgumentException("no " + path);
            }
            if (there != null && !plain(there).equals(plain(type))) {
                throw new IllegalArgumentException(path + " is no " + type);
            }
        });
    }

    private static String plain(String type) {
        return type.equals("empty array") ? "array" : type;
    }

    private static void walk(String path, JsonValue v, Map<String, String> types) {
        if (v.isNull()) {
            return;
        }
        if (!path.isEmpty()) {
            types.put(path, type(v));
        }
        if (v.isObject()) {
            for (JsonObject.Member m : v.asObject()) {
                walk(path.isEmpty() ? m.getName() : path + "." + m.getName(), m.getValue(), types);
            }
        } else if (v.isArray()) {
            Map<String, String> common = null;
            for (JsonValue item : v.asArray()) {
                Map<String, String> entry = new TreeMap<>();
                walk(path + "[]", item, entry);
                if (common == null) {
                    common = entry;
                } else {
                    // What only some entries have, no entry needs.
                    common.entrySet().removeIf(e -> !e.getValue().equals(entry.get(e.getKey())));
                }
            }
            if (common != null) {
                types.putAll(common);
            }
        }
    }

    private static String type(JsonValue v) {
        return v.isObject()
                ? "object"
                : v.isArray()
                        ? v.asArray().isEmpty() ? "empty array" : "array"
                        : v.isNumber() ? "number" : v.isString() ? "string" : "boolean";
    }
}

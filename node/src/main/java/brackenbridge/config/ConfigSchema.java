package brackenbridge.config;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.Map;
import java.util.TreeMap;

/**
 * The keys of a configuration and the types of their values. A new configuration has to match the schema of the running
 * one. Guards against a file that was truncated, or that lost a key, and can still be parsed.
 */
public final class ConfigSchema {
    private static final String EMPTY_ARRAY_TYPE = "empty array";
    private static final String ARRAY_TYPE = "array";
    /** Follows the path of a list in the paths of its entries. */
    private static final String ENTRY_SUFFIX = "[]";

    private final Map<String, String> types;

    private ConfigSchema(Map<String, String> types) {
        this.types = types;
    }

    /** Returns the schema of a configuration; the entries of its host list, which often change, are left out. */
    static ConfigSchema of(JsonObject json) {
        Map<String, String> types = new TreeMap<>();
        collectTypes("", json, types);
        types.keySet().removeIf(path -> path.startsWith("known.hosts" + ENTRY_SUFFIX));
        return new ConfigSchema(types);
    }

    /** Rejects a configuration that lacks one of these keys or has a value of another type there. */
    public void requireSameKeysIn(ConfigSchema other) {
        types.forEach((path, type) -> {
            String otherType = other.types.get(path);
            if (otherType == null && !other.hasEmptyListAbove(path)) {
                throw new IllegalArgumentException("no " + path);
            }
            if (otherType != null && !ignoringLength(otherType).equals(ignoringLength(type))) {
                throw new IllegalArgumentException(path + " is not of type " + type);
            }
        });
    }

    /** Whether the path is within the entries of a list that is empty here. */
    private boolean hasEmptyListAbove(String path) {
        int entry = path.lastIndexOf(ENTRY_SUFFIX);
        return entry >= 0 && EMPTY_ARRAY_TYPE.equals(types.get(path.substring(0, entry)));
    }

    private static String ignoringLength(String type) {
        return type.equals(EMPTY_ARRAY_TYPE) ? ARRAY_TYPE : type;
    }

    private static void collectTypes(String path, JsonValue value, Map<String, String> types) {
        if (value.isNull()) {
            return;
        }
        if (!path.isEmpty()) {
            types.put(path, typeOf(value));
        }
        if (value.isObject()) {
            for (JsonObject.Member member : value.asObject()) {
                String memberPath = path.isEmpty() ? member.getName() : path + "." + member.getName();
                collectTypes(memberPath, member.getValue(), types);
            }
        } else if (value.isArray()) {
            types.putAll(commonTypes(path + ENTRY_SUFFIX, value.asArray()));
        }
    }

    /** The types that all entries have in common: a key that only some entries have is optional. */
    private static Map<String, String> commonTypes(String path, JsonArray list) {
        Map<String, String> common = null;
        for (JsonValue item : list) {
            Map<String, String> entry = new TreeMap<>();
            collectTypes(path, item, entry);
            if (common == null) {
                common = entry;
            } else {
                common.entrySet().removeIf(e -> !e.getValue().equals(entry.get(e.getKey())));
            }
        }
        return common == null ? Map.of() : common;
    }

    private static String typeOf(JsonValue value) {
        if (value.isObject()) {
            return "object";
        }
        if (value.isArray()) {
            return value.asArray().isEmpty() ? EMPTY_ARRAY_TYPE : ARRAY_TYPE;
        }
        if (value.isNumber()) {
            return "number";
        }
        return value.isString() ? "string" : "boolean";
    }
}

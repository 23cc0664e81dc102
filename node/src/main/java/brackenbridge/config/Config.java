package brackenbridge.config;

import brackenbridge.BalancerApi.Settings;
import brackenbridge.core.TargetGroup;
import brackenbridge.discovery.TargetGroupParser;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a node is told at its start.
 *
 * @param name its name
 * @param listen where clients connect, as {@code address:port}
 * @param discovery where discovery is
 * @param management where staff call the node, as {@code address:port}; null if nowhere
 * @param sockets the most file descriptors that it may hold
 * @param settings what the module and the node go by
 * @param known the target group as it last held it
 * @param shape its keys and the types of their values
 */
public record Config(String name, String listen, String discovery, String management, int sockets, Settings settings,
        TargetGroup known, Shape shape) {

    /** Reads the configuration file; what can't be used is an IllegalArgumentException of one plain line. */
    public static Config read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException("no such file: " + file, e);
        } catch (MalformedInputException e) {
            throw new IllegalArgumentException("not text: " + file, e);
        } catch (IOException e) {
            throw new IllegalArgumentException("can't be read: " + e.getMessage(), e);
        }
    }

    /** Reads the configuration's text. */
    public static Config parse(String text) {
        try {
            JsonObject json = Json.parse(text).asObject();
            Map<String, String> pairs = new LinkedHashMap<>();
            flatten("", object(json, "settings"), pairs);
            long seed = Long.parseUnsignedLong(json.getString("seed", "0"), 16);
            JsonValue limits = json.get("limits");
            int sockets = limits == null ? 1024 : limits.asObject().getInt("sockets", 1024);
            if (sockets < 64) {
                throw new IllegalArgumentException("limits.sockets: " + sockets);
            }
            return new Config(json.getString("name", "node"), address(json, "listen"), address(json, "discovery"),
                    json.get("mgmt") == null ? null : address(json, "mgmt"), sockets,
                    new SettingsParser(pairs).parse(seed), TargetGroupParser.group(object(json, "known")),
                    Shape.of(json));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(String.valueOf(e.getMessage()).replaceAll("\\s+", " "), e);
        } catch (StackOverflowError e) {
            throw new IllegalArgumentException("nested too deep", e);
        }
    }

    /** The same with staff's calls at this address; a null changes nothing. */
    public Config withManagement(String at) {
        return at == null ? this : new Config(name, listen, discovery, checked("mgmt", at), sockets, settings, known,
                shape);
    }

    private static JsonObject object(JsonObject json, String name) {
        JsonValue v = json.get(name);
        if (v == null || !v.isObject()) {
            throw new IllegalArgumentException("no object " + name);
        }
        return v.asObject();
    }

    private static String address(JsonObject json, String name) {
        return checked(name, json.getString(name, ""));
    }

    private static String checked(String name, String v) {
        if (!v.matches("[^\\s:]+:[0-9]{1,5}") || Integer.parseInt(v.substring(v.indexOf(':') + 1)) > 65535) {
            throw new IllegalArgumentException(name + " is not an address and port: '" + v + "'");
        }
        return v;
    }

    /** Writes nested JSON as the path=value pairs that the simulator's first message holds. */
    static void flatten(String path, JsonValue v, Map<String, String> pairs) {
        if (v.isObject()) {
            for (JsonObject.Member m : v.asObject()) {
                flatten(path.isEmpty() ? m.getName() : path + "." + m.getName(), m.getValue(), pairs);
            }
        } else if (v.isArray()) {
            List<String> plain = new ArrayList<>();
            int i = 0;
            for (JsonValue item : v.asArray()) {
                if (item.isObject()) {
                    flatten(path + "." + i, item, pairs);
                } else {
                    plain.add(item.isString() ? item.asString() : item.toString());
                }
                i++;
            }
            pairs.put(path + ".count", Integer.toString(i));
            pairs.put(path, String.join(",", plain));
        } else if (!v.isNull()) {
            pairs.put(path, v.isString() ? v.asString() : v.toString());
        }
    }
}

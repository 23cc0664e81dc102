package brackenbridge.config;

import brackenbridge.core.EndpointList;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.discovery.EndpointListParser;
import brackenbridge.discovery.StrictJson;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
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
 * @param configuredEndpoints the target group as it last held it
 * @param schema its keys and the types of their values
 */
public record Config(
        String name,
        String listen,
        String discovery,
        String management,
        int sockets,
        BalancerSettings settings,
        EndpointList configuredEndpoints,
        ConfigSchema schema) {

    /** The longest file: guards the heap against one that was named by mistake. */
    private static final int LONGEST = 4 << 20;
    /** A reason may quote a value, and that may be the whole file. */
    private static final int LONGEST_REASON = 300;

    /** Reads the configuration file; what can't be used is an IllegalArgumentException of one plain line. */
    public static Config read(Path file) {
        if (Files.exists(file) && !Files.isRegularFile(file)) {
            // A pipe would hold its reader up until somebody writes to it, and each later SIGHUP behind that.
            throw new IllegalArgumentException("not a file: " + file);
        }
        try (InputStream in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes(LONGEST + 1);
            if (bytes.length > LONGEST) {
                throw new IllegalArgumentException("over " + LONGEST + " bytes: " + file);
            }
            return parse(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString());
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException("no such file: " + file, e);
        } catch (CharacterCodingException e) {
            throw new IllegalArgumentException("not text: " + file, e);
        } catch (IOException e) {
            throw new IllegalArgumentException("can't be read: " + e.getMessage(), e);
        }
    }

    /** Reads the configuration's text. */
    public static Config parse(String text) {
        try {
            JsonObject json = StrictJson.parse(text).asObject();
            Map<String, String> pairs = new LinkedHashMap<>();
            flatten("", object(json, "settings"), pairs);
            return new Config(
                    string(json, "name", "node"),
                    address(json, "listen"),
                    address(json, "discovery"),
                    json.get("mgmt") == null ? null : address(json, "mgmt"),
                    sockets(json),
                    new SettingsParser(pairs).parse(seed(json)),
                    known(json),
                    ConfigSchema.of(json));
        } catch (RuntimeException e) {
            String why = String.valueOf(e.getMessage()).replaceAll("[\\s\\p{Cntrl}]+", " ");
            throw new IllegalArgumentException(why.substring(0, Math.min(why.length(), LONGEST_REASON)), e);
        }
    }

    /** The same with staff's calls at this address; a null changes nothing. */
    public Config withManagement(String at) {
        return at == null
                ? this
                : new Config(
                        name, listen, discovery, checked("mgmt", at), sockets, settings, configuredEndpoints, schema);
    }

    private static int sockets(JsonObject json) {
        JsonValue v = json.get("limits") == null ? null : object(json, "limits").get("sockets");
        double sockets = v == null ? 1024 : v.isNumber() ? v.asDouble() : Double.NaN;
        if (!(sockets >= 64 && sockets <= Integer.MAX_VALUE) || sockets != Math.rint(sockets)) {
            throw new IllegalArgumentException("limits.sockets: " + v);
        }
        return (int) sockets;
    }

    private static long seed(JsonObject json) {
        String seed = string(json, "seed", "0");
        try {
            return Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not a hexadecimal number: '" + seed + "'", e);
        }
    }

    private static EndpointList known(JsonObject json) {
        JsonObject told = object(json, "known");
        try {
            EndpointList known = EndpointListParser.fromJson(told);
            if (!known.unreadableHosts().isEmpty()) {
                throw new IllegalArgumentException(
                        "entry of " + known.unreadableHosts().get(0));
            }
            return known;
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("known: " + e.getMessage(), e);
        }
    }

    private static String string(JsonObject json, String name, String absent) {
        JsonValue v = json.get(name);
        if (v != null && !v.isString()) {
            throw new IllegalArgumentException(name + " is not a string: " + v);
        }
        return v == null ? absent : v.asString();
    }

    private static JsonObject object(JsonObject json, String name) {
        JsonValue v = json.get(name);
        if (v == null || !v.isObject()) {
            throw new IllegalArgumentException("no object " + name);
        }
        return v.asObject();
    }

    private static String address(JsonObject json, String name) {
        return checked(name, string(json, name, ""));
    }

    private static String checked(String name, String v) {
        // Names are not looked up: one that was taken here would be a listener or a discovery that never is.
        if (!v.matches("[^\\s:]+:[0-9]{1,5}")
                || !NetUtil.isValidIpV4Address(v.substring(0, v.indexOf(':')))
                || Integer.parseInt(v.substring(v.indexOf(':') + 1)) > 65535) {
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
            put(pairs, path + ".count", Integer.toString(i));
            put(pairs, path, String.join(",", plain));
        } else if (!v.isNull()) {
            put(pairs, path, v.isString() ? v.asString() : v.toString());
        }
    }

    /** Guards against keys with dots in them, which could say again, and otherwise, what another place says. */
    private static void put(Map<String, String> pairs, String path, String value) {
        if (pairs.put(path, value) != null) {
            throw new IllegalArgumentException("told twice: " + path);
        }
    }
}

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
 * The configuration of a node.
 *
 * @param name the node's name
 * @param listen the address that accepts clients, as {@code address:port}
 * @param discovery the address of the discovery service, as {@code address:port}
 * @param management the address that accepts operators' calls, as {@code address:port}; null for none
 * @param sockets the maximum number of file descriptors that the node may have open
 * @param settings the settings of the balancer and the node
 * @param configuredEndpoints the endpoints to start with, until discovery has sent its list
 * @param schema the keys of the configuration and the types of their values
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

    /** Guards the heap against a large file that was named by mistake. */
    private static final int MAX_FILE_BYTES = 4 << 20;
    /** Limits an error message, which may quote a value that is nearly as long as the file. */
    private static final int MAX_ERROR_CHARS = 300;

    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MIN_SOCKETS = 64;
    private static final int MAX_PORT = 65_535;

    /** Reads the configuration file; an unusable one is an IllegalArgumentException with a one-line message. */
    public static Config read(Path file) {
        if (Files.exists(file) && !Files.isRegularFile(file)) {
            // Reading a pipe blocks until something is written to it, and would delay each later SIGHUP.
            throw new IllegalArgumentException("not a file: " + file);
        }
        try (InputStream in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes(MAX_FILE_BYTES + 1);
            if (bytes.length > MAX_FILE_BYTES) {
                throw new IllegalArgumentException("over " + MAX_FILE_BYTES + " bytes: " + file);
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

    /** Parses the text of a configuration; errors are those of {@link #read}. */
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
                    parseSockets(json),
                    new SettingsParser(pairs).parse(parseSeed(json)),
                    parseEndpoints(json),
                    ConfigSchema.of(json));
        } catch (RuntimeException e) {
            String reason = String.valueOf(e.getMessage()).replaceAll("[\\s\\p{Cntrl}]+", " ");
            throw new IllegalArgumentException(reason.substring(0, Math.min(reason.length(), MAX_ERROR_CHARS)), e);
        }
    }

    /** Returns this configuration with another management address; null keeps the present one. */
    public Config withManagement(String address) {
        return address == null
                ? this
                : new Config(
                        name,
                        listen,
                        discovery,
                        requireAddress("mgmt", address),
                        sockets,
                        settings,
                        configuredEndpoints,
                        schema);
    }

    private static int parseSockets(JsonObject json) {
        JsonValue value =
                json.get("limits") == null ? null : object(json, "limits").get("sockets");
        if (value == null) {
            return DEFAULT_SOCKETS;
        }
        double sockets = value.isNumber() ? value.asDouble() : Double.NaN;
        if (!(sockets >= MIN_SOCKETS && sockets <= Integer.MAX_VALUE) || sockets != Math.rint(sockets)) {
            throw new IllegalArgumentException("limits.sockets: " + value);
        }
        return (int) sockets;
    }

    private static long parseSeed(JsonObject json) {
        String seed = string(json, "seed", "0");
        try {
            return Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not a hexadecimal number: '" + seed + "'", e);
        }
    }

    private static EndpointList parseEndpoints(JsonObject json) {
        JsonObject list = object(json, "known");
        try {
            EndpointList endpoints = EndpointListParser.fromJson(list);
            if (!endpoints.malformedHosts().isEmpty()) {
                throw new IllegalArgumentException(
                        "malformed entry of host " + endpoints.malformedHosts().get(0));
            }
            return endpoints;
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("known: " + e.getMessage(), e);
        }
    }

    private static String string(JsonObject json, String name, String defaultValue) {
        JsonValue value = json.get(name);
        if (value != null && !value.isString()) {
            throw new IllegalArgumentException(name + " is not a string: " + value);
        }
        return value == null ? defaultValue : value.asString();
    }

    private static JsonObject object(JsonObject json, String name) {
        JsonValue value = json.get(name);
        if (value == null || !value.isObject()) {
            throw new IllegalArgumentException("no object " + name);
        }
        return value.asObject();
    }

    private static String address(JsonObject json, String name) {
        return requireAddress(name, string(json, name, ""));
    }

    private static String requireAddress(String name, String value) {
        // Host names are not resolved: accepting one here would give a listener or a discovery that never works.
        if (!value.matches("[^\\s:]+:[0-9]{1,5}")
                || !NetUtil.isValidIpV4Address(value.substring(0, value.indexOf(':')))
                || Integer.parseInt(value.substring(value.indexOf(':') + 1)) > MAX_PORT) {
            throw new IllegalArgumentException(name + " is not an address and port: '" + value + "'");
        }
        return value;
    }

    /** Flattens nested JSON into the {@code path=value} pairs that {@link SettingsParser} parses. */
    static void flatten(String path, JsonValue value, Map<String, String> pairs) {
        if (value.isObject()) {
            for (JsonObject.Member member : value.asObject()) {
                flatten(path.isEmpty() ? member.getName() : path + "." + member.getName(), member.getValue(), pairs);
            }
        } else if (value.isArray()) {
            List<String> scalars = new ArrayList<>();
            int count = 0;
            for (JsonValue item : value.asArray()) {
                if (item.isObject()) {
                    flatten(path + "." + count, item, pairs);
                } else {
                    scalars.add(item.isString() ? item.asString() : item.toString());
                }
                count++;
            }
            putOnce(pairs, path + ".count", Integer.toString(count));
            putOnce(pairs, path, String.join(",", scalars));
        } else if (!value.isNull()) {
            putOnce(pairs, path, value.isString() ? value.asString() : value.toString());
        }
    }

    /** Guards against a key with dots in it, which could set another value for the path of a nested key. */
    private static void putOnce(Map<String, String> pairs, String path, String value) {
        if (pairs.put(path, value) != null) {
            throw new IllegalArgumentException("duplicate key: " + path);
        }
    }
}

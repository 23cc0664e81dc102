package brackenbridge.discovery;

import brackenbridge.core.EndpointList;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.List;

/** Parses and formats the endpoint lists of discovery: a complete list, or one line of a watch. */
public final class EndpointListParser {
    /** The largest integer up to which a double, and so every number in JSON, is exact. */
    private static final double MAX_VERSION = 0x1p53 - 1;

    private static final int MAX_PORT = 65_535;
    private static final String HEALTH_UP = "active";
    private static final String HEALTH_DRAINING = "leaving";
    private static final String HEALTH_REMOVED = "left";

    private EndpointListParser() {}

    /** Parses a list; text that is not a list is an IllegalArgumentException. */
    public static EndpointList parse(String text) {
        try {
            return fromJson(StrictJson.parse(text).asObject());
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("not an endpoint list: " + e.getMessage(), e);
        }
    }

    /**
     * Reads the list from its JSON. A malformed entry that names its host marks only that host as malformed. An entry
     * without a host makes the list malformed, since a host that is missing from a list counts as removed.
     */
    public static EndpointList fromJson(JsonObject json) {
        List<ServerEndpoint> endpoints = new ArrayList<>();
        List<String> unreadableHosts = new ArrayList<>();
        for (JsonValue item : required(json, "hosts").asArray()) {
            JsonObject entry = item.asObject();
            String host = required(entry, "host").asString();
            if (host.isEmpty()) {
                throw new IllegalArgumentException("entry without a host");
            }
            try {
                endpoints.add(parseEndpoint(host, entry));
            } catch (RuntimeException e) {
                unreadableHosts.add(host);
            }
        }
        return new EndpointList(
                parseVersion(required(json, "seq")), json.getBoolean("whole", false), endpoints, unreadableHosts);
    }

    /** Guards later lists: after a version that is out of range, each of them would count as stale. */
    private static long parseVersion(JsonValue value) {
        double version = value.isNumber() ? value.asDouble() : Double.NaN;
        if (!(version >= -1 && version <= MAX_VERSION) || version != Math.rint(version)) {
            throw new IllegalArgumentException("seq is not a version: " + value);
        }
        return (long) version;
    }

    /** Formats a list in the format of discovery. */
    public static JsonObject toJson(EndpointList list) {
        JsonArray hosts = new JsonArray();
        for (ServerEndpoint endpoint : list.endpoints()) {
            hosts.add(Json.object()
                    .add("host", endpoint.host())
                    .add("dial", endpoint.address())
                    .add("site", endpoint.zone())
                    .add("block", endpoint.cell())
                    .add("share", endpoint.weight())
                    .add("born_ms", endpoint.startedAtMs())
                    .add("health", formatState(endpoint.state())));
        }
        return Json.object()
                .add("seq", list.version())
                .add("whole", list.complete())
                .add("hosts", hosts);
    }

    private static ServerEndpoint parseEndpoint(String host, JsonObject entry) {
        String address = required(entry, "dial").asString();
        int port = parsePort(address);
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("dial '" + address + "'");
        }
        return new ServerEndpoint(
                host,
                address,
                entry.getString("site", "-"),
                (long) number(entry, "block", -1),
                number(entry, "share", 1),
                number(entry, "born_ms", 0),
                parseState(required(entry, "health").asString()));
    }

    /** The port of an {@code address:port}; 0 if the text is not one. */
    private static int parsePort(String address) {
        if (!address.matches("[^\\s:]+:[0-9]{1,5}")) {
            return 0;
        }
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    private static double number(JsonObject json, String name, double defaultValue) {
        JsonValue value = json.get(name);
        return value == null || value.isNull() ? defaultValue : value.asDouble();
    }

    private static JsonValue required(JsonObject json, String name) {
        JsonValue value = json.get(name);
        if (value == null) {
            throw new IllegalArgumentException("no " + name);
        }
        return value;
    }

    private static EndpointState parseState(String health) {
        return switch (health) {
            case HEALTH_UP -> EndpointState.UP;
            case HEALTH_DRAINING -> EndpointState.DRAINING;
            case HEALTH_REMOVED -> EndpointState.REMOVED;
            default -> throw new IllegalArgumentException("health '" + health + "'");
        };
    }

    private static String formatState(EndpointState state) {
        return switch (state) {
            case UP -> HEALTH_UP;
            case DRAINING -> HEALTH_DRAINING;
            case REMOVED -> HEALTH_REMOVED;
        };
    }
}

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

/** Reads discovery's lists: the whole one, or one line of a watch. */
public final class EndpointListParser {
    /** Beyond it a number on the wire is no longer exact. */
    private static final double MOST_VERSIONS = 0x1p53 - 1;

    private EndpointListParser() {}

    /** Reads a list; what is not one is an IllegalArgumentException. */
    public static EndpointList parse(String text) {
        try {
            return fromJson(StrictJson.parse(text).asObject());
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("not a target list: " + e.getMessage(), e);
        }
    }

    /**
     * Reads a list that has been parsed. An entry that can't be read costs only itself, as long as it says whose it
     * is; of anybody else's the whole list is spoilt, since what it leaves out would count as gone.
     */
    public static EndpointList fromJson(JsonObject json) {
        List<ServerEndpoint> targets = new ArrayList<>();
        List<String> unread = new ArrayList<>();
        for (JsonValue v : required(json, "hosts").asArray()) {
            String host = required(v.asObject(), "host").asString();
            if (host.isEmpty()) {
                throw new IllegalArgumentException("entry without a host");
            }
            try {
                targets.add(target(host, v.asObject()));
            } catch (RuntimeException e) {
                unread.add(host);
            }
        }
        return new EndpointList(version(required(json, "seq")), json.getBoolean("whole", false), targets, unread);
    }

    /** Guards all later lists: beside a version that no counter holds they would be stale for good. */
    private static long version(JsonValue v) {
        double seq = v.isNumber() ? v.asDouble() : Double.NaN;
        if (!(seq >= -1 && seq <= MOST_VERSIONS) || seq != Math.rint(seq)) {
            throw new IllegalArgumentException("seq is not a version: " + v);
        }
        return (long) seq;
    }

    /** Words a list as discovery would. */
    public static JsonObject toJson(EndpointList group) {
        JsonArray hosts = new JsonArray();
        for (ServerEndpoint t : group.endpoints()) {
            String health = switch (t.state()) {
                case UP -> "active";
                case DRAINING -> "leaving";
                case REMOVED -> "left";
            };
            hosts.add(Json.object()
                    .add("host", t.host())
                    .add("dial", t.address())
                    .add("site", t.zone())
                    .add("block", t.cell())
                    .add("share", t.weight())
                    .add("born_ms", t.startedAtMs())
                    .add("health", health));
        }
        return Json.object()
                .add("seq", group.version())
                .add("whole", group.complete())
                .add("hosts", hosts);
    }

    private static ServerEndpoint target(String host, JsonObject o) {
        String dial = required(o, "dial").asString();
        int port = dial.matches("[^\\s:]+:[0-9]{1,5}") ? Integer.parseInt(dial.substring(dial.indexOf(':') + 1)) : 0;
        if (port < 1 || port > 65535) {
            throw new IllegalArgumentException("dial '" + dial + "'");
        }
        return new ServerEndpoint(
                host,
                dial,
                o.getString("site", "-"),
                (long) number(o, "block", -1),
                number(o, "share", 1),
                number(o, "born_ms", 0),
                state(required(o, "health").asString()));
    }

    private static double number(JsonObject o, String name, double absent) {
        JsonValue v = o.get(name);
        return v == null || v.isNull() ? absent : v.asDouble();
    }

    private static JsonValue required(JsonObject o, String name) {
        JsonValue v = o.get(name);
        if (v == null) {
            throw new IllegalArgumentException("no " + name);
        }
        return v;
    }

    private static EndpointState state(String word) {
        return switch (word) {
            case "active" -> EndpointState.UP;
            case "leaving" -> EndpointState.DRAINING;
            case "left" -> EndpointState.REMOVED;
            default -> throw new IllegalArgumentException("health '" + word + "'");
        };
    }
}

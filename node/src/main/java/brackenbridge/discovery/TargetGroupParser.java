package brackenbridge.discovery;

import brackenbridge.BalancerApi.EndpointState;
import brackenbridge.core.Target;
import brackenbridge.core.TargetGroup;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.List;

/** Reads discovery's lists: the whole one, or one line of a watch. */
public final class TargetGroupParser {
    private TargetGroupParser() {
    }

    /** Reads a list; what is not one is an IllegalArgumentException. */
    public static TargetGroup parse(String text) {
        try {
            return group(Json.parse(text).asObject());
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("not a target list: " + e.getMessage(), e);
        } catch (StackOverflowError e) {
            // Guards against brackets nested deeper than the parser's stack.
            throw new IllegalArgumentException("not a target list: nested too deep", e);
        }
    }

    /** Reads a list that has been parsed. */
    public static TargetGroup group(JsonObject json) {
        List<Target> targets = new ArrayList<>();
        for (JsonValue v : required(json, "hosts").asArray()) {
            targets.add(target(v.asObject()));
        }
        return new TargetGroup((long) required(json, "seq").asDouble(), json.getBoolean("whole", false), targets);
    }

    /** Words a list as discovery would. */
    public static JsonObject json(TargetGroup group) {
        JsonArray hosts = new JsonArray();
        for (Target t : group.targets()) {
            String health = switch (t.state()) {
                case UP -> "active";
                case DRAINING -> "leaving";
                case REMOVED -> "left";
            };
            hosts.add(Json.object().add("host", t.host()).add("dial", t.dial()).add("site", t.zone())
                    .add("block", t.cell()).add("share", t.weight()).add("born_ms", t.bornMs())
                    .add("health", health));
        }
        return Json.object().add("seq", group.seq()).add("whole", group.whole()).add("hosts", hosts);
    }

    private static Target target(JsonObject o) {
        String host = required(o, "host").asString();
        String dial = required(o, "dial").asString();
        if (host.isEmpty() || !dial.matches("[^\\s:]+:[0-9]{1,5}")) {
            throw new IllegalArgumentException("host '" + host + "' at '" + dial + "'");
        }
        return new Target(host, dial, o.getString("site", "-"), (long) number(o, "block", -1),
                number(o, "share", 1), number(o, "born_ms", 0), state(required(o, "health").asString()));
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

package brackenbridge.lab.fleet.check;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;

/**
 * A line of the log.
 *
 * @param t when, in milliseconds from the beginning of the play, by the machine's one monotonic clock
 * @param who the member that said it, or {@code lab}
 * @param what what it tells of
 * @param more all the rest
 */
public record Entry(double t, String who, String what, JsonObject more) {
    /** A text of the rest; empty if absent. */
    public String text(String key) {
        return more.getString(key, "");
    }

    /** A number of the rest; 0 if absent. */
    public double number(String key) {
        return more.getDouble(key, 0);
    }

    /** A whole number of the rest; 0 if absent. */
    public long whole(String key) {
        return more.getLong(key, 0);
    }

    /** Whether the rest says so. */
    public boolean is(String key) {
        return more.getBoolean(key, false);
    }

    /** The line as it stands in the file. */
    public String line() {
        JsonObject o = Json.object()
                .add("t", Math.round(t * 1000) / 1000.0)
                .add("who", who)
                .add("what", what);
        for (JsonObject.Member m : more) {
            o.add(m.getName(), m.getValue());
        }
        return o.toString();
    }

    /** Reads a line. */
    public static Entry parse(String line) {
        JsonObject o = Json.parse(line).asObject();
        JsonObject more = Json.object();
        double t = 0;
        String who = "";
        String what = "";
        for (JsonObject.Member m : o) {
            JsonValue v = m.getValue();
            switch (m.getName()) {
                case "t" -> t = v.asDouble();
                case "who" -> who = v.asString();
                case "what" -> what = v.asString();
                default -> more.add(m.getName(), v);
            }
        }
        return new Entry(t, who, what, more);
    }
}

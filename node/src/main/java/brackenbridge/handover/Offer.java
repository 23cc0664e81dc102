package brackenbridge.handover;

import brackenbridge.core.TargetGroup;
import brackenbridge.discovery.StrictJson;
import brackenbridge.discovery.TargetGroupParser;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;

/**
 * What a process gives its successor.
 *
 * @param sockets the successor's part of the descriptors
 * @param list the target group with its version
 */
public record Offer(int sockets, TargetGroup list) {

    String json() {
        return Json.object()
                .add("sockets", sockets)
                .add("list", TargetGroupParser.json(list))
                .toString();
    }

    /** Reads an offer; what can't be read is an IllegalArgumentException. */
    static Offer parse(String text) {
        try {
            JsonObject json = StrictJson.parse(text).asObject();
            return new Offer(
                    json.get("sockets").asInt(),
                    TargetGroupParser.group(json.get("list").asObject()));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("not an offer: " + e.getMessage(), e);
        }
    }
}

package brackenbridge.handover;

import brackenbridge.core.EndpointList;
import brackenbridge.discovery.EndpointListParser;
import brackenbridge.discovery.StrictJson;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;

/**
 * What a process gives its successor.
 *
 * @param sockets the successor's part of the descriptors
 * @param endpoints the target group with its version
 */
public record HandoverState(int sockets, EndpointList endpoints) {

    String json() {
        return Json.object()
                .add("sockets", sockets)
                .add("list", EndpointListParser.toJson(endpoints))
                .toString();
    }

    /** Reads an offer; what can't be read is an IllegalArgumentException. */
    static HandoverState parse(String text) {
        try {
            JsonObject json = StrictJson.parse(text).asObject();
            return new HandoverState(
                    json.get("sockets").asInt(),
                    EndpointListParser.fromJson(json.get("list").asObject()));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("not an offer: " + e.getMessage(), e);
        }
    }
}

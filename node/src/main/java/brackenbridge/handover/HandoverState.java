package brackenbridge.handover;

import brackenbridge.core.EndpointList;
import brackenbridge.discovery.EndpointListParser;
import brackenbridge.discovery.StrictJson;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;

/**
 * The state that a process gives its successor.
 *
 * @param sockets the successor's part of the descriptors
 * @param endpoints the endpoint list with its version
 */
public record HandoverState(int sockets, EndpointList endpoints) {

    /** The state as the text of a line. */
    String toJson() {
        return Json.object()
                .add("sockets", sockets)
                .add("list", EndpointListParser.toJson(endpoints))
                .toString();
    }

    /** Reads a state from the text of a line; throws IllegalArgumentException if it can't be read. */
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

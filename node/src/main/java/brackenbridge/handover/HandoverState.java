package brackenbridge.handover;

import brackenbridge.core.EndpointList;
import brackenbridge.discovery.EndpointListParser;
import brackenbridge.discovery.StrictJson;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;

/**
 * The state that a process sends to its successor.
 *
 * @param sockets the number of descriptors that the successor may use
 * @param endpoints the endpoint list with its version
 */
public record HandoverState(int sockets, EndpointList endpoints) {

    /** Formats the state as one line. */
    String toJson() {
        return Json.object()
                .add("sockets", sockets)
                .add("list", EndpointListParser.toJson(endpoints))
                .toString();
    }

    /** Parses a state from one line; throws IllegalArgumentException if it is malformed. */
    static HandoverState parse(String text) {
        try {
            JsonObject json = StrictJson.parse(text).asObject();
            return new HandoverState(
                    json.get("sockets").asInt(),
                    EndpointListParser.fromJson(json.get("list").asObject()));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("not a handover state: " + e.getMessage(), e);
        }
    }
}

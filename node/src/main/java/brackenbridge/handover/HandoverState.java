package brackenbridge.handover;

import brackenbridge.core.EndpointList;
import brackenbridge.discovery.EndpointListParser;
import brackenbridge.discovery.StrictJson;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;

/**
 * The state that a process sends to its successor.
 *
 * @param sockets half of the node's descriptors, for a successor that takes no part in their exchange
 * @param granted the number of descriptors that the successor may use at first; negative if the predecessor takes no
 *     part in their exchange
 * @param endpoints the endpoint list with its version
 */
public record HandoverState(int sockets, int granted, EndpointList endpoints) {
    /** No number of descriptors: the predecessor takes no part in their exchange. */
    public static final int NOT_GRANTED = -1;

    /** Formats the state as one line. */
    String toJson() {
        return Json.object()
                .add("sockets", sockets)
                .add("granted", granted)
                .add("list", EndpointListParser.toJson(endpoints))
                .toString();
    }

    /** Parses a state from one line; throws IllegalArgumentException if it is malformed. */
    static HandoverState parse(String text) {
        try {
            JsonObject json = StrictJson.parse(text).asObject();
            return new HandoverState(
                    json.get("sockets").asInt(),
                    Math.max(NOT_GRANTED, json.getInt("granted", NOT_GRANTED)),
                    EndpointListParser.fromJson(json.get("list").asObject()));
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("not a handover state: " + e.getMessage(), e);
        }
    }
}

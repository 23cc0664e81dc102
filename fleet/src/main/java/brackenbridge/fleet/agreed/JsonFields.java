package brackenbridge.fleet.agreed;

import com.fasterxml.jackson.databind.JsonNode;
import io.microraft.RaftEndpoint;
import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashSet;

/** Reads properties of a parsed tree; a missing property or one out of range causes an {@link IOException}. */
final class JsonFields {
    private JsonFields() {}

    /** Reads a list of voters in its order. */
    static Collection<RaftEndpoint> endpoints(JsonNode parent, String key) throws IOException {
        // The library keeps the order of its members, so it is preserved here.
        Collection<RaftEndpoint> endpoints = new LinkedHashSet<>();
        for (JsonNode element : required(parent, key)) {
            endpoints.add(VoterEndpoint.parse(element.asText()));
        }
        return endpoints;
    }

    /** Reads a mandatory property. */
    static JsonNode required(JsonNode parent, String key) throws IOException {
        JsonNode value = parent == null ? null : parent.get(key);
        if (value == null || value.isNull()) {
            throw new IOException("missing property '" + key + "'");
        }
        return value;
    }

    /** Reads a voter. */
    static RaftEndpoint endpoint(JsonNode parent, String key) throws IOException {
        return VoterEndpoint.parse(text(parent, key));
    }

    /** Reads a string. */
    static String text(JsonNode parent, String key) throws IOException {
        return required(parent, key).asText();
    }

    /** Reads a number of at least 0. */
    static long longValue(JsonNode parent, String key) throws IOException {
        JsonNode value = required(parent, key);
        if (!value.canConvertToLong() || value.asLong() < 0) {
            throw new IOException("property '" + key + "' out of range: " + value);
        }
        return value.asLong();
    }

    /** Reads a number from 0 to {@link Integer#MAX_VALUE}. */
    static int intValue(JsonNode parent, String key) throws IOException {
        long value = longValue(parent, key);
        if (value > Integer.MAX_VALUE) {
            throw new IOException("property '" + key + "' out of range: " + value);
        }
        return (int) value;
    }
}

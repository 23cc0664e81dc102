package brackenbridge.fleet.agreed;

import com.fasterxml.jackson.databind.JsonNode;
import io.microraft.RaftEndpoint;
import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashSet;

/** Reads properties of a parsed tree; one that is missing or out of range is an {@link IOException}. */
final class JsonFields {
    private JsonFields() {}

    /** The voters of a list, in its order. */
    static Collection<RaftEndpoint> endpoints(JsonNode parent, String key) throws IOException {
        // The library's members keep the order in which they came.
        Collection<RaftEndpoint> endpoints = new LinkedHashSet<>();
        for (JsonNode element : required(parent, key)) {
            endpoints.add(VoterEndpoint.parse(element.asText()));
        }
        return endpoints;
    }

    /** A property that must be there. */
    static JsonNode required(JsonNode parent, String key) throws IOException {
        JsonNode value = parent == null ? null : parent.get(key);
        if (value == null || value.isNull()) {
            throw new IOException("no " + key);
        }
        return value;
    }

    /** A voter. */
    static RaftEndpoint endpoint(JsonNode parent, String key) throws IOException {
        return VoterEndpoint.parse(text(parent, key));
    }

    /** A text. */
    static String text(JsonNode parent, String key) throws IOException {
        return required(parent, key).asText();
    }

    /** A number from 0 on. */
    static long longValue(JsonNode parent, String key) throws IOException {
        JsonNode value = required(parent, key);
        if (!value.canConvertToLong() || value.asLong() < 0) {
            throw new IOException(key + ": " + value);
        }
        return value.asLong();
    }

    /** A number from 0 to {@link Integer#MAX_VALUE}. */
    static int intValue(JsonNode parent, String key) throws IOException {
        long value = longValue(parent, key);
        if (value > Integer.MAX_VALUE) {
            throw new IOException(key + ": " + value);
        }
        return (int) value;
    }
}

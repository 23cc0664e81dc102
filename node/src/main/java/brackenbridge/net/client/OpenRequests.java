package brackenbridge.net.client;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The open requests by request id, and the correlation ids in use. */
final class OpenRequests {
    private final Map<Long, ClientConnection> connections = new HashMap<>();
    private final Set<String> correlationIds = new HashSet<>();
    private long requestCount;

    /** Reserves a correlation id; returns false if another open request uses it. */
    boolean reserveCorrelationId(String correlationId) {
        return correlationIds.add(correlationId);
    }

    /** Releases a correlation id; does nothing for null. */
    void releaseCorrelationId(String correlationId) {
        correlationIds.remove(correlationId);
    }

    /** Opens a request of this connection and returns its new id. */
    long open(ClientConnection connection) {
        long requestId = requestCount++;
        connections.put(requestId, connection);
        return requestId;
    }

    /** The connection of an open request; null if the request is not open. */
    ClientConnection connectionOf(long requestId) {
        return connections.get(requestId);
    }

    /** Closes a request and returns its connection; null if the request was not open. */
    ClientConnection close(long requestId) {
        return connections.remove(requestId);
    }
}

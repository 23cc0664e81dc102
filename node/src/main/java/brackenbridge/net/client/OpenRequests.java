package brackenbridge.net.client;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The open requests by request id, and the correlation ids that no further request may use. */
final class OpenRequests {
    /** Longer than servers work on a request whose client has left. */
    private static final double REFUSED_ID_RETENTION_MS = 30_000;

    private static final int MAX_REFUSED_IDS = 8192;

    /** An id that is refused although no open request uses it. */
    private record RefusedId(String correlationId, double untilMs) {}

    private final Map<Long, ClientConnection> connections = new HashMap<>();
    private final Set<String> correlationIds = new HashSet<>();
    private final ArrayDeque<RefusedId> refusedIds = new ArrayDeque<>();
    private long requestCount;

    /** Reserves a correlation id; returns false if another open request uses it, or it is refused. */
    boolean reserveCorrelationId(String correlationId, double nowMs) {
        while (!refusedIds.isEmpty() && refusedIds.peek().untilMs() < nowMs) {
            releaseCorrelationId(refusedIds.poll().correlationId());
        }
        return correlationIds.add(correlationId);
    }

    /** Refuses an id for a while that no open request uses; beyond a limit, the oldest such id is accepted again. */
    void refuseCorrelationId(String correlationId, double nowMs) {
        correlationIds.add(correlationId);
        refusedIds.add(new RefusedId(correlationId, nowMs + REFUSED_ID_RETENTION_MS));
        if (refusedIds.size() > MAX_REFUSED_IDS) {
            releaseCorrelationId(refusedIds.poll().correlationId());
        }
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

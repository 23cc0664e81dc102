package brackenbridge.net.client;

import brackenbridge.core.Event;

/** The latest request of a connection: whether it is open, and whether the connection stays open after it. */
final class CurrentRequest {
    private static final long NO_REQUEST = -1;

    private final ClientConnection connection;
    private final ClientContext context;
    /** Id of the open request; kept after its client has disconnected. */
    private long requestId = NO_REQUEST;
    /** Correlation id of the open request; null if there is none. */
    private String correlationId;

    private boolean keepAlive;
    private boolean http11;

    CurrentRequest(ClientConnection connection, ClientContext context) {
        this.connection = connection;
        this.context = context;
    }

    /** The open request's id; negative if there is none. */
    long id() {
        return requestId;
    }

    /** Correlation id of the open request; null if there is none. */
    String correlationId() {
        return correlationId;
    }

    /** Whether a request is open. */
    boolean isOpen() {
        return requestId >= 0;
    }

    /** Whether the request uses HTTP/1.1. */
    boolean isHttp11() {
        return http11;
    }

    /** Whether the connection is kept alive for another request. */
    boolean isKeptAlive() {
        return keepAlive;
    }

    /** Closes the connection after the response in progress, or after the next one. */
    void endConnectionAfterResponse() {
        keepAlive = false;
    }

    /** Handles the complete head of a request. */
    void onHead(boolean isHttp11, boolean isKeptAlive) {
        http11 = isHttp11;
        keepAlive = isKeptAlive;
    }

    /** Sets the correlation id that the request has reserved; it is released with the response. */
    void setCorrelationId(String reserved) {
        correlationId = reserved;
    }

    /** Opens the request; returns its new id. */
    long open() {
        requestId = context.openRequests().open(connection);
        return requestId;
    }

    /** Closes the open request, if any, as its response begins; returns its id, or a negative value. */
    long beginResponse() {
        long respondedRequest = requestId;
        requestId = NO_REQUEST;
        context.openRequests().releaseCorrelationId(correlationId);
        correlationId = null;
        return respondedRequest;
    }

    /** Ends the open request as if its client had disconnected; the connection stays open and can send a reason. */
    void withdraw() {
        long withdrawn = requestId;
        requestId = NO_REQUEST;
        reportDisconnected(withdrawn);
    }

    /** Handles the end of the connection. */
    void onDisconnected() {
        context.openRequests().releaseCorrelationId(correlationId);
        if (isOpen()) {
            reportDisconnected(requestId);
        }
    }

    private void reportDisconnected(long disconnected) {
        context.openRequests().close(disconnected);
        context.events().raise(new Event.ClientDisconnected(disconnected));
    }
}

package brackenbridge.net.client;

import brackenbridge.core.Event;

/** The latest request of one connection: whether it is open, and what it says of the connection. */
final class CurrentRequest {
    private static final long NO_REQUEST = -1;

    private final ClientConnection connection;
    private final ClientContext context;
    /** The open request, which stays known here after its client has disconnected. */
    private long requestId = NO_REQUEST;
    /** The correlation id of the open request; null if there is none. */
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

    /** Whether a request is open. */
    boolean isOpen() {
        return requestId >= 0;
    }

    /** Whether the client speaks HTTP/1.1. */
    boolean isHttp11() {
        return http11;
    }

    /** Whether the connection is kept for a next request. */
    boolean isKeptAlive() {
        return keepAlive;
    }

    /** The connection ends behind the response in progress, or the next one. */
    void endConnectionAfterResponse() {
        keepAlive = false;
    }

    /** The head of a request is complete. */
    void onHead(boolean isHttp11, boolean isKeptAlive) {
        http11 = isHttp11;
        keepAlive = isKeptAlive;
    }

    /** The request has reserved this correlation id, which is released with its response. */
    void setCorrelationId(String reserved) {
        correlationId = reserved;
    }

    /** Opens the request; returns its new id. */
    long open() {
        requestId = context.openRequests().open(connection);
        return requestId;
    }

    /** The open request, if there is one, gets its response; returns its id, or a negative one. */
    long beginResponse() {
        long respondedRequest = requestId;
        requestId = NO_REQUEST;
        context.openRequests().releaseCorrelationId(correlationId);
        correlationId = null;
        return respondedRequest;
    }

    /** Ends the open request as if its client had disconnected; the connection stays and can say why. */
    void withdraw() {
        long withdrawn = requestId;
        requestId = NO_REQUEST;
        reportDisconnected(withdrawn);
    }

    /** The connection has ended. */
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

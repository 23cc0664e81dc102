package brackenbridge.net.client;

import brackenbridge.core.ClientRequest;
import brackenbridge.core.Event;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.http.Headers;
import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpRequest;

/** Opens the requests of a connection in the reducer; serves health requests and rejects invalid ones itself. */
final class RequestOpener {
    private static final String TENANT_HEADER = "X-Account";
    private static final String CLIENT_RETRY_HEADER = "X-Repeat";

    private final ClientConnection connection;
    private final ClientContext context;
    /** Upper bound on the time that bytes found by the connection's first read waited in the backlog. */
    private double maxBacklogWaitMs;

    RequestOpener(ClientConnection connection, ClientContext context, double maxUnseenWaitMs) {
        this.connection = connection;
        this.context = context;
        this.maxBacklogWaitMs = maxUnseenWaitMs;
    }

    /** Whether the next request may have waited in the backlog before it was read. */
    boolean mayHaveWaitedInBacklog() {
        return maxBacklogWaitMs > 0;
    }

    /** Records that the next request can't have waited in the backlog. */
    void clearBacklogWait() {
        maxBacklogWaitMs = 0;
    }

    /** Opens or rejects a request; {@code message} is the request itself, or a streamed request with its first part. */
    void handleRequest(Object message, HttpRequest request, boolean complete) {
        connection.onRequestHead(request.http11(), request.keepAlive());
        String path = HealthEndpoints.pathOf(request.target());
        if (context.health().serves(path)) {
            respondHealth(request, path);
            return;
        }
        Headers headers = request.headers();
        String correlationId = headers.get(HttpEncoder.CORRELATION_ID);
        String timeLeft = headers.get(HttpEncoder.TIME_LEFT);
        RequestClass requestClass = context.validator().classOf(request);
        double nowMs = context.clock().nowMs();
        RequestRejection rejection =
                context.validator().validate(request, requestClass, correlationId, timeLeft, nowMs);
        if (rejection != null) {
            connection.writer().reject(rejection);
            return;
        }
        long requestId = connection.openRequest(correlationId);
        ClientRequest opened = new ClientRequest(
                requestClass.name(),
                headers.get(TENANT_HEADER),
                timeLeft == null ? -1 : Integer.parseInt(timeLeft),
                "1".equals(headers.get(CLIENT_RETRY_HEADER)),
                complete,
                maxBacklogWaitMs,
                message);
        context.events().raise(new Event.RequestReceived(requestId, opened));
        clearBacklogWait();
    }

    private void respondHealth(HttpRequest request, String path) {
        if (request.method().equals("GET")) {
            context.health().respond(path, connection.writer());
        } else {
            connection.writer().reject(RequestRejection.METHOD_MUST_BE_GET);
        }
    }
}

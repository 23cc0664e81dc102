package brackenbridge.net.upstream;

import brackenbridge.core.Event.ResponseKind;
import brackenbridge.http.HttpResponse;

/** Maps a server's response to the reply that the balancer receives. */
final class ResponseClassifier {
    private static final int OK = 200;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private ResponseClassifier() {}

    static ResponseKind classify(HttpResponse response) {
        int status = response.status();
        if (status == OK) {
            return ResponseKind.SERVED;
        }
        if (isUnprocessed(response)) {
            return ResponseKind.SERVER_FULL;
        }
        return isClientError(status) ? ResponseKind.INVALID_REQUEST : ResponseKind.ERROR;
    }

    /** Whether the server reports that it did not process the request at all. */
    private static boolean isUnprocessed(HttpResponse response) {
        return (response.status() == SERVICE_UNAVAILABLE || response.status() == GATEWAY_TIMEOUT)
                && "1".equals(response.headers().get("X-Unprocessed"));
    }

    /** Whether the request itself is at fault, so that no other server would serve it either. */
    private static boolean isClientError(int status) {
        return status >= FIRST_CLIENT_ERROR
                && status < FIRST_SERVER_ERROR
                && status != REQUEST_TIMEOUT
                && status != TOO_MANY_REQUESTS;
    }
}

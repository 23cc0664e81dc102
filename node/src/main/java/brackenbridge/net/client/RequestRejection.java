package brackenbridge.net.client;

/** Why a request is rejected before it is opened; the connection is closed after the response. */
enum RequestRejection {
    UNKNOWN_CLASS(404, "no such class", null),
    METHOD_MUST_BE_GET(405, "only GET", "GET"),
    METHOD_MUST_BE_POST(405, "only POST", "POST"),
    UNKNOWN_EXPECTATION(417, "unknown expectation", null),
    NO_CORRELATION_ID(400, "no X-Correlation-Id", null),
    MALFORMED_FIELD(400, "X-Time-Left-Ms or X-Correlation-Id amiss", null),
    DUPLICATE_CORRELATION_ID(409, "a request with this X-Correlation-Id is open", null);

    private final int status;
    private final String reason;
    private final String allowedMethod;

    RequestRejection(int status, String reason, String allowedMethod) {
        this.status = status;
        this.reason = reason;
        this.allowedMethod = allowedMethod;
    }

    /** The status of the response. */
    int status() {
        return status;
    }

    /** The text of the response's body. */
    String reason() {
        return reason;
    }

    /** The value of the response's Allow field; null if it has none. */
    String allowedMethod() {
        return allowedMethod;
    }
}

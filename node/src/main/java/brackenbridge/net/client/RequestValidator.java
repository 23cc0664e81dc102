package brackenbridge.net.client;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.counters.Counters;
import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpRequest;
import java.util.HashMap;
import java.util.Map;

/** Validates requests against the settings in force. */
final class RequestValidator {
    /** Header that identifies a request at its client and at the servers. */
    private static final String SERVICE_CLASS_HEADER = "X-Service-Class";

    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Counters counters;
    private final OpenRequests openRequests;

    RequestValidator(BalancerSettings settings, Counters counters, OpenRequests openRequests) {
        this.counters = counters;
        this.openRequests = openRequests;
        applySettings(settings);
    }

    /** Applies these settings to requests that are validated from now on. */
    void applySettings(BalancerSettings settings) {
        classes.clear();
        settings.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
    }

    /** The request class named by the path; null if there is none. */
    RequestClass classOf(HttpRequest request) {
        return classes.get(request.firstPathSegment());
    }

    /**
     * Returns why the request is rejected, or null if it may be opened; in that case its correlation id is reserved.
     *
     * @param request the request, whose path is not a health path
     * @param requestClass the class named by its path; null if there is none
     * @param correlationId its correlation id; null if it has none
     * @param timeLeft value of the time-left header; null if absent
     */
    RequestRejection validate(
            HttpRequest request, RequestClass requestClass, String correlationId, String timeLeft, double nowMs) {
        RequestRejection rejection = validateClass(request, requestClass);
        if (rejection != null) {
            return rejection;
        }
        String expectation = request.headers().get("Expect");
        if (expectation != null && !expectation.equalsIgnoreCase("100-continue")) {
            return RequestRejection.UNKNOWN_EXPECTATION;
        }
        if (correlationId == null || correlationId.isEmpty()) {
            return RequestRejection.NO_CORRELATION_ID;
        }
        if (request.headers().count(HttpEncoder.CORRELATION_ID) > 1
                || timeLeft != null && !timeLeft.matches("[0-9]{1,9}")) {
            return RequestRejection.MALFORMED_FIELD;
        }
        // Servers would take a second request with the same id for a duplicate of the first one, or run it again.
        boolean reserved = openRequests.reserveCorrelationId(correlationId, nowMs);
        return reserved ? null : RequestRejection.DUPLICATE_CORRELATION_ID;
    }

    private RequestRejection validateClass(HttpRequest request, RequestClass requestClass) {
        if (requestClass == null) {
            counters.countRemovedClass(request.firstPathSegment());
            return RequestRejection.UNKNOWN_CLASS;
        }
        String namedClass = request.headers().get(SERVICE_CLASS_HEADER);
        if (namedClass != null && !namedClass.equals(requestClass.name())) {
            return RequestRejection.UNKNOWN_CLASS;
        }
        boolean idempotent = requestClass.idempotence() == Idempotence.IDEMPOTENT;
        if (request.method().equals(idempotent ? "GET" : "POST")) {
            return null;
        }
        return idempotent ? RequestRejection.METHOD_MUST_BE_GET : RequestRejection.METHOD_MUST_BE_POST;
    }
}

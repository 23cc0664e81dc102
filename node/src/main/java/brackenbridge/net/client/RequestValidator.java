package brackenbridge.net.client;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.counters.Counters;
import brackenbridge.http.HttpRequest;
import java.util.HashMap;
import java.util.Map;

/** Decides by the settings in force whether a request may be opened. */
final class RequestValidator {
    /** Names the request of a client, at the client and at the servers. */
    static final String CORRELATION_ID_HEADER = "X-Correlation-Id";

    private static final String SERVICE_CLASS_HEADER = "X-Service-Class";

    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Counters counters;
    private final OpenRequests openRequests;

    RequestValidator(BalancerSettings settings, Counters counters, OpenRequests openRequests) {
        this.counters = counters;
        this.openRequests = openRequests;
        applySettings(settings);
    }

    /** Requests that are complete from now on are validated by these settings. */
    void applySettings(BalancerSettings settings) {
        classes.clear();
        settings.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
    }

    /** The class that a request's path names; null if there is none. */
    RequestClass classOf(HttpRequest request) {
        return classes.get(request.firstPart());
    }

    /**
     * Why the request is rejected; null if it may be opened, and its correlation id is then reserved.
     *
     * @param request the request, whose path the node doesn't answer itself
     * @param requestClass the class that its path names; null if there is none
     * @param correlationId its correlation id; null if it has none
     * @param timeLeft the time that its client waits, as sent; null if not sent
     */
    RequestRejection validate(HttpRequest request, RequestClass requestClass, String correlationId, String timeLeft) {
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
        if (request.headers().count(CORRELATION_ID_HEADER) > 1 || timeLeft != null && !timeLeft.matches("[0-9]{1,9}")) {
            return RequestRejection.MALFORMED_FIELD;
        }
        // The same id twice at the servers would be a second copy of the request that is open.
        boolean reserved = openRequests.reserveCorrelationId(correlationId);
        return reserved ? null : RequestRejection.DUPLICATE_CORRELATION_ID;
    }

    private RequestRejection validateClass(HttpRequest request, RequestClass requestClass) {
        if (requestClass == null) {
            counters.countDropped(request.firstPart());
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

package brackenbridge.fleet.agreed;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * A member's pending requests to the leader: proposals, role claims and operators' reads. Each is resent until it is
 * answered or times out. Confined to the member's thread.
 */
final class PendingRequests {
    private static final double RESEND_MS = 200;
    private static final int MAX_PENDING = 256;

    private static final class Request {
        private final AgreementMessage message;
        private final double untilMs;
        private final Consumer<AgreementMessage> onResponse;
        private final Runnable onTimeout;
        private double sentMs;

        Request(
                AgreementMessage message,
                double sentMs,
                double untilMs,
                Consumer<AgreementMessage> onResponse,
                Runnable onTimeout) {
            this.message = message;
            this.sentMs = sentMs;
            this.untilMs = untilMs;
            this.onResponse = onResponse;
            this.onTimeout = onTimeout;
        }
    }

    private final Consumer<AgreementMessage> sender;
    private final Map<Long, Request> requests = new TreeMap<>();
    private long lastNumber;

    /** Creates an empty set of requests; {@code sender} sends a message to the leader. */
    PendingRequests(Consumer<AgreementMessage> sender) {
        this.sender = sender;
    }

    /** Sends a request with a new number; if too many are pending, it times out at once. */
    void send(
            double nowMs,
            double untilMs,
            LongFunction<AgreementMessage> message,
            Consumer<AgreementMessage> onResponse,
            Runnable onTimeout) {
        if (requests.size() >= MAX_PENDING) {
            onTimeout.run();
            return;
        }
        long number = ++lastNumber;
        Request request = new Request(message.apply(number), nowMs, untilMs, onResponse, onTimeout);
        requests.put(number, request);
        sender.accept(request.message);
    }

    void complete(long number, AgreementMessage response) {
        Request request = requests.remove(number);
        if (request != null) {
            request.onResponse.accept(response);
        }
    }

    /** Resends the requests that are due, and ends those that have timed out. */
    void tick(double nowMs) {
        for (Iterator<Request> iterator = requests.values().iterator(); iterator.hasNext(); ) {
            Request request = iterator.next();
            if (nowMs >= request.untilMs) {
                iterator.remove();
                request.onTimeout.run();
            } else if (nowMs >= request.sentMs + RESEND_MS) {
                request.sentMs = nowMs;
                sender.accept(request.message);
            }
        }
    }

    /** Times out all requests. */
    void timeOutAll() {
        requests.values().forEach(request -> request.onTimeout.run());
        requests.clear();
    }
}

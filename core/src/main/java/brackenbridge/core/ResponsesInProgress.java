package brackenbridge.core;

import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;
import java.util.HashMap;
import java.util.Map;

/** Responses that are being written to clients; each is counted once, by the way its writing ends. */
final class ResponsesInProgress {
    /** A response and the counter to increment if it is written completely. */
    private record ResponseInProgress(String className, Counter counter) {}

    private final Map<Long, ResponseInProgress> responses = new HashMap<>();
    private final Counters counters;

    ResponsesInProgress(Counters counters) {
        this.counters = counters;
    }

    void add(OpenRequest request, Counter counterIfComplete) {
        responses.put(request.id, new ResponseInProgress(request.className, counterIfComplete));
    }

    void finish(long requestId, Event.ResponseEnd end) {
        ResponseInProgress response = responses.remove(requestId);
        if (response == null) {
            return;
        }
        Counter counter = switch (end) {
            case COMPLETE -> response.counter();
            case TRUNCATED -> Counter.ANSWERED_FAILED;
            case ABANDONED -> Counter.CLIENTS_DISCONNECTED;
        };
        counters.count(counter, response.className());
    }

    int count() {
        return responses.size();
    }
}

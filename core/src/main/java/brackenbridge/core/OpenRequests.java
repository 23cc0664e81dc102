package brackenbridge.core;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The table of open requests. */
final class OpenRequests {
    private final Map<Long, OpenRequest> requests = new HashMap<>();
    /** Removed requests whose tenant's quota is not released yet. */
    private final ArrayDeque<Long> removedIds = new ArrayDeque<>();

    private boolean tracksRemovals;
    private int unanswered;

    void add(OpenRequest request) {
        requests.put(request.id, request);
        unanswered++;
    }

    /** The request with this id; null if it is not open. */
    OpenRequest find(long requestId) {
        return requests.get(requestId);
    }

    /** The request if this attempt is in flight, else null: events of any other attempt are outdated. */
    OpenRequest findByCurrentAttempt(long requestId, int attempt) {
        OpenRequest request = requests.get(requestId);
        return request != null && request.attempt != null && request.attempt.number == attempt ? request : null;
    }

    Collection<OpenRequest> all() {
        return requests.values();
    }

    /** A copy, for loops that end requests. */
    List<OpenRequest> copyOfAll() {
        return List.copyOf(requests.values());
    }

    /** The number of requests whose clients wait for a final response. */
    int unanswered() {
        return unanswered;
    }

    /** Hosts to which an attempt is in flight. */
    Set<String> hostsInUse() {
        Set<String> hosts = new HashSet<>();
        for (OpenRequest request : requests.values()) {
            if (request.attempt != null) {
                hosts.add(request.attempt.host);
            }
        }
        return hosts;
    }

    /**
     * Marks a request as ended, because it has its final response or needs none; it is removed once no attempt is in
     * flight.
     */
    void end(ReducerContext context, OpenRequest request) {
        request.ended = true;
        unanswered--;
        if (request.attempt == null) {
            remove(context, request);
        }
    }

    /**
     * Removes a request and cancels its timer. Guards against unbounded memory: a client may send any time left, and
     * the timer must not outlive its request.
     */
    void remove(ReducerContext context, OpenRequest request) {
        if (requests.remove(request.id, request)) {
            if (tracksRemovals) {
                removedIds.add(request.id);
            }
            context.addEffect(new Effect.CancelTimer(new TimerKey.RequestDeadline(request.id)));
        }
    }

    /** From now on {@link #removedIds} records the requests that are removed. */
    void startTrackingRemovals() {
        tracksRemovals = true;
    }

    /** Removed requests, oldest first; the caller polls those that it handles. */
    ArrayDeque<Long> removedIds() {
        return removedIds;
    }
}

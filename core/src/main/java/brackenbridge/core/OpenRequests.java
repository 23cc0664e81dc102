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
    /** Requests that were removed and whose tenant's quota is not released yet. */
    private final ArrayDeque<Long> removedIds = new ArrayDeque<>();

    private boolean tracksRemovals;
    private int unanswered;

    void add(OpenRequest request) {
        requests.put(request.id, request);
        unanswered++;
    }

    /** The request of this id; null if it is not open. */
    OpenRequest find(long requestId) {
        return requests.get(requestId);
    }

    /** The request if this attempt is the one in flight, else null: an event of any other attempt comes too late. */
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

    /** Requests without a final answer whose clients wait for one. */
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

    /** The request has its final answer, or needs none; it is removed once no attempt of it is in flight. */
    void end(ReducerContext context, OpenRequest request) {
        request.ended = true;
        unanswered--;
        if (request.attempt == null) {
            remove(context, request);
        }
    }

    /**
     * Removes a request with its timer. Guards memory: a client may name any time left, and its timer must not outlive
     * its request.
     */
    void remove(ReducerContext context, OpenRequest request) {
        if (requests.remove(request.id, request)) {
            if (tracksRemovals) {
                removedIds.add(request.id);
            }
            context.addEffect(new Effect.CancelTimer(new TimerKey.RequestDeadline(request.id)));
        }
    }

    /** From now on {@link #removedIds} holds the requests that are removed. */
    void startTrackingRemovals() {
        tracksRemovals = true;
    }

    /** Requests that were removed, oldest first; whoever handles one takes it out. */
    ArrayDeque<Long> removedIds() {
        return removedIds;
    }
}

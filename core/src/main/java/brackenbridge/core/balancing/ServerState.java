package brackenbridge.core.balancing;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** A server known from an endpoint list, with its queues and measurements; times are in microseconds. */
final class ServerState {
    final long id;
    /** The number of servers that were listed before it. */
    final long listIndex;
    /** Its position on the ring of its zone, at least 0 and below 1; the same at every instance. */
    final double ringPosition;

    Endpoint endpoint;
    /**
     * When it last started, but no later than when this was learned; with a start time in the future it would not warm
     * up.
     */
    long warmingSince;
    /** The requests queued for it, by priority level. */
    ArrayDeque<QueuedRequest>[] queues;
    /** The number of requests queued for it. */
    int queuedCount;

    int inFlight;
    /** When it was removed from the list; valid only while it is unlisted. */
    long removedAt;
    /** Whether it is one of the servers that this instance uses. */
    boolean inSubset;
    /** Whether it takes part in the weighted round robin: it is in the subset and not ejected. */
    boolean inRotation;

    boolean isIdle;
    /** Virtual time of its next turn in the weighted round robin. */
    double nextTurn;
    /** Moving average of the ratio of its response times to the means of their classes. */
    double relativeTime = 1;
    /** The paper's measured time: moving average of its response times; 0 before the first response. */
    double measuredTime;
    /** The number of ejections since its error ratio was last low. */
    int consecutiveEjections;
    /** The requests recently sent to it, which limit those that it may be sent while it warms up. */
    final SlowStartBudget budget = new SlowStartBudget();
    /** Moving average of its error ratio. */
    double errorRatio;

    private final Map<RequestClassState, EndpointHealth> healthByClass = new HashMap<>();
    /** Whether it is ejected as an outlier, until ejectedUntil at least. */
    boolean ejected;

    long ejectedUntil;

    ServerState(Endpoint endpoint, long listIndex, int levels, long now) {
        this.id = endpoint.id();
        this.listIndex = listIndex;
        this.endpoint = endpoint;
        this.warmingSince = Math.min(endpoint.startedAt(), now);
        this.ringPosition = hash53(id) * 0x1p-53;
        this.queues = createQueues(levels);
    }

    /** Returns its recent errors for this class. */
    EndpointHealth health(RequestClassState requestClass) {
        return healthByClass.computeIfAbsent(requestClass, c -> new EndpointHealth());
    }

    /** Rebuilds its queues by the current levels of its requests, and forgets classes that are no longer configured. */
    void rebuildQueues(int levels, Collection<RequestClassState> classes) {
        ArrayDeque<QueuedRequest>[] before = queues;
        queues = createQueues(levels);
        for (ArrayDeque<QueuedRequest> queue : before) {
            queue.forEach(request -> queues[request.level].add(request));
        }
        healthByClass.keySet().retainAll(classes);
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private static ArrayDeque<QueuedRequest>[] createQueues(int levels) {
        ArrayDeque<QueuedRequest>[] created = new ArrayDeque[levels];
        for (int i = 0; i < levels; i++) {
            created[i] = new ArrayDeque<>(2);
        }
        return created;
    }

    /** The finalizer of SplitMix64, cut to 53 bits. */
    private static long hash53(long id) {
        long mixed = id + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return (mixed ^ (mixed >>> 31)) >>> 11;
    }
}

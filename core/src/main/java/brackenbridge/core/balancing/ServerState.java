package brackenbridge.core.balancing;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** A server that some endpoint list has named, with its queues and what was measured of it; times in microseconds. */
final class ServerState {
    final long id;
    /** How many servers were listed before it. */
    final long listIndex;
    /** Its position on the ring of its zone, from 0 to 1; the same at every instance. */
    final double ringPosition;

    Endpoint endpoint;
    /** When it last started, at most the time at which that was learned: a later start would never warm up. */
    long warmingSince;
    /** The requests queued for it, by priority level. */
    ArrayDeque<QueuedRequest>[] queues;
    /** How many they are. */
    int queuedCount;

    int inFlight;
    /** Since when no list names it; meaningful only while none does. */
    long removedAt;
    /** Among the servers that this instance uses. */
    boolean inSubset;
    /** In the subset and not ejected: takes part in the weighted round robin. */
    boolean inRotation;

    boolean isIdle;
    /** Virtual time of its next turn in the weighted round robin. */
    double nextTurn;
    /** Moving average of its response times over those usual for their classes. */
    double relativeTime = 1;
    /** The paper's measured time: moving average of its response times; 0 before the first response. */
    double measuredTime;
    /** Ejections since its error ratio was last low. */
    int consecutiveEjections;
    /** What it was sent of late, and what it may be sent while it warms up. */
    final SlowStartBudget budget = new SlowStartBudget();
    /** Moving average of the share of errors among its outcomes. */
    double errorRatio;

    private final Map<RequestClassState, EndpointHealth> healthByClass = new HashMap<>();
    /** Ejected as an outlier, until ejectedUntil. */
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

    /** How it has fared with this class. */
    EndpointHealth health(RequestClassState requestClass) {
        return healthByClass.computeIfAbsent(requestClass, c -> new EndpointHealth());
    }

    /** Queues its requests by the levels that they have now, and forgets classes that are no longer configured. */
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

    /** The finishing steps of SplitMix64, cut to 53 bits. */
    private static long hash53(long id) {
        long mixed = id + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return (mixed ^ (mixed >>> 31)) >>> 11;
    }
}

package brackenbridge.core.balancing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The priority queues of Andersson and Kihl, one for each server and priority level, with the paper's tests of tau and
 * f: equation 3 finds the requests that can no longer be served in time ({@link #cannotFinishInTime}), equation 4 the
 * request that is released when a server has a free slot ({@link #selectNext}).
 */
final class RequestQueues {
    /**
     * The paper's margin f: the fraction of a request's time tau that its queueing time and its expected response time
     * may use.
     */
    static final double DEADLINE_MARGIN = 0.9;
    /** The token of the timer at which queued requests expire. */
    static final String EXPIRY_TIMER = "expiry";
    /** How many queued requests are examined when a server takes one over. */
    private static final int MAX_TAKEOVER_CANDIDATES = 8;
    /** Bounds the entries of requests that have left the queues, beyond one for each queued request. */
    private static final int MAX_STALE_ENTRIES = 64;

    private final BalancerActions actions;
    /** The queued requests, oldest first, and stale entries. */
    private final ArrayDeque<QueuedRequest> oldestFirst = new ArrayDeque<>();
    /** The queued requests by the time at which they expire, and stale entries. */
    private final PriorityQueue<QueuedRequest> byExpiry =
            new PriorityQueue<>(Comparator.<QueuedRequest>comparingLong(request -> request.expiresAt)
                    .thenComparingLong(request -> request.id));
    /** The servers that have queued requests, in the order in which they were first listed. */
    private final TreeSet<ServerState> serversWithQueue =
            new TreeSet<>(Comparator.comparingLong(server -> server.listIndex));

    private int queuedCount;
    private long expiryTimerAt = Long.MAX_VALUE;

    RequestQueues(BalancerActions actions) {
        this.actions = actions;
    }

    /** The number of queued requests. */
    int size() {
        return queuedCount;
    }

    /** The number of entries, including stale ones. */
    int entryCount() {
        return oldestFirst.size() + byExpiry.size();
    }

    /** Queues a request for this server, or for any if it is null. */
    void add(long now, QueuedRequest request, ServerState server) {
        request.queued = true;
        request.server = server;
        queuedCount++;
        oldestFirst.add(request);
        if (oldestFirst.size() > 2 * queuedCount + MAX_STALE_ENTRIES) {
            removeStaleEntries();
        }
        if (server != null) {
            server.queues[request.level].add(request);
            server.queuedCount++;
            serversWithQueue.add(server);
        }
        byExpiry.add(request);
        armExpiryTimer(Math.max(now + 1, request.expiresAt));
    }

    /** Removes stale entries. Guards memory where no server frees a slot, which would remove them otherwise. */
    private void removeStaleEntries() {
        Set<QueuedRequest> remaining = new LinkedHashSet<>(oldestFirst);
        oldestFirst.clear();
        remaining.stream().filter(request -> request.queued).forEach(oldestFirst::add);
    }

    /** Removes a queued request. */
    void remove(QueuedRequest request) {
        request.queued = false;
        queuedCount--;
        ServerState server = request.server;
        if (server != null) {
            server.queues[request.level].remove(request);
            if (--server.queuedCount == 0) {
                serversWithQueue.remove(server);
            }
            request.server = null;
        }
    }

    /** Removes all requests that are queued for this server, and returns them in order of arrival. */
    List<QueuedRequest> removeAll(ServerState server) {
        List<QueuedRequest> removed = new ArrayList<>();
        for (ArrayDeque<QueuedRequest> queue : server.queues) {
            removed.addAll(queue);
        }
        removed.sort(Comparator.comparingLong((QueuedRequest request) -> request.arrival)
                .thenComparingLong(request -> request.id));
        removed.forEach(this::remove);
        return removed;
    }

    /** Returns the servers outside the subset that have queued requests. */
    List<ServerState> serversWithQueueOutsideSubset() {
        return serversWithQueue.stream().filter(server -> !server.inSubset).toList();
    }

    /**
     * Equation 3: below the top level a request can't finish in time at a server if its expected response time and the
     * time that it has waited reach tau f. At any level a retry can't be sent any more if its idempotency key expired
     * while it was queued.
     */
    static boolean cannotFinishInTime(long now, QueuedRequest request, ServerState server) {
        return !IdempotencyRules.allowsAttempt(now, request, server)
                || request.level > 0
                        && expectedTime(server, request) + (now - request.arrival)
                                >= request.timeBudget * DEADLINE_MARGIN;
    }

    /** The expected response time of a request of this class at this server. */
    private static double expectedTime(ServerState server, QueuedRequest request) {
        return server.measuredTime == 0
                ? 0
                : server.relativeTime * (request.requestClass.meanTime + request.requestClass.timeDeviation);
    }

    /**
     * Equation 4: returns the oldest among the heads of a server's queues, from the top level as far down as the
     * measured time of all requests down to that level fits within tau f; null if none is queued. Here tau is the least
     * time left among the heads of these queues.
     */
    static QueuedRequest selectNext(long now, ServerState server) {
        QueuedRequest oldest = null;
        double ahead = 0;
        double tau = Double.POSITIVE_INFINITY;
        for (int level = 0; level < server.queues.length; level++) {
            QueuedRequest head = server.queues[level].peek();
            ahead += server.queues[level].size() * server.measuredTime;
            if (head == null) {
                continue;
            }
            tau = Math.min(tau, head.timeBudget - (now - head.arrival));
            if (level > 0 && oldest != null && ahead >= tau * DEADLINE_MARGIN) {
                break;
            }
            if (oldest == null || head.arrival < oldest.arrival) {
                oldest = head;
            }
        }
        return oldest;
    }

    /** Removes and returns the oldest queued request that is suitable for this server; null if there is none. */
    QueuedRequest takeOverOldest(long now, ServerState server) {
        while (!oldestFirst.isEmpty() && !oldestFirst.peek().queued) {
            oldestFirst.poll();
        }
        int candidates = 0;
        for (QueuedRequest request : oldestFirst) {
            if (request.queued && OutlierDetection.isSuitable(now, request, server)) {
                remove(request);
                return request;
            }
            if (++candidates >= MAX_TAKEOVER_CANDIDATES) {
                break;
            }
        }
        return null;
    }

    /** Handles the expiry timer: drops the queued requests that have expired, and sets the timer for the next one. */
    void expire(long now, Consumer<QueuedRequest> drop) {
        expiryTimerAt = Long.MAX_VALUE;
        while (!byExpiry.isEmpty() && (byExpiry.peek().expiresAt <= now || !byExpiry.peek().queued)) {
            QueuedRequest request = byExpiry.poll();
            if (request.queued) {
                drop.accept(request);
            }
        }
        if (!byExpiry.isEmpty()) {
            armExpiryTimer(byExpiry.peek().expiresAt);
        }
    }

    private void armExpiryTimer(long at) {
        if (at < expiryTimerAt) {
            expiryTimerAt = at;
            actions.setTimer(at, EXPIRY_TIMER);
        }
    }
}

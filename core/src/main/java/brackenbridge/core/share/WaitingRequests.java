package brackenbridge.core.share;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The requests that wait for a connection, by tenant and by their latest start. */
final class WaitingRequests {
    /** A tenant's queue may hold this many cancelled requests in addition to one for each waiting request. */
    private static final int MAX_CANCELLED_PER_TENANT = 16;
    /** The expiry queue may hold this many ended entries in addition to one for each waiting request. */
    private static final int MAX_ENDED_IN_EXPIRY_QUEUE = 64;

    private final PriorityQueue<ScheduledRequest> byLatestStart =
            new PriorityQueue<>(Comparator.comparingDouble(request -> request.latestStartMs));
    private int count;

    int count() {
        return count;
    }

    void add(ScheduledRequest request) {
        Tenant tenant = request.tenant;
        tenant.waitingRequests.add(request);
        tenant.waiting++;
        count++;
        byLatestStart.add(request);
    }

    /** Removes and returns the oldest waiting request of a tenant that has one. */
    ScheduledRequest poll(Tenant tenant) {
        ScheduledRequest request = tenant.waitingRequests.poll();
        while (request.isCancelled()) {
            request = tenant.waitingRequests.poll();
        }
        tenant.waiting--;
        count--;
        return request;
    }

    /** Cancels a waiting request; its queue entries are skipped when they reach the front. */
    void cancel(ScheduledRequest request, double nowMs) {
        Tenant tenant = request.tenant;
        tenant.integrateUsage(nowMs);
        request.cancel();
        tenant.waiting--;
        count--;
        if (tenant.waiting == 0) {
            tenant.waitingRequests.clear();
            tenant.leaveQueue();
        }
        removeCancelledEntries(tenant);
    }

    /** Guards against memory that grows with the number of cancelled requests. */
    private void removeCancelledEntries(Tenant tenant) {
        if (tenant.waitingRequests.size() > 2 * tenant.waiting + MAX_CANCELLED_PER_TENANT) {
            tenant.waitingRequests.removeIf(ScheduledRequest::isCancelled);
        }
        if (byLatestStart.size() > 2 * count + MAX_ENDED_IN_EXPIRY_QUEUE) {
            byLatestStart.removeIf(request -> !request.isWaiting());
        }
    }

    /** Returns a request that can't start in time any more, or null; it stays in its tenant's queue until cancelled. */
    ScheduledRequest pollExpired(double nowMs) {
        while (!byLatestStart.isEmpty()) {
            ScheduledRequest first = byLatestStart.peek();
            if (first.isWaiting() && !(first.latestStartMs <= nowMs)) {
                return null;
            }
            byLatestStart.poll();
            if (first.isWaiting()) {
                return first;
            }
        }
        return null;
    }

    /** When the first request expires; infinite if none waits. Entries of ended requests may make it too early. */
    double nextExpiryMs() {
        return byLatestStart.isEmpty() ? Double.POSITIVE_INFINITY : byLatestStart.peek().latestStartMs;
    }
}

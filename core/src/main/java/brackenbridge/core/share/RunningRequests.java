package brackenbridge.core.share;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** The requests that hold a connection; charges their tenants and shares when they start and end. */
final class RunningRequests {
    private final TenantDirectory directory;
    private final FairQueue fairQueue;
    private final double maxLoanMs;
    private int count;

    RunningRequests(TenantDirectory directory, FairQueue fairQueue, double maxLoanMs) {
        this.directory = directory;
        this.fairQueue = fairQueue;
        this.maxLoanMs = maxLoanMs;
    }

    int count() {
        return count;
    }

    void start(ScheduledRequest request, double nowMs) {
        Tenant tenant = request.tenant;
        request.start(nowMs);
        count++;
        tenant.onStarted(request, nowMs, directory.weightWithinShare(tenant));
        tenant.share.onStarted(request, nowMs);
        fairQueue.chargeStart(tenant.share, request.expectedHoldMs);
    }

    void end(ScheduledRequest request, double nowMs) {
        Tenant tenant = request.tenant;
        QuotaShare share = tenant.share;
        tenant.integrateUsage(nowMs);
        tenant.leaveQueue();
        count--;
        tenant.onEnded(request, nowMs, directory.weightWithinShare(tenant));
        share.onEnded(request, nowMs);
        fairQueue.chargeEnd(share, nowMs - request.startedMs() - request.expectedHoldMs);
        tenant.enterQueue(nowMs, maxLoanMs);
        fairQueue.update(share, nowMs);
    }

    /**
     * The ids of the running requests beyond a maximum: those of the shares that exceed their quota most, oldest first.
     */
    List<Long> selectExcess(int maxRunning, Collection<ScheduledRequest> requests) {
        if (count <= maxRunning) {
            return List.of();
        }
        return requests.stream()
                .filter(ScheduledRequest::isRunning)
                .sorted(Comparator.<ScheduledRequest>comparingDouble(RunningRequests::negatedQuotaUtilization)
                        .thenComparingDouble(ScheduledRequest::startedMs))
                .limit(count - maxRunning)
                .map(request -> request.id)
                .toList();
    }

    private static double negatedQuotaUtilization(ScheduledRequest request) {
        QuotaShare share = request.tenant.share;
        return -(share.running / share.effectiveQuota());
    }
}

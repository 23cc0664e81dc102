package brackenbridge.core.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which tenant's request starts next, by each tenant's quota of the node's connections. A request passes it
 * before it reaches the balancer.
 *
 * <p>Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996; with many servers at once, Jin, Chase and Kaur,
 * SIGMETRICS 2004) over tenants: each request advances its tenant's finish tag by its connection time divided by the
 * tenant's quota. The expected hold time is charged when the request starts and is corrected to the actual one when it
 * ends; a request that runs longer than expected is charged meanwhile. Virtual time runs with the clock, so that a
 * tenant that uses its full quota advances its tag as fast as time passes. A finish tag lags virtual time by at most
 * {@link SchedulerLimits#maxBurstMs}. This lag is the tenant's burst credit: it lets the tenant hold up to twice its
 * quota, which consumes the credit. Tenants below their quota precede all others. Capacity that no such tenant uses is
 * lent, by weights, to tenants whose requests are short enough to return it within {@link SchedulerLimits#maxLoanMs}.
 *
 * <p>Tenants that are not named in {@link TenantQuotas} share one quota, divided among them by the same method. No
 * request starts while the number of running requests has reached the sum of all quotas. Until the first quotas are
 * received, every request is admitted. Each request costs at most logarithmic time in the number of waiting tenants.
 * Idle tenants use no memory. Not thread-safe; time must be monotonic.
 */
public final class TenantScheduler {
    private final SchedulerLimits limits;
    private final VirtualTime virtualTime = new VirtualTime();
    private final FairQueue fairQueue;
    private final TenantDirectory directory;
    private final RunningRequests runningRequests;
    private final WaitingRequests waitingRequests = new WaitingRequests();
    private final WaitEstimator waitEstimator;
    private final UsageReports usageReports;
    /** All running and waiting requests. */
    private final Map<Long, ScheduledRequest> requests = new HashMap<>();

    private TenantQuotas quotas;
    private boolean guaranteedOnly;
    private int maxRunning = Integer.MAX_VALUE;

    /** Creates a scheduler without quotas. */
    public TenantScheduler(SchedulerLimits limits) {
        this.limits = limits;
        SpareCapacity spareCapacity = new SpareCapacity(limits.maxLoanMs());
        this.fairQueue = new FairQueue(limits.maxBurstMs(), virtualTime, spareCapacity);
        this.directory = new TenantDirectory(limits, spareCapacity, fairQueue);
        this.runningRequests = new RunningRequests(directory, fairQueue, limits.maxLoanMs());
        this.waitEstimator = new WaitEstimator(limits.maxLoanMs());
        this.usageReports = new UsageReports(directory, fairQueue);
    }

    /**
     * Limits of a scheduler.
     *
     * @param maxBurstMs the maximum burst credit, in milliseconds at the full quota
     * @param maxLoanMs the longest hold time of a tenant that may borrow, in milliseconds
     * @param maxWaiting the maximum number of waiting requests, over all tenants
     * @param maxTenants the maximum number of known tenants; requests of others count as requests without a tenant
     */
    public record SchedulerLimits(double maxBurstMs, double maxLoanMs, int maxWaiting, int maxTenants) {
        /** The limits of a node. */
        public static final SchedulerLimits NODE_LIMITS = new SchedulerLimits(250, 1000, 4096, 200_000);

        /** Rejects limits that are out of range. */
        public SchedulerLimits {
            if (!(maxBurstMs >= 0) || !(maxLoanMs >= 0) || maxWaiting < 0 || maxTenants < 1) {
                throw new IllegalArgumentException("scheduler limits out of range: maxBurstMs " + maxBurstMs
                        + ", maxLoanMs " + maxLoanMs + ", maxWaiting " + maxWaiting + ", maxTenants " + maxTenants);
            }
        }
    }

    /** The decision about a new request. */
    public enum AdmissionVerdict {
        /** It starts now. */
        ADMIT,
        /** It waits: a later {@link SchedulingResult} contains it. */
        QUEUE,
        /** It can't be served in time. */
        REJECT
    }

    /**
     * The decision about a new request.
     *
     * @param verdict whether it is admitted, queued or rejected
     * @param retryAfterMs if rejected: when its client may retry, in milliseconds from now
     */
    public record AdmissionDecision(AdmissionVerdict verdict, double retryAfterMs) {
        private static final AdmissionDecision ADMITTED = new AdmissionDecision(AdmissionVerdict.ADMIT, 0);
        private static final AdmissionDecision QUEUED = new AdmissionDecision(AdmissionVerdict.QUEUE, 0);
    }

    /** Applies new quotas; those of a lower epoch than the last are ignored. */
    public SchedulingResult applyQuotas(double nowMs, TenantQuotas newQuotas) {
        if (quotas != null && newQuotas.epoch() < quotas.epoch()) {
            return SchedulingResult.NONE;
        }
        advanceTime(nowMs);
        quotas = newQuotas;
        guaranteedOnly = !(nowMs < newQuotas.expiresAtMs());
        applyQuotasInForce(nowMs);
        return schedule(nowMs);
    }

    private void applyQuotasInForce(double nowMs) {
        double sum = directory.applyQuotas(quotas, guaranteedOnly);
        maxRunning = (int) Math.min(Integer.MAX_VALUE - 1.0, Math.floor(sum + FairQueue.TOLERANCE));
        virtualTime.setRate(sum > 0 ? Math.min(1, maxRunning / sum) : 0);
        directory.reassignShares(nowMs);
    }

    /**
     * Admits, queues or rejects a new request.
     *
     * @param tenant its tenant; null if none
     * @param deadlineMs when its response is due
     * @param expectedHoldMs how long it is expected to hold a connection; if 0 or less, the mean of its tenant's
     *     requests
     * @throws IllegalArgumentException if a request with this id is running or waiting
     */
    public AdmissionDecision onRequest(
            double nowMs, long requestId, String tenant, double deadlineMs, double expectedHoldMs) {
        advanceTime(nowMs);
        Tenant owner = directory.findOrCreate(tenant == null ? "" : tenant, nowMs);
        double holdMs = expectedHoldMs > 0 ? expectedHoldMs : owner.expectedHoldMs();
        ScheduledRequest request = new ScheduledRequest(requestId, owner, holdMs, deadlineMs - holdMs);
        if (requests.putIfAbsent(requestId, request) != null) {
            throw new IllegalArgumentException("request " + requestId + " is already running or waiting");
        }
        owner.integrateUsage(nowMs);
        if (quotas == null || mayStartAtOnce(owner, nowMs)) {
            runningRequests.start(request, nowMs);
            fairQueue.update(owner.share, nowMs);
            return AdmissionDecision.ADMITTED;
        }
        return queueOrReject(request, nowMs);
    }

    /** Guards against overtaking waiting requests that precede the new one. */
    private boolean mayStartAtOnce(Tenant tenant, double nowMs) {
        return runningRequests.count() < maxRunning
                && !fairQueue.hasEligibleShares()
                && tenant.waiting == 0
                && tenant.mayStartAnother(nowMs, limits.maxLoanMs())
                && fairQueue.mayStartAtOnce(tenant.share, nowMs);
    }

    private AdmissionDecision queueOrReject(ScheduledRequest request, double nowMs) {
        Tenant tenant = request.tenant;
        double waitMs = waitEstimator.waitMs(tenant, nowMs, maxRunning);
        double slackMs = request.latestStartMs - nowMs;
        if (waitingRequests.count() >= limits.maxWaiting() || !(waitMs <= slackMs)) {
            requests.remove(request.id);
            tenant.rejected++;
            double latenessMs = waitMs - Math.max(0, slackMs);
            return new AdmissionDecision(
                    AdmissionVerdict.REJECT,
                    waitEstimator.retryAfterMs(latenessMs, request.expectedHoldMs, maxRunning));
        }
        waitingRequests.add(request);
        tenant.enterQueue(nowMs, limits.maxLoanMs());
        fairQueue.update(tenant.share, nowMs);
        return AdmissionDecision.QUEUED;
    }

    /** A running or waiting request has its response or was given up; unknown requests are ignored. */
    public SchedulingResult onRequestEnded(double nowMs, long requestId) {
        ScheduledRequest request = requests.remove(requestId);
        if (request == null) {
            return SchedulingResult.NONE;
        }
        advanceTime(nowMs);
        if (request.isRunning()) {
            runningRequests.end(request, nowMs);
        } else {
            cancel(request, nowMs);
        }
        return schedule(nowMs);
    }

    /** The client of a waiting request has disconnected; the same as {@link #onRequestEnded}. */
    public SchedulingResult onClientDisconnected(double nowMs, long requestId) {
        return onRequestEnded(nowMs, requestId);
    }

    /** The time of {@link #nextTimerMs} has come. */
    public SchedulingResult onTimer(double nowMs) {
        advanceTime(nowMs);
        if (quotas != null && !guaranteedOnly && !(nowMs < quotas.expiresAtMs())) {
            guaranteedOnly = true;
            applyQuotasInForce(nowMs);
        }
        return schedule(nowMs);
    }

    /** When {@link #onTimer} must be called next; infinite if no step is due. */
    public double nextTimerMs() {
        double quotasExpireAtMs = quotas == null || guaranteedOnly ? Double.POSITIVE_INFINITY : quotas.expiresAtMs();
        double nextMs = Math.min(quotasExpireAtMs, waitingRequests.nextExpiryMs());
        return runningRequests.count() < maxRunning ? Math.min(nextMs, fairQueue.nextRefillMs()) : nextMs;
    }

    /** The number of running requests. */
    public int running() {
        return runningRequests.count();
    }

    /** The number of waiting requests. */
    public int waiting() {
        return waitingRequests.count();
    }

    /** The number of requests that may run at the same time; {@link Integer#MAX_VALUE} until quotas are received. */
    public int maxRunning() {
        return maxRunning;
    }

    /** The number of known tenants. */
    public int tenantCount() {
        return directory.tenants().size();
    }

    /**
     * The running requests beyond {@link #maxRunning}, for a node that is disconnected from the fleet to give up when
     * they outlast its lease by more than the fleet waits. Requests of the shares that exceed their quota most come
     * first, the oldest of them foremost.
     */
    public List<Long> selectExcessRequests(double nowMs) {
        onTimer(nowMs);
        return runningRequests.selectExcess(maxRunning, requests.values());
    }

    /** The demand and usage of each tenant since the last call; idle tenants are removed. */
    public List<TenantUsage> takeUsage(double nowMs) {
        advanceTime(nowMs);
        return usageReports.take(nowMs);
    }

    private void advanceTime(double nowMs) {
        if (!virtualTime.isStarted()) {
            virtualTime.start(nowMs);
            usageReports.start(nowMs);
        }
        virtualTime.advance(nowMs);
    }

    private void cancel(ScheduledRequest request, double nowMs) {
        waitingRequests.cancel(request, nowMs);
        fairQueue.update(request.tenant.share, nowMs);
    }

    /** Rejects waiting requests that can't start in time any more, then starts those that may start. */
    private SchedulingResult schedule(double nowMs) {
        List<SchedulingResult.Rejection> rejected = rejectExpired(nowMs);
        fairQueue.updateRefilled(nowMs);
        List<Long> admitted = admitWaiting(nowMs);
        return admitted.isEmpty() && rejected.isEmpty()
                ? SchedulingResult.NONE
                : new SchedulingResult(admitted, rejected);
    }

    private List<SchedulingResult.Rejection> rejectExpired(double nowMs) {
        List<SchedulingResult.Rejection> rejected = List.of();
        ScheduledRequest request = waitingRequests.pollExpired(nowMs);
        while (request != null) {
            requests.remove(request.id);
            cancel(request, nowMs);
            request.tenant.rejected++;
            double waitMs = waitEstimator.waitMs(request.tenant, nowMs, maxRunning);
            double retryAfterMs = waitEstimator.retryAfterMs(waitMs, request.expectedHoldMs, maxRunning);
            rejected = rejected.isEmpty() ? new ArrayList<>() : rejected;
            rejected.add(new SchedulingResult.Rejection(request.id, retryAfterMs));
            request = waitingRequests.pollExpired(nowMs);
        }
        return rejected;
    }

    private List<Long> admitWaiting(double nowMs) {
        List<Long> admitted = List.of();
        while (runningRequests.count() < maxRunning) {
            QuotaShare share = fairQueue.next(nowMs);
            if (share == null) {
                break;
            }
            admitted = admitted.isEmpty() ? new ArrayList<>() : admitted;
            admitted.add(startNext(share, nowMs));
        }
        return admitted;
    }

    private long startNext(QuotaShare share, double nowMs) {
        Tenant tenant = share.waitingTenants.first();
        tenant.integrateUsage(nowMs);
        tenant.leaveQueue();
        ScheduledRequest request = waitingRequests.poll(tenant);
        runningRequests.start(request, nowMs);
        tenant.enterQueue(nowMs, limits.maxLoanMs());
        fairQueue.update(share, nowMs);
        return request.id;
    }
}

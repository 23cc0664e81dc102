package brackenbridge.core.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which tenant's request starts next, by each tenant's quota of the node's connections. It stands between
 * admission and the first attempt.
 *
 * <p>Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996; with many servers at once, Jin, Chase and Kaur,
 * SIGMETRICS 2004) over tenants: each request moves its tenant's finish tag on by its connection time divided by its
 * quota, by the expected time when it starts and by the time it took when it ends; one that is still running beyond
 * that is charged meanwhile. Virtual time runs with the clock, so that a quota in full use moves its tag as fast as
 * time passes. A finish tag stays behind virtual time by {@link SchedulerLimits#maxBurstMs} at most, which is the
 * tenant's burst credit: it lets the tenant hold up to twice its quota and is used up by that. A tenant that holds
 * less than its quota goes before all that hold more. Capacity that no tenant may claim is lent, by weights, to tenants
 * whose requests are short enough to return it within {@link SchedulerLimits#maxLoanMs}.
 *
 * <p>Tenants that are not named in {@link TenantQuotas} share one quota, by the same method among themselves. No
 * request starts while as many run as all quotas make together. Until the first quotas are received every request is
 * admitted. Each request costs at most logarithmic time in the tenants that wait. Idle tenants use no memory. Not
 * thread-safe; time must not go back.
 */
public final class TenantScheduler {
    private final SchedulerLimits limits;
    private final VirtualTime virtualTime = new VirtualTime();
    private final FairQueue fairQueue;
    private final TenantDirectory directory;
    private final RunningRequests runningRequests;
    private final WaitingRequests waitingRequests = new WaitingRequests();
    private final WaitEstimator waitEstimator;
    private final UseReports useReports;
    /** All requests that run or wait. */
    private final Map<Long, ScheduledRequest> requests = new HashMap<>();

    private TenantQuotas quotas;
    private boolean guaranteedOnly;
    private int maxRunning = Integer.MAX_VALUE;

    /** A scheduler without quotas. */
    public TenantScheduler(SchedulerLimits limits) {
        this.limits = limits;
        SpareCapacity spareCapacity = new SpareCapacity(limits.maxLoanMs());
        this.fairQueue = new FairQueue(limits.maxBurstMs(), virtualTime, spareCapacity);
        this.directory = new TenantDirectory(limits, spareCapacity, fairQueue);
        this.runningRequests = new RunningRequests(directory, fairQueue, limits.maxLoanMs());
        this.waitEstimator = new WaitEstimator(limits.maxLoanMs());
        this.useReports = new UseReports(directory, fairQueue);
    }

    /**
     * Bounds of a scheduler.
     *
     * @param maxBurstMs maximum burst credit, in milliseconds of the quota
     * @param maxLoanMs a tenant whose requests hold a connection for longer may not borrow; milliseconds
     * @param maxWaiting requests that wait at the same time, over all tenants
     * @param maxTenants tenants that are distinguished; requests of further ones count as requests without a tenant
     */
    public record SchedulerLimits(double maxBurstMs, double maxLoanMs, int maxWaiting, int maxTenants) {
        /** For a node. */
        public static final SchedulerLimits NODE_LIMITS = new SchedulerLimits(250, 1000, 4096, 200_000);

        /** Rejects limits that can't be kept. */
        public SchedulerLimits {
            if (!(maxBurstMs >= 0) || !(maxLoanMs >= 0) || maxWaiting < 0 || maxTenants < 1) {
                throw new IllegalArgumentException(
                        "limits: " + maxBurstMs + ", " + maxLoanMs + ", " + maxWaiting + ", " + maxTenants);
            }
        }
    }

    /** What happens to a request that has just arrived. */
    public enum AdmissionVerdict {
        /** Send it now. */
        ADMIT,
        /** It waits for its turn: a later {@link SchedulingResult} names it. */
        QUEUE,
        /** It can't be served in time. */
        REJECT
    }

    /**
     * What happens to a request that has just arrived.
     *
     * @param verdict whether it is admitted, queued or rejected
     * @param retryAfterMs if rejected: when its client may send it again, in milliseconds from now
     */
    public record AdmissionDecision(AdmissionVerdict verdict, double retryAfterMs) {
        private static final AdmissionDecision ADMITTED_NOW = new AdmissionDecision(AdmissionVerdict.ADMIT, 0);
        private static final AdmissionDecision QUEUED_FOR_TURN = new AdmissionDecision(AdmissionVerdict.QUEUE, 0);
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
     * A request has arrived.
     *
     * @param tenant its tenant; null if none
     * @param deadlineMs when its response must be there
     * @param expectedMs how long it will hold a connection; 0 or less if unknown: what its tenant's do on average
     * @throws IllegalArgumentException if a request of this id runs or waits
     */
    public AdmissionDecision onRequest(
            double nowMs, long requestId, String tenant, double deadlineMs, double expectedMs) {
        advanceTime(nowMs);
        Tenant owner = directory.findOrCreate(tenant == null ? "" : tenant, nowMs);
        double holdMs = expectedMs > 0 ? expectedMs : owner.expectedHoldMs();
        ScheduledRequest request = new ScheduledRequest(requestId, owner, holdMs, deadlineMs - holdMs);
        if (requests.putIfAbsent(requestId, request) != null) {
            throw new IllegalArgumentException("flow " + requestId + " was opened before");
        }
        owner.integrateUse(nowMs);
        if (quotas == null || mayStartAtOnce(owner, nowMs)) {
            runningRequests.start(request, nowMs);
            fairQueue.update(owner.share, nowMs);
            return AdmissionDecision.ADMITTED_NOW;
        }
        return queueOrReject(request, nowMs);
    }

    /** Guards against a request that overtakes those that wait with a better claim. */
    private boolean mayStartAtOnce(Tenant tenant, double nowMs) {
        return runningRequests.count() < maxRunning
                && !fairQueue.hasSharesBelowQuota()
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
                    AdmissionVerdict.REJECT, waitEstimator.retryAfterMs(latenessMs, request.expectedMs, maxRunning));
        }
        waitingRequests.add(request);
        tenant.enterQueue(nowMs, limits.maxLoanMs());
        fairQueue.update(tenant.share, nowMs);
        return AdmissionDecision.QUEUED_FOR_TURN;
    }

    /** A request has its response or is given up, whether it runs or waits; unknown ones are ignored. */
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

    /** When {@link #onTimer} is to be called; infinite if nothing depends on time. */
    public double nextTimerMs() {
        double quotasEndMs = quotas == null || guaranteedOnly ? Double.POSITIVE_INFINITY : quotas.expiresAtMs();
        double nextMs = Math.min(quotasEndMs, waitingRequests.nextExpiryMs());
        return runningRequests.count() < maxRunning ? Math.min(nextMs, fairQueue.nextRefillMs()) : nextMs;
    }

    /** Requests that run. */
    public int running() {
        return runningRequests.count();
    }

    /** Requests that wait. */
    public int waiting() {
        return waitingRequests.count();
    }

    /** Requests that may run at once; {@link Integer#MAX_VALUE} until quotas are received. */
    public int maxRunning() {
        return maxRunning;
    }

    /** Tenants that are remembered at this moment. */
    public int tenantCount() {
        return directory.tenants().size();
    }

    /**
     * Requests to give up so that no more run than may: for a node that is cut off and whose requests outlast its lease
     * by more than the fleet waits. The oldest of the shares that are furthest over their quota come first.
     */
    public List<Long> selectExcessRequests(double nowMs) {
        onTimer(nowMs);
        return runningRequests.selectBeyond(maxRunning, requests.values());
    }

    /** What each tenant wanted and used since the last call; forgets idle tenants. */
    public List<TenantUsage> takeUsage(double nowMs) {
        advanceTime(nowMs);
        return useReports.take(nowMs);
    }

    private void advanceTime(double nowMs) {
        if (!virtualTime.isStarted()) {
            virtualTime.start(nowMs);
            useReports.start(nowMs);
        }
        virtualTime.advance(nowMs);
    }

    private void cancel(ScheduledRequest request, double nowMs) {
        waitingRequests.cancel(request, nowMs);
        fairQueue.update(request.tenant.share, nowMs);
    }

    /** Rejects what can't start in time any more, then starts what may. */
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
            double retryAfterMs = waitEstimator.retryAfterMs(waitMs, request.expectedMs, maxRunning);
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
        tenant.integrateUse(nowMs);
        tenant.leaveQueue();
        ScheduledRequest request = waitingRequests.poll(tenant);
        runningRequests.start(request, nowMs);
        tenant.enterQueue(nowMs, limits.maxLoanMs());
        fairQueue.update(share, nowMs);
        return request.id;
    }
}

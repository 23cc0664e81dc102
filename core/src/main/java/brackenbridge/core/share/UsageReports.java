package brackenbridge.core.share;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Reports the demand and usage of each tenant since the last report, and removes idle tenants. */
final class UsageReports {
    private static final double MS_PER_SECOND = 1000;

    private final TenantDirectory directory;
    private final FairQueue fairQueue;
    private double lastReportMs = Double.NaN;

    UsageReports(TenantDirectory directory, FairQueue fairQueue) {
        this.directory = directory;
        this.fairQueue = fairQueue;
    }

    void start(double nowMs) {
        lastReportMs = nowMs;
    }

    List<TenantUsage> take(double nowMs) {
        double periodMs = nowMs - lastReportMs;
        lastReportMs = nowMs;
        List<TenantUsage> reports = new ArrayList<>(directory.tenants().size());
        Iterator<Tenant> tenants = directory.tenants().iterator();
        while (tenants.hasNext()) {
            Tenant tenant = tenants.next();
            tenant.integrateUsage(nowMs);
            TenantUsage usage = report(tenant, periodMs, nowMs);
            if (usage != null) {
                reports.add(usage);
            }
            tenant.resetUsage();
            if (directory.isIdle(tenant)) {
                tenants.remove();
            }
        }
        return reports;
    }

    /** The usage of one tenant; null if it had neither requests nor rejections. */
    private TenantUsage report(Tenant tenant, double periodMs, double nowMs) {
        boolean measured = periodMs > 0;
        double meanRunning = measured ? tenant.runningIntegral / periodMs : tenant.running;
        double meanWaiting = measured ? tenant.waitingIntegral / periodMs : tenant.waiting;
        double rejectedPerMs = measured ? tenant.rejected / periodMs : 0;
        if (!(meanRunning > 0 || meanWaiting > 0 || tenant.rejected > 0)) {
            return null;
        }
        double holdMs = tenant.holdMs(nowMs);
        return new TenantUsage(
                tenant.name,
                meanRunning + meanWaiting + rejectedPerMs * holdMs,
                meanRunning,
                tenant.running,
                rejectedPerMs * MS_PER_SECOND,
                holdMs,
                tenant.share.quota,
                fairQueue.burstCreditMs(tenant.share, nowMs));
    }
}

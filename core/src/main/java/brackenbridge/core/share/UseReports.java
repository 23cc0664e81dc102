package brackenbridge.core.share;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Reports what each tenant wanted and used since the last report, and forgets idle tenants. */
final class UseReports {
    private static final double MS_PER_SECOND = 1000;

    private final TenantDirectory directory;
    private final FairQueue fairQueue;
    private double lastReportMs = Double.NaN;

    UseReports(TenantDirectory directory, FairQueue fairQueue) {
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
            tenant.integrateUse(nowMs);
            TenantUsage use = report(tenant, periodMs, nowMs);
            if (use != null) {
                reports.add(use);
            }
            tenant.resetUse();
            if (directory.isIdle(tenant)) {
                tenants.remove();
            }
        }
        return reports;
    }

    /** The use of one tenant, or null if there was none. */
    private TenantUsage report(Tenant tenant, double periodMs, double nowMs) {
        boolean measured = periodMs > 0;
        double used = measured ? tenant.runningIntegral / periodMs : tenant.running;
        double waited = measured ? tenant.waitingIntegral / periodMs : tenant.waiting;
        double rejectedPerMs = measured ? tenant.rejected / periodMs : 0;
        if (!(used > 0 || waited > 0 || tenant.rejected > 0)) {
            return null;
        }
        double holdMs = tenant.holdMs(nowMs);
        return new TenantUsage(
                tenant.name,
                used + waited + rejectedPerMs * holdMs,
                used,
                tenant.running,
                rejectedPerMs * MS_PER_SECOND,
                holdMs,
                tenant.share.quota,
                fairQueue.burstCreditMs(tenant.share, nowMs));
    }
}

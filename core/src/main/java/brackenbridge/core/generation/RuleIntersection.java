package brackenbridge.core.generation;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.NetworkSettings;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.core.balancing.TenantShare;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Rules that allow only what two generations both allow, key by key: the narrower effect, the shorter time, the
 * smaller share. What a generation does not name it does not allow. Who a node is (number, tier, zone, seed) and what
 * its machine tells it are no rules, and are the first's.
 */
public final class RuleIntersection {
    private RuleIntersection() {}

    /** What both allow; empty if they have no class in common, so that nothing may be done. */
    public static Optional<BalancerSettings> of(BalancerSettings a, BalancerSettings b) {
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass one : a.classes()) {
            b.classes().stream()
                    .filter(o -> o.name().equals(one.name()))
                    .findFirst()
                    .ifPresent(other -> classes.add(of(one, other)));
        }
        List<TenantShare> tenants = new ArrayList<>();
        for (TenantShare one : a.tenants()) {
            b.tenants().stream()
                    .filter(o -> o.name().equals(one.name()))
                    .findFirst()
                    .ifPresent(other -> tenants.add(new TenantShare(
                            one.name(),
                            Math.min(one.share(), other.share()),
                            told(one.quotaPerSecond(), other.quotaPerSecond()))));
        }
        return classes.isEmpty() ? Optional.empty() : Optional.of(with(a, b, classes, tenants));
    }

    /**
     * What every generation may be taken to allow, from one that was in force: no call goes out twice, whatever its
     * class, and no tenant's call is lifted over another's.
     */
    public static BalancerSettings inDoubt(BalancerSettings was) {
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass c : was.classes()) {
            classes.add(new RequestClass(
                    c.name(),
                    c.latencyObjective(),
                    c.deadline(),
                    Idempotence.NOT_IDEMPOTENT,
                    c.deduplicationScope(),
                    c.idempotencyKeyTtl(),
                    c.streamed(),
                    c.priorityWeight(),
                    c.lateValueRatio()));
        }
        return new BalancerSettings(
                was.seed(),
                was.instanceIndex(),
                was.instanceCount(),
                was.tier(),
                was.zone(),
                classes,
                List.of(),
                was.overShareWeight(),
                was.polledDiscovery(),
                was.maxPollInterval(),
                1,
                was.maxOpenRequests(),
                was.maxRetryAfter(),
                was.mayCancel(),
                false,
                false,
                was.idleTimeout(),
                was.coldCapacityRatio(),
                was.warmUpTime(),
                was.overloadMultiple(),
                was.overloadWindow(),
                was.network());
    }

    private static RequestClass of(RequestClass a, RequestClass b) {
        // Of a class that is safe in one, the other's group and window alone bind its repeats.
        RequestClass first = a.idempotence() == Idempotence.IDEMPOTENCY_KEY ? a : b;
        RequestClass second = b.idempotence() == Idempotence.IDEMPOTENCY_KEY ? b : a;
        DeduplicationScope scope = first.deduplicationScope().ordinal()
                        >= second.deduplicationScope().ordinal()
                ? first.deduplicationScope()
                : second.deduplicationScope();
        return new RequestClass(
                a.name(),
                Math.min(a.latencyObjective(), b.latencyObjective()),
                Math.min(a.deadline(), b.deadline()),
                narrower(a.idempotence(), b.idempotence()),
                scope,
                Math.min(first.idempotencyKeyTtl(), second.idempotencyKeyTtl()),
                a.streamed(),
                a.priorityWeight(),
                a.lateValueRatio());
    }

    private static Idempotence narrower(Idempotence a, Idempotence b) {
        return a == Idempotence.NOT_IDEMPOTENT || b == Idempotence.NOT_IDEMPOTENT
                ? Idempotence.NOT_IDEMPOTENT
                : a == Idempotence.IDEMPOTENCY_KEY || b == Idempotence.IDEMPOTENCY_KEY
                        ? Idempotence.IDEMPOTENCY_KEY
                        : Idempotence.IDEMPOTENT;
    }

    /** A quota, or a time, of 0 is none told. */
    private static double told(double a, double b) {
        return a == 0 ? b : b == 0 ? a : Math.min(a, b);
    }

    private static BalancerSettings with(
            BalancerSettings a, BalancerSettings b, List<RequestClass> classes, List<TenantShare> tenants) {
        NetworkSettings net = new NetworkSettings(
                Math.min(a.network().connectTimeout(), b.network().connectTimeout()),
                Math.min(a.network().drainGrace(), b.network().drainGrace()),
                a.network().reportsInAnswers(),
                a.network().reportFields());
        return new BalancerSettings(
                a.seed(),
                a.instanceIndex(),
                a.instanceCount(),
                a.tier(),
                a.zone(),
                classes,
                tenants,
                Math.min(a.overShareWeight(), b.overShareWeight()),
                a.polledDiscovery(),
                Math.min(a.maxPollInterval(), b.maxPollInterval()),
                Math.min(a.maxAttempts(), b.maxAttempts()),
                Math.min(a.maxOpenRequests(), b.maxOpenRequests()),
                Math.min(a.maxRetryAfter(), b.maxRetryAfter()),
                a.mayCancel() && b.mayCancel(),
                a.mayHealthCheck() && b.mayHealthCheck(),
                a.mayHedge() && b.mayHedge(),
                Math.min(a.idleTimeout(), b.idleTimeout()),
                Math.min(a.coldCapacityRatio(), b.coldCapacityRatio()),
                Math.max(a.warmUpTime(), b.warmUpTime()),
                fallMultiple(a, b),
                (long) told(a.overloadWindow(), b.overloadWindow()),
                net);
    }

    /** The smaller multiple of those that are told; a generation in which nothing falls has none. */
    private static double fallMultiple(BalancerSettings a, BalancerSettings b) {
        return a.overloadWindow() == 0
                ? b.overloadMultiple()
                : b.overloadWindow() == 0 ? a.overloadMultiple() : Math.min(a.overloadMultiple(), b.overloadMultiple());
    }
}

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
 * Computes rules that allow only what two generations of settings both allow, key by key: the more restrictive
 * idempotence, the shorter time, the smaller share. What a generation doesn't contain it doesn't allow. The node's
 * identity (index, tier, zone, seed) and what its machine provides are not rules and are taken from the first
 * generation.
 */
public final class RuleIntersection {
    private RuleIntersection() {}

    /** Returns the rules that both allow; empty if they have no class in common, so that no request may be sent. */
    public static Optional<BalancerSettings> of(BalancerSettings left, BalancerSettings right) {
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass leftClass : left.classes()) {
            right.classes().stream()
                    .filter(candidate -> candidate.name().equals(leftClass.name()))
                    .findFirst()
                    .ifPresent(rightClass -> classes.add(of(leftClass, rightClass)));
        }
        List<TenantShare> tenants = new ArrayList<>();
        for (TenantShare leftTenant : left.tenants()) {
            right.tenants().stream()
                    .filter(candidate -> candidate.name().equals(leftTenant.name()))
                    .findFirst()
                    .ifPresent(rightTenant -> tenants.add(new TenantShare(
                            leftTenant.name(),
                            Math.min(leftTenant.share(), rightTenant.share()),
                            smallerIfSet(leftTenant.quotaPerSecond(), rightTenant.quotaPerSecond()))));
        }
        return classes.isEmpty() ? Optional.empty() : Optional.of(combine(left, right, classes, tenants));
    }

    /**
     * Returns rules that every generation can be assumed to allow, derived from one that was in force: no request is
     * sent twice, whatever its class, and no tenant has priority over another.
     */
    public static BalancerSettings inDoubt(BalancerSettings inForce) {
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass requestClass : inForce.classes()) {
            classes.add(new RequestClass(
                    requestClass.name(),
                    requestClass.latencyObjective(),
                    requestClass.deadline(),
                    Idempotence.NOT_IDEMPOTENT,
                    requestClass.deduplicationScope(),
                    requestClass.idempotencyKeyTtl(),
                    requestClass.streamed(),
                    requestClass.priorityWeight(),
                    requestClass.lateValueRatio()));
        }
        return new BalancerSettings(
                inForce.seed(),
                inForce.instanceIndex(),
                inForce.instanceCount(),
                inForce.tier(),
                inForce.zone(),
                classes,
                List.of(),
                inForce.overShareWeight(),
                inForce.polledDiscovery(),
                inForce.maxPollInterval(),
                1,
                inForce.maxOpenRequests(),
                inForce.maxRetryAfter(),
                inForce.mayCancel(),
                false,
                false,
                inForce.idleTimeout(),
                inForce.coldCapacityRatio(),
                inForce.warmUpTime(),
                inForce.overloadMultiple(),
                inForce.overloadWindow(),
                inForce.network());
    }

    private static RequestClass of(RequestClass left, RequestClass right) {
        // If a class is idempotent in one generation, only the deduplication scope and time of the other limit its
        // retries.
        RequestClass first = left.idempotence() == Idempotence.IDEMPOTENCY_KEY ? left : right;
        RequestClass second = right.idempotence() == Idempotence.IDEMPOTENCY_KEY ? right : left;
        DeduplicationScope scope = first.deduplicationScope().ordinal()
                        >= second.deduplicationScope().ordinal()
                ? first.deduplicationScope()
                : second.deduplicationScope();
        return new RequestClass(
                left.name(),
                Math.min(left.latencyObjective(), right.latencyObjective()),
                Math.min(left.deadline(), right.deadline()),
                moreRestrictive(left.idempotence(), right.idempotence()),
                scope,
                Math.min(first.idempotencyKeyTtl(), second.idempotencyKeyTtl()),
                left.streamed(),
                left.priorityWeight(),
                left.lateValueRatio());
    }

    private static Idempotence moreRestrictive(Idempotence left, Idempotence right) {
        return left == Idempotence.NOT_IDEMPOTENT || right == Idempotence.NOT_IDEMPOTENT
                ? Idempotence.NOT_IDEMPOTENT
                : left == Idempotence.IDEMPOTENCY_KEY || right == Idempotence.IDEMPOTENCY_KEY
                        ? Idempotence.IDEMPOTENCY_KEY
                        : Idempotence.IDEMPOTENT;
    }

    /** Returns the smaller value, where 0 means not set. */
    private static double smallerIfSet(double left, double right) {
        return left == 0 ? right : right == 0 ? left : Math.min(left, right);
    }

    private static BalancerSettings combine(
            BalancerSettings left, BalancerSettings right, List<RequestClass> classes, List<TenantShare> tenants) {
        NetworkSettings network = new NetworkSettings(
                Math.min(left.network().connectTimeout(), right.network().connectTimeout()),
                Math.min(left.network().drainGrace(), right.network().drainGrace()),
                left.network().reportsInResponses(),
                left.network().reportFields());
        return new BalancerSettings(
                left.seed(),
                left.instanceIndex(),
                left.instanceCount(),
                left.tier(),
                left.zone(),
                classes,
                tenants,
                Math.min(left.overShareWeight(), right.overShareWeight()),
                left.polledDiscovery(),
                Math.min(left.maxPollInterval(), right.maxPollInterval()),
                Math.min(left.maxAttempts(), right.maxAttempts()),
                Math.min(left.maxOpenRequests(), right.maxOpenRequests()),
                Math.min(left.maxRetryAfter(), right.maxRetryAfter()),
                left.mayCancel() && right.mayCancel(),
                left.mayHealthCheck() && right.mayHealthCheck(),
                left.mayHedge() && right.mayHedge(),
                Math.min(left.idleTimeout(), right.idleTimeout()),
                Math.min(left.coldCapacityRatio(), right.coldCapacityRatio()),
                Math.max(left.warmUpTime(), right.warmUpTime()),
                smallerOverloadMultiple(left, right),
                (long) smallerIfSet(left.overloadWindow(), right.overloadWindow()),
                network);
    }

    /** Returns the smaller of the multiples that are set; a generation without an overload window has none. */
    private static double smallerOverloadMultiple(BalancerSettings left, BalancerSettings right) {
        return left.overloadWindow() == 0
                ? right.overloadMultiple()
                : right.overloadWindow() == 0
                        ? left.overloadMultiple()
                        : Math.min(left.overloadMultiple(), right.overloadMultiple());
    }
}

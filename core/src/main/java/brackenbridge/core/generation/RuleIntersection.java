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
 * smaller share. What a generation does not name it does not allow. The node's identity (number, tier, zone, seed)
 * and what its machine provides are not rules, and are taken from the first.
 */
public final class RuleIntersection {
    private RuleIntersection() {}

    /** The rules that both allow; empty if they have no class in common, so that no request may be sent. */
    public static Optional<BalancerSettings> of(BalancerSettings left, BalancerSettings right) {
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass one : left.classes()) {
            right.classes().stream()
                    .filter(candidate -> candidate.name().equals(one.name()))
                    .findFirst()
                    .ifPresent(other -> classes.add(of(one, other)));
        }
        List<TenantShare> tenants = new ArrayList<>();
        for (TenantShare one : left.tenants()) {
            right.tenants().stream()
                    .filter(candidate -> candidate.name().equals(one.name()))
                    .findFirst()
                    .ifPresent(other -> tenants.add(new TenantShare(
                            one.name(),
                            Math.min(one.share(), other.share()),
                            smallerIfSet(one.quotaPerSecond(), other.quotaPerSecond()))));
        }
        return classes.isEmpty() ? Optional.empty() : Optional.of(combine(left, right, classes, tenants));
    }

    /**
     * What every generation may be taken to allow, from one that was in force: no request is sent twice, whatever
     * its class, and no tenant has priority over another.
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
        // If a class is idempotent in one, only the other's deduplication scope and time bind its retries.
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
                narrower(left.idempotence(), right.idempotence()),
                scope,
                Math.min(first.idempotencyKeyTtl(), second.idempotencyKeyTtl()),
                left.streamed(),
                left.priorityWeight(),
                left.lateValueRatio());
    }

    private static Idempotence narrower(Idempotence left, Idempotence right) {
        return left == Idempotence.NOT_IDEMPOTENT || right == Idempotence.NOT_IDEMPOTENT
                ? Idempotence.NOT_IDEMPOTENT
                : left == Idempotence.IDEMPOTENCY_KEY || right == Idempotence.IDEMPOTENCY_KEY
                        ? Idempotence.IDEMPOTENCY_KEY
                        : Idempotence.IDEMPOTENT;
    }

    /** The smaller value; 0 means that there is none. */
    private static double smallerIfSet(double left, double right) {
        return left == 0 ? right : right == 0 ? left : Math.min(left, right);
    }

    private static BalancerSettings combine(
            BalancerSettings left, BalancerSettings right, List<RequestClass> classes, List<TenantShare> tenants) {
        NetworkSettings net = new NetworkSettings(
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
                net);
    }

    /** The smaller multiple of those that are set; a generation without an overload window has none. */
    private static double smallerOverloadMultiple(BalancerSettings left, BalancerSettings right) {
        return left.overloadWindow() == 0
                ? right.overloadMultiple()
                : right.overloadWindow() == 0
                        ? left.overloadMultiple()
                        : Math.min(left.overloadMultiple(), right.overloadMultiple());
    }
}

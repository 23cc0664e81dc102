package brackenbridge.core.generation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.DeduplicationScope;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.NetworkSettings;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.core.balancing.TenantShare;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests that the intersection of two generations allows only what both allow. */
class RuleIntersectionTest {
    private static BalancerSettings randomSettings(SplittableRandom random) {
        List<RequestClass> classes = new ArrayList<>();
        List<TenantShare> tenants = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            long objective = 1 + random.nextInt(1000);
            if (random.nextInt(4) > 0 || classes.isEmpty()) {
                classes.add(new RequestClass(
                        name,
                        objective,
                        objective + random.nextInt(1000),
                        Idempotence.values()[random.nextInt(3)],
                        DeduplicationScope.values()[random.nextInt(3)],
                        1 + random.nextInt(100),
                        false,
                        1 + random.nextInt(9),
                        0.5));
            }
            if (random.nextBoolean()) {
                tenants.add(new TenantShare(name, random.nextInt(10) / 10.0, random.nextInt(3) * 100));
            }
        }
        return new BalancerSettings(
                1,
                0,
                2,
                0,
                "z",
                classes,
                tenants,
                random.nextInt(10) / 10.0,
                true,
                1000 + random.nextInt(9),
                1 + random.nextInt(5),
                1 + random.nextInt(99),
                random.nextInt(5),
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextInt(99),
                0.1 + random.nextInt(9) / 10.0,
                random.nextInt(99),
                0.1 + random.nextInt(9),
                random.nextInt(5),
                new NetworkSettings(1 + random.nextInt(9), random.nextInt(9), true, List.of()));
    }

    private static int permissiveness(Idempotence idempotence) {
        return idempotence == Idempotence.NOT_IDEMPOTENT ? 0 : idempotence == Idempotence.IDEMPOTENCY_KEY ? 1 : 2;
    }

    /** Checks that each value of the more restrictive rules lies within that of the original ones. */
    private static void assertWithin(BalancerSettings restricted, BalancerSettings original) {
        for (RequestClass requestClass : restricted.classes()) {
            RequestClass other = original.classes().stream()
                    .filter(candidate -> candidate.name().equals(requestClass.name()))
                    .findFirst()
                    .orElseThrow();
            assertTrue(requestClass.latencyObjective() <= other.latencyObjective()
                    && requestClass.deadline() <= other.deadline());
            assertTrue(
                    permissiveness(requestClass.idempotence()) <= permissiveness(other.idempotence()),
                    requestClass + " of " + other);
            if (requestClass.idempotence() == Idempotence.IDEMPOTENCY_KEY
                    && other.idempotence() == Idempotence.IDEMPOTENCY_KEY) {
                assertTrue(
                        requestClass.idempotencyKeyTtl() <= other.idempotencyKeyTtl()
                                && requestClass.deduplicationScope().compareTo(other.deduplicationScope()) >= 0,
                        requestClass + " of " + other);
            }
        }
        for (TenantShare tenant : restricted.tenants()) {
            TenantShare other = original.tenants().stream()
                    .filter(candidate -> candidate.name().equals(tenant.name()))
                    .findFirst()
                    .orElseThrow();
            assertTrue(tenant.share() <= other.share());
            assertTrue(other.quotaPerSecond() == 0
                    || tenant.quotaPerSecond() <= other.quotaPerSecond() && tenant.quotaPerSecond() > 0);
        }
        assertTrue(restricted.maxAttempts() <= original.maxAttempts()
                && restricted.maxOpenRequests() <= original.maxOpenRequests());
        assertTrue(restricted.network().drainGrace() <= original.network().drainGrace());
        assertTrue(!restricted.mayHedge() || original.mayHedge());
        assertTrue(!restricted.mayHealthCheck() || original.mayHealthCheck());
        assertTrue(!restricted.mayCancel() || original.mayCancel());
        assertTrue(restricted.coldCapacityRatio() <= original.coldCapacityRatio()
                && restricted.warmUpTime() >= original.warmUpTime());
        assertTrue(original.overloadWindow() == 0
                || restricted.overloadWindow() <= original.overloadWindow()
                        && restricted.overloadWindow() > 0
                        && restricted.overloadMultiple() <= original.overloadMultiple());
    }

    @Property(tries = 300, seed = "24")
    void intersectionLiesWithinBothAndKeepsCommonClasses(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        BalancerSettings first = randomSettings(random);
        BalancerSettings second = randomSettings(random);
        Optional<BalancerSettings> intersection = RuleIntersection.of(first, second);
        List<String> common = first.classes().stream()
                .map(RequestClass::name)
                .filter(name -> second.classes().stream()
                        .anyMatch(candidate -> candidate.name().equals(name)))
                .toList();
        assertEquals(
                common,
                intersection
                        .map(s -> s.classes().stream().map(RequestClass::name).toList())
                        .orElse(List.of()));
        intersection.ifPresent(s -> {
            assertWithin(s, first);
            assertWithin(s, second);
        });
        assertEquals(
                first, RuleIntersection.of(first, first).orElseThrow(), "the intersection of a generation with itself");
        BalancerSettings inDoubt = RuleIntersection.inDoubt(first);
        assertWithin(inDoubt, first);
        assertWithin(RuleIntersection.of(inDoubt, second).orElse(inDoubt), inDoubt);
    }

    @Test
    void idempotentClassTakesTheKeyRulesOfTheOther() {
        SplittableRandom random = new SplittableRandom(1);
        BalancerSettings any = randomSettings(random);
        RequestClass idempotent =
                new RequestClass("x", 10, 20, Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false, 1, 0);
        RequestClass keyed =
                new RequestClass("x", 10, 20, Idempotence.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 7, false, 1, 0);
        BalancerSettings intersection = RuleIntersection.of(withOnlyClass(any, idempotent), withOnlyClass(any, keyed))
                .orElseThrow();
        assertEquals(keyed, intersection.classes().get(0));
        assertEquals(
                intersection.classes(),
                RuleIntersection.of(withOnlyClass(any, keyed), withOnlyClass(any, idempotent))
                        .orElseThrow()
                        .classes());
    }

    private static BalancerSettings withOnlyClass(BalancerSettings settings, RequestClass requestClass) {
        return new BalancerSettings(
                settings.seed(),
                settings.instanceIndex(),
                settings.instanceCount(),
                settings.tier(),
                settings.zone(),
                List.of(requestClass),
                settings.tenants(),
                settings.overShareWeight(),
                settings.polledDiscovery(),
                settings.maxPollInterval(),
                settings.maxAttempts(),
                settings.maxOpenRequests(),
                settings.maxRetryAfter(),
                settings.mayCancel(),
                settings.mayHealthCheck(),
                settings.mayHedge(),
                settings.idleTimeout(),
                settings.coldCapacityRatio(),
                settings.warmUpTime(),
                settings.overloadMultiple(),
                settings.overloadWindow(),
                settings.network());
    }
}

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

class RuleIntersectionTest {
    private static BalancerSettings draw(SplittableRandom r) {
        List<RequestClass> classes = new ArrayList<>();
        List<TenantShare> tenants = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            long aim = 1 + r.nextInt(1000);
            if (r.nextInt(4) > 0 || classes.isEmpty()) {
                classes.add(new RequestClass(
                        name,
                        aim,
                        aim + r.nextInt(1000),
                        Idempotence.values()[r.nextInt(3)],
                        DeduplicationScope.values()[r.nextInt(3)],
                        1 + r.nextInt(100),
                        false,
                        1 + r.nextInt(9),
                        0.5));
            }
            if (r.nextBoolean()) {
                tenants.add(new TenantShare(name, r.nextInt(10) / 10.0, r.nextInt(3) * 100));
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
                r.nextInt(10) / 10.0,
                true,
                1000 + r.nextInt(9),
                1 + r.nextInt(5),
                1 + r.nextInt(99),
                r.nextInt(5),
                r.nextBoolean(),
                r.nextBoolean(),
                r.nextBoolean(),
                r.nextInt(99),
                0.1 + r.nextInt(9) / 10.0,
                r.nextInt(99),
                0.1 + r.nextInt(9),
                r.nextInt(5),
                new NetworkSettings(1 + r.nextInt(9), r.nextInt(9), true, List.of()));
    }

    private static int breadth(Idempotence e) {
        return e == Idempotence.NOT_IDEMPOTENT ? 0 : e == Idempotence.IDEMPOTENCY_KEY ? 1 : 2;
    }

    /** Every key of the narrower rules lies within that of each of the two. */
    private static void within(BalancerSettings n, BalancerSettings of) {
        for (RequestClass c : n.classes()) {
            RequestClass o = of.classes().stream()
                    .filter(x -> x.name().equals(c.name()))
                    .findFirst()
                    .orElseThrow();
            assertTrue(c.latencyObjective() <= o.latencyObjective() && c.deadline() <= o.deadline());
            assertTrue(breadth(c.idempotence()) <= breadth(o.idempotence()), c + " of " + o);
            if (c.idempotence() == Idempotence.IDEMPOTENCY_KEY && o.idempotence() == Idempotence.IDEMPOTENCY_KEY) {
                assertTrue(
                        c.idempotencyKeyTtl() <= o.idempotencyKeyTtl()
                                && c.deduplicationScope().compareTo(o.deduplicationScope()) >= 0,
                        c + " of " + o);
            }
        }
        for (TenantShare t : n.tenants()) {
            TenantShare o = of.tenants().stream()
                    .filter(x -> x.name().equals(t.name()))
                    .findFirst()
                    .orElseThrow();
            assertTrue(t.share() <= o.share());
            assertTrue(o.quotaPerSecond() == 0 || t.quotaPerSecond() <= o.quotaPerSecond() && t.quotaPerSecond() > 0);
        }
        assertTrue(n.maxAttempts() <= of.maxAttempts() && n.maxOpenRequests() <= of.maxOpenRequests());
        assertTrue(n.network().drainGrace() <= of.network().drainGrace());
        assertTrue(!n.mayHedge() || of.mayHedge());
        assertTrue(!n.mayHealthCheck() || of.mayHealthCheck());
        assertTrue(!n.mayCancel() || of.mayCancel());
        assertTrue(n.coldCapacityRatio() <= of.coldCapacityRatio() && n.warmUpTime() >= of.warmUpTime());
        assertTrue(of.overloadWindow() == 0
                || n.overloadWindow() <= of.overloadWindow()
                        && n.overloadWindow() > 0
                        && n.overloadMultiple() <= of.overloadMultiple());
    }

    @Property(tries = 300, seed = "24")
    void whatIsNarrowerLiesWithinBothAndNothingCommonIsLost(@ForAll long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        BalancerSettings a = draw(r);
        BalancerSettings b = draw(r);
        Optional<BalancerSettings> n = RuleIntersection.of(a, b);
        List<String> common = a.classes().stream()
                .map(RequestClass::name)
                .filter(x -> b.classes().stream().anyMatch(c -> c.name().equals(x)))
                .toList();
        assertEquals(
                common,
                n.map(s -> s.classes().stream().map(RequestClass::name).toList())
                        .orElse(List.of()));
        n.ifPresent(s -> {
            within(s, a);
            within(s, b);
        });
        assertEquals(a, RuleIntersection.of(a, a).orElseThrow(), "of one generation alone, that one");
        BalancerSettings doubt = RuleIntersection.inDoubt(a);
        within(doubt, a);
        within(RuleIntersection.of(doubt, b).orElse(doubt), doubt);
    }

    @Test
    void safeClassThatIsKeyedElsewhereIsRepeatedOnlyAsThat() {
        SplittableRandom r = new SplittableRandom(1);
        BalancerSettings any = draw(r);
        RequestClass safe =
                new RequestClass("x", 10, 20, Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false, 1, 0);
        RequestClass keyed =
                new RequestClass("x", 10, 20, Idempotence.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 7, false, 1, 0);
        BalancerSettings n =
                RuleIntersection.of(with(any, safe), with(any, keyed)).orElseThrow();
        assertEquals(keyed, n.classes().get(0));
        assertEquals(
                n.classes(),
                RuleIntersection.of(with(any, keyed), with(any, safe))
                        .orElseThrow()
                        .classes());
    }

    private static BalancerSettings with(BalancerSettings s, RequestClass c) {
        return new BalancerSettings(
                s.seed(),
                s.instanceIndex(),
                s.instanceCount(),
                s.tier(),
                s.zone(),
                List.of(c),
                s.tenants(),
                s.overShareWeight(),
                s.polledDiscovery(),
                s.maxPollInterval(),
                s.maxAttempts(),
                s.maxOpenRequests(),
                s.maxRetryAfter(),
                s.mayCancel(),
                s.mayHealthCheck(),
                s.mayHedge(),
                s.idleTimeout(),
                s.coldCapacityRatio(),
                s.warmUpTime(),
                s.overloadMultiple(),
                s.overloadWindow(),
                s.network());
    }
}

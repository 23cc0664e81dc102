package brackenbridge.core.generation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.core.balancing.BalancerApi.DedupScope;
import brackenbridge.core.balancing.BalancerApi.Effect;
import brackenbridge.core.balancing.BalancerApi.Network;
import brackenbridge.core.balancing.BalancerApi.RequestClass;
import brackenbridge.core.balancing.BalancerApi.Settings;
import brackenbridge.core.balancing.BalancerApi.Tenant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RuleIntersectionTest {
    private static Settings draw(SplittableRandom r) {
        List<RequestClass> classes = new ArrayList<>();
        List<Tenant> tenants = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            long aim = 1 + r.nextInt(1000);
            if (r.nextInt(4) > 0 || classes.isEmpty()) {
                classes.add(new RequestClass(
                        name,
                        aim,
                        aim + r.nextInt(1000),
                        Effect.values()[r.nextInt(3)],
                        DedupScope.values()[r.nextInt(3)],
                        1 + r.nextInt(100),
                        false,
                        1 + r.nextInt(9),
                        0.5));
            }
            if (r.nextBoolean()) {
                tenants.add(new Tenant(name, r.nextInt(10) / 10.0, r.nextInt(3) * 100));
            }
        }
        return new Settings(
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
                new Network(1 + r.nextInt(9), r.nextInt(9), true, List.of()));
    }

    private static int breadth(Effect e) {
        return e == Effect.UNSAFE ? 0 : e == Effect.KEYED ? 1 : 2;
    }

    /** Every key of the narrower rules lies within that of each of the two. */
    private static void within(Settings n, Settings of) {
        for (RequestClass c : n.classes()) {
            RequestClass o = of.classes().stream()
                    .filter(x -> x.name().equals(c.name()))
                    .findFirst()
                    .orElseThrow();
            assertTrue(c.aim() <= o.aim() && c.deadline() <= o.deadline());
            assertTrue(breadth(c.effect()) <= breadth(o.effect()), c + " of " + o);
            if (c.effect() == Effect.KEYED && o.effect() == Effect.KEYED) {
                assertTrue(c.keyTtl() <= o.keyTtl() && c.dedupScope().compareTo(o.dedupScope()) >= 0, c + " of " + o);
            }
        }
        for (Tenant t : n.tenants()) {
            Tenant o = of.tenants().stream()
                    .filter(x -> x.name().equals(t.name()))
                    .findFirst()
                    .orElseThrow();
            assertTrue(t.share() <= o.share());
            assertTrue(o.quotaPerSecond() == 0 || t.quotaPerSecond() <= o.quotaPerSecond() && t.quotaPerSecond() > 0);
        }
        assertTrue(n.maxAttempts() <= of.maxAttempts() && n.maxOpen() <= of.maxOpen());
        assertTrue(n.network().drainGrace() <= of.network().drainGrace());
        assertTrue(!n.secondCopies() || of.secondCopies());
        assertTrue(!n.mayProbe() || of.mayProbe());
        assertTrue(!n.mayCancel() || of.mayCancel());
        assertTrue(n.coldFrom() <= of.coldFrom() && n.warmAfter() >= of.warmAfter());
        assertTrue(of.fall() == 0 || n.fall() <= of.fall() && n.fall() > 0 && n.fallMultiple() <= of.fallMultiple());
    }

    @Property(tries = 300, seed = "24")
    void whatIsNarrowerLiesWithinBothAndNothingCommonIsLost(@ForAll long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        Settings a = draw(r);
        Settings b = draw(r);
        Optional<Settings> n = RuleIntersection.of(a, b);
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
        Settings doubt = RuleIntersection.inDoubt(a);
        within(doubt, a);
        within(RuleIntersection.of(doubt, b).orElse(doubt), doubt);
    }

    @Test
    void safeClassThatIsKeyedElsewhereIsRepeatedOnlyAsThat() {
        SplittableRandom r = new SplittableRandom(1);
        Settings any = draw(r);
        RequestClass safe = new RequestClass("x", 10, 20, Effect.SAFE, DedupScope.ALL, 0, false, 1, 0);
        RequestClass keyed = new RequestClass("x", 10, 20, Effect.KEYED, DedupScope.ZONE, 7, false, 1, 0);
        Settings n = RuleIntersection.of(with(any, safe), with(any, keyed)).orElseThrow();
        assertEquals(keyed, n.classes().get(0));
        assertEquals(
                n.classes(),
                RuleIntersection.of(with(any, keyed), with(any, safe))
                        .orElseThrow()
                        .classes());
    }

    private static Settings with(Settings s, RequestClass c) {
        return new Settings(
                s.seed(),
                s.me(),
                s.peers(),
                s.tier(),
                s.zone(),
                List.of(c),
                s.tenants(),
                s.overShareWorth(),
                s.askDiscovery(),
                s.mustAskWithin(),
                s.maxAttempts(),
                s.maxOpen(),
                s.maxRetryAfter(),
                s.mayCancel(),
                s.mayProbe(),
                s.secondCopies(),
                s.idleClose(),
                s.coldFrom(),
                s.warmAfter(),
                s.fallMultiple(),
                s.fall(),
                s.network());
    }
}

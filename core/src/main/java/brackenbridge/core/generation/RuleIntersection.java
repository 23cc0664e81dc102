package brackenbridge.core.generation;

import brackenbridge.core.balancing.BalancerApi.DedupScope;
import brackenbridge.core.balancing.BalancerApi.Effect;
import brackenbridge.core.balancing.BalancerApi.Network;
import brackenbridge.core.balancing.BalancerApi.RequestClass;
import brackenbridge.core.balancing.BalancerApi.Settings;
import brackenbridge.core.balancing.BalancerApi.Tenant;
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
    public static Optional<Settings> of(Settings a, Settings b) {
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass one : a.classes()) {
            b.classes().stream()
                    .filter(o -> o.name().equals(one.name()))
                    .findFirst()
                    .ifPresent(other -> classes.add(of(one, other)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Tenant one : a.tenants()) {
            b.tenants().stream()
                    .filter(o -> o.name().equals(one.name()))
                    .findFirst()
                    .ifPresent(other -> tenants.add(new Tenant(
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
    public static Settings inDoubt(Settings was) {
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass c : was.classes()) {
            classes.add(new RequestClass(
                    c.name(),
                    c.aim(),
                    c.deadline(),
                    Effect.UNSAFE,
                    c.dedupScope(),
                    c.keyTtl(),
                    c.stream(),
                    c.worth(),
                    c.lateShare()));
        }
        return new Settings(
                was.seed(),
                was.me(),
                was.peers(),
                was.tier(),
                was.zone(),
                classes,
                List.of(),
                was.overShareWorth(),
                was.askDiscovery(),
                was.mustAskWithin(),
                1,
                was.maxOpen(),
                was.maxRetryAfter(),
                was.mayCancel(),
                false,
                false,
                was.idleClose(),
                was.coldFrom(),
                was.warmAfter(),
                was.fallMultiple(),
                was.fall(),
                was.network());
    }

    private static RequestClass of(RequestClass a, RequestClass b) {
        // Of a class that is safe in one, the other's group and window alone bind its repeats.
        RequestClass first = a.effect() == Effect.KEYED ? a : b;
        RequestClass second = b.effect() == Effect.KEYED ? b : a;
        DedupScope scope = first.dedupScope().ordinal() >= second.dedupScope().ordinal()
                ? first.dedupScope()
                : second.dedupScope();
        return new RequestClass(
                a.name(),
                Math.min(a.aim(), b.aim()),
                Math.min(a.deadline(), b.deadline()),
                narrower(a.effect(), b.effect()),
                scope,
                Math.min(first.keyTtl(), second.keyTtl()),
                a.stream(),
                a.worth(),
                a.lateShare());
    }

    private static Effect narrower(Effect a, Effect b) {
        return a == Effect.UNSAFE || b == Effect.UNSAFE
                ? Effect.UNSAFE
                : a == Effect.KEYED || b == Effect.KEYED ? Effect.KEYED : Effect.SAFE;
    }

    /** A quota, or a time, of 0 is none told. */
    private static double told(double a, double b) {
        return a == 0 ? b : b == 0 ? a : Math.min(a, b);
    }

    private static Settings with(Settings a, Settings b, List<RequestClass> classes, List<Tenant> tenants) {
        Network net = new Network(
                Math.min(a.network().connectTimeout(), b.network().connectTimeout()),
                Math.min(a.network().drainGrace(), b.network().drainGrace()),
                a.network().reportsInAnswers(),
                a.network().reportFields());
        return new Settings(
                a.seed(),
                a.me(),
                a.peers(),
                a.tier(),
                a.zone(),
                classes,
                tenants,
                Math.min(a.overShareWorth(), b.overShareWorth()),
                a.askDiscovery(),
                Math.min(a.mustAskWithin(), b.mustAskWithin()),
                Math.min(a.maxAttempts(), b.maxAttempts()),
                Math.min(a.maxOpen(), b.maxOpen()),
                Math.min(a.maxRetryAfter(), b.maxRetryAfter()),
                a.mayCancel() && b.mayCancel(),
                a.mayProbe() && b.mayProbe(),
                a.secondCopies() && b.secondCopies(),
                Math.min(a.idleClose(), b.idleClose()),
                Math.min(a.coldFrom(), b.coldFrom()),
                Math.max(a.warmAfter(), b.warmAfter()),
                fallMultiple(a, b),
                (long) told(a.fall(), b.fall()),
                net);
    }

    /** The smaller multiple of those that are told; a generation in which nothing falls has none. */
    private static double fallMultiple(Settings a, Settings b) {
        return a.fall() == 0
                ? b.fallMultiple()
                : b.fall() == 0 ? a.fallMultiple() : Math.min(a.fallMultiple(), b.fallMultiple());
    }
}

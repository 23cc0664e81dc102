package brackenbridge.fleet.agreed;

import brackenbridge.core.generation.DecidedVersion;
import brackenbridge.core.generation.EffectiveVersions;
import brackenbridge.core.generation.LeaseGrant;
import brackenbridge.core.generation.LeaseHolder;
import brackenbridge.fleet.agreed.AgreedValues.EffectiveValues;
import brackenbridge.fleet.agreed.AgreedValues.Value;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * A member's own lease: what it may act by, for all names, by one request. Immutable; each event makes another. A name
 * has a holder and a decision of its own; the lease of all runs from the same request.
 */
final class LeaseView {
    /** A name's holder with the contents that it knows. */
    private record NameLease(LeaseHolder holder, Map<Long, Value> values) {}

    /** Asks as all holders do; the holder of a name that was not heard of before. */
    private final LeaseHolder unnamedHolder;

    private final Map<String, NameLease> names;
    private final double leaseUntilMs;

    private LeaseView(LeaseHolder fresh, Map<String, NameLease> names, double leaseUntilMs) {
        this.unnamedHolder = fresh;
        this.names = names;
        this.leaseUntilMs = leaseUntilMs;
    }

    /** A process that has just started. */
    static LeaseView start(long life) {
        return new LeaseView(LeaseHolder.start(0, life), Map.of(), Double.NEGATIVE_INFINITY);
    }

    /** A request for the lease leaves now. */
    LeaseView startRequest(double nowMs) {
        Map<String, NameLease> next = new TreeMap<>();
        names.forEach((n, k) -> next.put(n, new NameLease(k.holder().sendRequest(nowMs), k.values())));
        return new LeaseView(unnamedHolder.sendRequest(nowMs), next, leaseUntilMs);
    }

    AgreementMessage.RenewalRequest renewalRequest() {
        List<AgreementMessage.NameState> heard = new ArrayList<>();
        names.forEach((n, k) -> heard.add(new AgreementMessage.NameState(
                n,
                k.holder().decided().version(),
                k.holder().rejectedGeneration(),
                List.copyOf(k.values().keySet()))));
        return new AgreementMessage.RenewalRequest(
                unnamedHolder.incarnation(), unnamedHolder.lastRequestNumber(), heard);
    }

    /**
     * An answer has come.
     *
     * @param usable whether this member can use a content under a name
     */
    LeaseView onRenewalResponse(AgreementMessage.RenewalResponse a, BiPredicate<String, byte[]> usable) {
        if (a.incarnation() != unnamedHolder.incarnation() || a.requestNumber() != unnamedHolder.lastRequestNumber()) {
            return this;
        }
        Map<String, NameLease> next = new TreeMap<>(names);
        for (AgreementMessage.NameUpdate t : a.updates()) {
            NameLease before = names.getOrDefault(t.name(), new NameLease(unnamedHolder, Map.of()));
            LeaseHolder told = before.holder()
                    .onGrant(new LeaseGrant(a.incarnation(), a.requestNumber(), t.decided(), a.leaseMs()));
            if (told == before.holder()) {
                continue;
            }
            Map<Long, Value> values = new TreeMap<>();
            DecidedVersion w = told.decided();
            before.values().forEach((g, v) -> putIfDecided(values, w, v));
            t.contents()
                    .forEach(i ->
                            putIfDecided(values, w, new Value(t.name(), i.generation(), i.content(), i.proposer())));
            long refused = !isUsable(w.staged(), values, usable)
                    ? w.staged()
                    : !isUsable(w.inForce(), values, usable) ? w.inForce() : 0;
            next.put(t.name(), new NameLease(told.rejectGeneration(refused), values));
        }
        return new LeaseView(
                unnamedHolder,
                next,
                a.complete() ? Math.max(leaseUntilMs, unnamedHolder.lastRequestAtMs() + a.leaseMs()) : leaseUntilMs);
    }

    private static void putIfDecided(Map<Long, Value> values, DecidedVersion w, Value v) {
        if (v.generation() == w.inForce() || v.generation() == w.staged()) {
            values.put(v.generation(), v);
        }
    }

    private static boolean isUsable(long generation, Map<Long, Value> values, BiPredicate<String, byte[]> usable) {
        Value v = values.get(generation);
        return generation == 0 || v != null && usable.test(v.name(), v.content());
    }

    EffectiveVersions effectiveVersions(String name, double nowMs) {
        NameLease k = names.get(name);
        return k == null ? EffectiveVersions.IN_DOUBT : k.holder().effectiveVersions(nowMs);
    }

    Optional<EffectiveValues> effectiveValues(String name, double nowMs) {
        EffectiveVersions a = effectiveVersions(name, nowMs);
        if (a.inDoubt()) {
            return Optional.empty();
        }
        Map<Long, Value> v = names.get(name).values();
        return Optional.of(new EffectiveValues(v.get(a.one()), a.other() == a.one() ? null : v.get(a.other())));
    }

    /** The last value that was in force as far as it was told. */
    Optional<Value> lastKnown(String name) {
        return Optional.ofNullable(names.get(name))
                .map(k -> k.values().get(k.holder().decided().inForce()));
    }

    DecidedVersion decided(String name) {
        return names.containsKey(name) ? names.get(name).holder().decided() : DecidedVersion.NONE;
    }

    /** The generation of this name that it can't use; 0 if none. */
    long rejectedGeneration(String name) {
        return names.containsKey(name) ? names.get(name).holder().rejectedGeneration() : 0;
    }

    List<String> names() {
        return List.copyOf(names.keySet());
    }

    /** Until when it may act by what it was told last, of all names; milliseconds. */
    double leaseUntilMs() {
        return leaseUntilMs;
    }

    /** The number of its last question. */
    long lastRequestNumber() {
        return unnamedHolder.lastRequestNumber();
    }
}

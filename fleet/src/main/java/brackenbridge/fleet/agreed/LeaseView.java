package brackenbridge.fleet.agreed;

import brackenbridge.core.generation.DecidedVersion;
import brackenbridge.core.generation.EffectiveGenerations;
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
 * A member's leases and the values that it may use under them, for all names. Immutable: each event creates a new view.
 * Each name has its own lease holder and decided version; all of them are renewed by the same request.
 */
final class LeaseView {
    /** The lease holder of a name with the known values of that name. */
    private record NameLease(LeaseHolder holder, Map<Long, Value> values) {}

    /** Counts requests like the holders of all names; a name seen for the first time starts with this holder. */
    private final LeaseHolder unnamedHolder;

    private final Map<String, NameLease> names;
    private final double leaseUntilMs;

    private LeaseView(LeaseHolder unnamedHolder, Map<String, NameLease> names, double leaseUntilMs) {
        this.unnamedHolder = unnamedHolder;
        this.names = names;
        this.leaseUntilMs = leaseUntilMs;
    }

    /** The view of a process that has just started. */
    static LeaseView start(long incarnation) {
        return new LeaseView(LeaseHolder.start(0, incarnation), Map.of(), Double.NEGATIVE_INFINITY);
    }

    /** Returns the view after a renewal request is sent now. */
    LeaseView startRequest(double nowMs) {
        Map<String, NameLease> next = new TreeMap<>();
        names.forEach(
                (name, lease) -> next.put(name, new NameLease(lease.holder().sendRequest(nowMs), lease.values())));
        return new LeaseView(unnamedHolder.sendRequest(nowMs), next, leaseUntilMs);
    }

    AgreementMessage.RenewalRequest renewalRequest() {
        List<AgreementMessage.NameState> states = new ArrayList<>();
        names.forEach((name, lease) -> states.add(new AgreementMessage.NameState(
                name,
                lease.holder().decided().version(),
                lease.holder().rejectedGeneration(),
                List.copyOf(lease.values().keySet()))));
        return new AgreementMessage.RenewalRequest(
                unnamedHolder.incarnation(), unnamedHolder.lastRequestNumber(), states);
    }

    /**
     * Returns the view after a response.
     *
     * @param validator whether this member can use a content for a name
     */
    LeaseView onRenewalResponse(AgreementMessage.RenewalResponse response, BiPredicate<String, byte[]> validator) {
        if (response.incarnation() != unnamedHolder.incarnation()
                || response.requestNumber() != unnamedHolder.lastRequestNumber()) {
            return this;
        }
        Map<String, NameLease> next = new TreeMap<>(names);
        for (AgreementMessage.NameUpdate update : response.updates()) {
            NameLease before = names.getOrDefault(update.name(), new NameLease(unnamedHolder, Map.of()));
            LeaseHolder holder = before.holder()
                    .onGrant(new LeaseGrant(
                            response.incarnation(), response.requestNumber(), update.decided(), response.leaseMs()));
            if (holder == before.holder()) {
                continue;
            }
            Map<Long, Value> values = new TreeMap<>();
            DecidedVersion decided = holder.decided();
            before.values().forEach((generation, value) -> putIfDecided(values, decided, value));
            update.contents()
                    .forEach(content -> putIfDecided(
                            values,
                            decided,
                            new Value(update.name(), content.generation(), content.content(), content.proposer())));
            long rejectedGeneration = !isUsable(decided.staged(), values, validator)
                    ? decided.staged()
                    : !isUsable(decided.inForce(), values, validator) ? decided.inForce() : 0;
            next.put(update.name(), new NameLease(holder.rejectGeneration(rejectedGeneration), values));
        }
        return new LeaseView(
                unnamedHolder,
                next,
                response.complete()
                        ? Math.max(leaseUntilMs, unnamedHolder.lastRequestAtMs() + response.leaseMs())
                        : leaseUntilMs);
    }

    private static void putIfDecided(Map<Long, Value> values, DecidedVersion decided, Value value) {
        if (value.generation() == decided.inForce() || value.generation() == decided.staged()) {
            values.put(value.generation(), value);
        }
    }

    private static boolean isUsable(long generation, Map<Long, Value> values, BiPredicate<String, byte[]> validator) {
        Value value = values.get(generation);
        return generation == 0 || value != null && validator.test(value.name(), value.content());
    }

    EffectiveGenerations effectiveVersions(String name, double nowMs) {
        NameLease lease = names.get(name);
        return lease == null ? EffectiveGenerations.IN_DOUBT : lease.holder().effectiveGenerations(nowMs);
    }

    Optional<EffectiveValues> effectiveValues(String name, double nowMs) {
        EffectiveGenerations effective = effectiveVersions(name, nowMs);
        if (effective.inDoubt()) {
            return Optional.empty();
        }
        Map<Long, Value> values = names.get(name).values();
        return Optional.of(new EffectiveValues(
                values.get(effective.first()),
                effective.second() == effective.first() ? null : values.get(effective.second())));
    }

    /** The last value in force that this member was notified of. */
    Optional<Value> lastKnown(String name) {
        return Optional.ofNullable(names.get(name))
                .map(lease -> lease.values().get(lease.holder().decided().inForce()));
    }

    DecidedVersion decided(String name) {
        return names.containsKey(name) ? names.get(name).holder().decided() : DecidedVersion.NONE;
    }

    /** The generation of this name that the member can't use; 0 if none. */
    long rejectedGeneration(String name) {
        return names.containsKey(name) ? names.get(name).holder().rejectedGeneration() : 0;
    }

    List<String> names() {
        return List.copyOf(names.keySet());
    }

    /** End of the lease that covers all names, in milliseconds. */
    double leaseUntilMs() {
        return leaseUntilMs;
    }

    /** The number of the last renewal request. */
    long lastRequestNumber() {
        return unnamedHolder.lastRequestNumber();
    }
}

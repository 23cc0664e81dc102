package brackenbridge.core.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The request classes, their priority levels and the token buckets of the paper: within the guaranteed rate d of its
 * tenant or, where there are no quotas, of the node, a request gets the top priority.
 */
final class RequestClasses {
    /** The mean response time assumed before the first response, in microseconds. */
    private static final long INITIAL_RESPONSE_TIME = 250_000;
    /** The ratio of a tenant's quota to its guaranteed rate d. */
    private static final double QUOTA_PER_GUARANTEED_RATE = 16;
    /** The ratio of the rate of responses to the guaranteed rate d of a node without quotas. */
    private static final double ANSWERS_PER_GUARANTEED_RATE = 20;

    private final Map<String, RequestClassState> classes = new HashMap<>();
    private final Map<String, TokenBucket> guaranteedRates = new HashMap<>();
    private final Map<String, TokenBucket> quotas = new HashMap<>();
    private final TokenBucket nodeGuaranteedRate = new TokenBucket();
    private int levels;
    private boolean anyIdempotent;

    /** Applies new settings; a class keeps its measurements under its name. */
    void applySettings(BalancerSettings settings) {
        Map<String, RequestClassState> before = new HashMap<>(classes);
        classes.clear();
        guaranteedRates.clear();
        quotas.clear();
        TreeSet<Double> weights = new TreeSet<>(Comparator.reverseOrder());
        for (RequestClass rules : settings.classes()) {
            classes.put(rules.name(), RequestClassState.of(rules, before.get(rules.name())));
            weights.add(rules.priorityWeight());
            if (!settings.tenants().isEmpty()) {
                weights.add(rules.priorityWeight() * settings.overShareWeight());
            }
        }
        rankClasses(settings, new ArrayList<>(weights));
        for (TenantShare tenant : settings.tenants()) {
            double quota = tenant.quotaPerSecond() / settings.instanceCount();
            guaranteedRates
                    .computeIfAbsent(tenant.name(), name -> new TokenBucket())
                    .setRate(quota / QUOTA_PER_GUARANTEED_RATE);
            if (quota > 0) {
                quotas.computeIfAbsent(tenant.name(), name -> new TokenBucket()).setRate(quota);
            }
        }
    }

    private void rankClasses(BalancerSettings settings, List<Double> weights) {
        levels = weights.size();
        anyIdempotent = false;
        for (RequestClassState state : classes.values()) {
            state.level = weights.indexOf(state.rules.priorityWeight());
            state.overShareLevel = settings.tenants().isEmpty()
                    ? state.level
                    : weights.indexOf(state.rules.priorityWeight() * settings.overShareWeight());
            anyIdempotent |= state.rules.idempotence() == Idempotence.IDEMPOTENT;
        }
    }

    /** Returns the class of this name; throws an exception if there is none. */
    RequestClassState require(String name) {
        RequestClassState state = classes.get(name);
        if (state == null) {
            throw new IllegalArgumentException("request of unknown class: " + name);
        }
        return state;
    }

    Collection<RequestClassState> all() {
        return classes.values();
    }

    /** The number of priority levels. */
    int levels() {
        return levels;
    }

    /** Whether the requests of some class may be sent again without restriction. */
    boolean anyIdempotent() {
        return anyIdempotent;
    }

    /** Returns the priority level of a request that arrives now, and takes the tokens for it. */
    int assignLevel(long now, RequestClassState requestClass, String tenant) {
        TokenBucket quota = quotas.get(tenant);
        if (quota != null && !quota.tryTakeToken(now)) {
            return requestClass.overShareLevel;
        }
        TokenBucket guaranteed = quota == null ? nodeGuaranteedRate : guaranteedRates.get(tenant);
        return guaranteed.tryTakeToken(now) ? 0 : requestClass.level;
    }

    /** Derives the guaranteed rate d of a node without quotas from its rate of responses. */
    void updateGuaranteedRate(double answersPerSecond) {
        nodeGuaranteedRate.setRate(answersPerSecond / ANSWERS_PER_GUARANTEED_RATE);
    }

    /** The mean response time over the classes, in microseconds; an initial value before the first response. */
    double meanResponseTime() {
        double sum = 0;
        int measured = 0;
        for (RequestClassState state : classes.values()) {
            if (state.meanTime > 0) {
                sum += state.meanTime;
                measured++;
            }
        }
        return measured == 0 ? INITIAL_RESPONSE_TIME : sum / measured;
    }
}

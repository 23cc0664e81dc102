package brackenbridge.fleet.share;

import brackenbridge.core.share.TenantQuotas;
import brackenbridge.core.share.TenantUse;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A node's side of the leases of one pool: asks, and says what its tenants may hold.
 *
 * <p>It acts by an answer for a lease from the moment of the question; then, until the leases of those to whom its
 * guaranteed part may have been lent have run out, by the smaller of that lease and the guaranteed part; then by the
 * guaranteed part. A node that has just started begins with nothing, in the same way: an earlier life of it may have
 * lent its part. Where the pool is smaller by its own list than the lessor knew, it takes its part of that. Plain:
 * times and values in, values out; times by one clock that never goes back.
 */
public final class QuotaLeaseClient {
    /** Tenants that a question names; the smaller ones count together. */
    static final int MAX_NAMED_TENANTS = 1000;
    /** How fast demand's estimate follows, in milliseconds. */
    private static final double DEMAND_TIME_CONSTANT_MS = 150;
    /** At what part of the time to drain calls are given up: the rest is for doing so. */
    private static final double CANCEL_AT_DRAIN_FRACTION = 0.85;

    private final String pool;
    private final QuotaLeaseTerms terms;
    private final long incarnation;
    private final Map<String, PoolUse> demand = new HashMap<>();
    private double demandReadAtMs = Double.NaN;
    private long lastRequest;
    private double requestedAtMs = Double.NEGATIVE_INFINITY;
    private long activeRequest;
    private long grantToken;
    private long highestToken;
    private double leaseEndMs = Double.NEGATIVE_INFINITY;
    private double grantReceivedAtMs;
    private int capacity;
    /** The smallest that the pool was since the last question. */
    private int lowestCapacity;

    private int members;
    private int leasedTotal;
    private int leaseCapacity = 1;
    private Map<String, Double> leaseByTenant = Map.of();
    private int inUse;
    private boolean ackPending;
    private boolean requestSoon;
    private long quotaEpoch;
    private double nextUpdateMs = Double.NEGATIVE_INFINITY;

    /** A node that starts now. */
    public QuotaLeaseClient(String pool, QuotaLeaseTerms terms, long life, double nowMs) {
        this.pool = pool;
        this.terms = terms;
        this.incarnation = life;
        this.grantReceivedAtMs = nowMs;
    }

    /** Its own list has the pool at so many connections, and the agreed membership has so many members. */
    public void updatePool(int newCapacity, int newMembers) {
        if (capacity != newCapacity || members != newMembers) {
            capacity = newCapacity;
            lowestCapacity = Math.min(lowestCapacity, capacity);
            reduceCapacity(capacity);
            members = newMembers;
            nextUpdateMs = Double.NEGATIVE_INFINITY;
            requestSoon = true;
        }
    }

    /** What its tenants wanted and used since the last reading. */
    public void recordDemand(double nowMs, List<TenantUse> uses) {
        double weight =
                Double.isNaN(demandReadAtMs) ? 1 : 1 - Math.exp(-(nowMs - demandReadAtMs) / DEMAND_TIME_CONSTANT_MS);
        demandReadAtMs = nowMs;
        Map<String, PoolUse> currentUse = new HashMap<>();
        for (TenantUse use : uses) {
            currentUse.put(
                    use.tenant(), new PoolUse(use.demand(), use.running(), use.rejectedPerSecond(), use.meanMs()));
        }
        demand.forEach((tenant, use) -> currentUse.putIfAbsent(tenant, new PoolUse(0, 0, 0, use.meanMs())));
        currentUse.replaceAll((tenant, use) -> {
            PoolUse previous = demand.get(tenant);
            return previous == null
                    ? use
                    : new PoolUse(
                            previous.demand() + weight * (use.demand() - previous.demand()),
                            use.inUse(),
                            use.rejectedPerSecond(),
                            use.meanMs());
        });
        // A tenant that is new here can't wait for its turn.
        requestSoon |= currentUse.keySet().stream()
                .anyMatch(tenant -> !demand.containsKey(tenant) && !leaseByTenant.containsKey(tenant));
        demand.clear();
        currentUse.forEach((tenant, use) -> {
            if (use.demand() > 0.01) {
                demand.put(tenant, use);
            }
        });
    }

    /** Connections that it uses now. */
    public void inUse(int connections) {
        ackPending |= inUse > leasedTotal && connections < inUse;
        inUse = connections;
    }

    /** When the next question is due. */
    public double nextRequestMs() {
        return requestedAtMs + (requestSoon ? terms.minRequestIntervalMs() : terms.requestIntervalMs());
    }

    /** It asks now. */
    public QuotaLeaseMessage.Request request(double nowMs) {
        lastRequest++;
        requestedAtMs = nowMs;
        lowestCapacity = capacity;
        requestSoon = false;
        ackPending = false;
        return new QuotaLeaseMessage.Request(
                pool,
                incarnation,
                lastRequest,
                activeRequest,
                grantToken,
                highestToken,
                nowMs < leaseEndMs ? leasedTotal : 0,
                Math.max(0, leaseEndMs - nowMs),
                inUse,
                demandByNamedTenant());
    }

    /** What is to be said of connections given back; empty if nothing. */
    public Optional<QuotaLeaseMessage.Ack> pendingAck() {
        if (!ackPending || activeRequest == 0) {
            return Optional.empty();
        }
        ackPending = false;
        return Optional.of(new QuotaLeaseMessage.Ack(pool, incarnation, activeRequest, inUse));
    }

    /** An answer has come. */
    public void receive(double nowMs, QuotaLeaseMessage.Grant grant) {
        // Guards against answers to another life or an older question, whose lease runs from another moment, and
        // against a lessor that was replaced.
        if (grant.incarnation() != incarnation
                || grant.requestNumber() != lastRequest
                || grant.requestNumber() == activeRequest
                || grant.token() < highestToken
                || grant.leaseMs() > terms.leaseMs()) {
            return;
        }
        activeRequest = grant.requestNumber();
        grantToken = grant.token();
        highestToken = grantToken;
        leaseEndMs = requestedAtMs + grant.leaseMs();
        grantReceivedAtMs = nowMs;
        leaseByTenant = grant.tenants();
        leasedTotal = grant.total();
        leaseCapacity = Math.max(1, grant.capacity());
        reduceCapacity(lowestCapacity);
        ackPending = true;
        nextUpdateMs = Double.NEGATIVE_INFINITY;
    }

    /** There is another lease to be had. */
    public void receive(QuotaLeaseMessage.RenewalNotice notice) {
        requestSoon |= notice.token() >= highestToken;
        highestToken = Math.max(highestToken, notice.token());
    }

    /** Whether there is something new to tell the node's reducer. */
    public boolean hasUpdate(double nowMs) {
        return members > 0 && nowMs >= nextUpdateMs;
    }

    /** What the node's tenants may hold now. */
    public TenantQuotas quotas(double nowMs) {
        quotaEpoch++;
        int guaranteedShare = terms.guaranteedFraction(capacity, members);
        int reducedShare = Math.min(leasedTotal, guaranteedShare);
        double shareLentUntilMs = grantReceivedAtMs + terms.shareLentMs();
        if (nowMs < leaseEndMs) {
            nextUpdateMs = leaseEndMs;
            return quotasUntil(leasedTotal, leaseEndMs, reducedShare);
        }
        nextUpdateMs = nowMs < shareLentUntilMs ? shareLentUntilMs : Double.POSITIVE_INFINITY;
        return nowMs < shareLentUntilMs
                ? quotasUntil(reducedShare, shareLentUntilMs, guaranteedShare)
                : quotasUntil(guaranteedShare, Double.POSITIVE_INFINITY, guaranteedShare);
    }

    /** Connections that it may use now. */
    public int usableConnections(double nowMs) {
        int guaranteedShare = terms.guaranteedFraction(capacity, members);
        return nowMs < leaseEndMs
                ? leasedTotal
                : nowMs < grantReceivedAtMs + terms.shareLentMs()
                        ? Math.min(leasedTotal, guaranteedShare)
                        : guaranteedShare;
    }

    /** Whether calls that outlast the lease are to be given up now. */
    public boolean mustCancelOverdueCalls(double nowMs) {
        return nowMs >= leaseEndMs + CANCEL_AT_DRAIN_FRACTION * terms.drainMs() && inUse > usableConnections(nowMs);
    }

    /** Demand as it was last read, as it is put among the records of the fleet. */
    public Map<String, PoolUse> demand() {
        return Map.copyOf(demand);
    }

    /** Cuts its lease to a smaller pool: for good, as the lessor does, so that growth gives nobody what others got. */
    private void reduceCapacity(int newCapacity) {
        if (newCapacity < leaseCapacity) {
            int previousTotal = leasedTotal;
            leasedTotal = (int) Math.floor((double) leasedTotal * newCapacity / leaseCapacity + 1e-9);
            leaseCapacity = Math.max(1, newCapacity);
            double remainingFraction = previousTotal == 0 ? 0 : (double) leasedTotal / previousTotal;
            leaseByTenant = leaseByTenant.entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue() * remainingFraction));
        }
    }

    private TenantQuotas quotasUntil(int current, double untilMs, int afterwards) {
        Map<String, Double> tenants = split(current);
        return new TenantQuotas(quotaEpoch, tenants, 0, Map.of(), untilMs, split(afterwards));
    }

    /** Connections split as the last lease was; all tenants together where there was none. */
    private Map<String, Double> split(int connections) {
        if (leasedTotal == 0) {
            return Map.of("", (double) connections);
        }
        Map<String, Double> quotas = new HashMap<>();
        leaseByTenant.forEach((tenant, leased) -> quotas.put(tenant, leased * connections / leasedTotal));
        return quotas;
    }

    private Map<String, PoolUse> demandByNamedTenant() {
        if (demand.size() <= MAX_NAMED_TENANTS) {
            return demand;
        }
        List<Map.Entry<String, PoolUse>> sorted = new ArrayList<>(demand.entrySet());
        sorted.sort(Comparator.comparingDouble(
                        (Map.Entry<String, PoolUse> entry) -> -entry.getValue().demand())
                .thenComparing(Map.Entry::getKey));
        Map<String, PoolUse> named = new HashMap<>();
        double demand = 0;
        double inUse = 0;
        double rejectedPerSecond = 0;
        double weightedHoldMs = 0;
        for (int i = 0; i < sorted.size(); i++) {
            PoolUse use = sorted.get(i).getValue();
            if (i < MAX_NAMED_TENANTS && !sorted.get(i).getKey().isEmpty()) {
                named.put(sorted.get(i).getKey(), use);
            } else {
                demand += use.demand();
                inUse += use.inUse();
                rejectedPerSecond += use.rejectedPerSecond();
                weightedHoldMs += use.demand() * use.meanMs();
            }
        }
        named.put("", new PoolUse(demand, inUse, rejectedPerSecond, demand > 0 ? weightedHoldMs / demand : 0));
        return named;
    }
}

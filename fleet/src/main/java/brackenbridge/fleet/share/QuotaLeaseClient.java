package brackenbridge.fleet.share;

import brackenbridge.core.share.TenantQuotas;
import brackenbridge.core.share.TenantUsage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A node's side of the leases of one pool: requests leases and computes the quotas of the node's tenants.
 *
 * <p>A grant is in force for one lease from the moment of its request. After that, until all leases that may have
 * borrowed this node's guaranteed share have expired, the node uses the smaller of the last lease and the guaranteed
 * share, and then the guaranteed share. A node that has just started begins with nothing and waits in the same way,
 * because its guaranteed share may be lent since an earlier incarnation. If the pool is smaller by the node's own
 * endpoint list than the lease server knew, the lease shrinks in proportion. Without I/O; times are of one monotonic
 * clock.
 */
public final class QuotaLeaseClient {
    /** The number of tenants that a request names; the smaller ones are summed up. */
    static final int MAX_NAMED_TENANTS = 1000;
    /** The time constant of the demand estimate, in milliseconds. */
    private static final double DEMAND_TIME_CONSTANT_MS = 150;
    /** The fraction of the drain time after which requests are cancelled; the rest is for the cancellation itself. */
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
    /** The smallest capacity since the last request. */
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

    /** Creates the client of a node that starts now. */
    public QuotaLeaseClient(String pool, QuotaLeaseTerms terms, long incarnation, double nowMs) {
        this.pool = pool;
        this.terms = terms;
        this.incarnation = incarnation;
        this.grantReceivedAtMs = nowMs;
    }

    /** Sets the pool's connections by the node's own endpoint list, and the number of agreed members. */
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

    /** Records what its tenants demanded and used since the last call. */
    public void recordDemand(double nowMs, List<TenantUsage> uses) {
        double weight =
                Double.isNaN(demandReadAtMs) ? 1 : 1 - Math.exp(-(nowMs - demandReadAtMs) / DEMAND_TIME_CONSTANT_MS);
        demandReadAtMs = nowMs;
        Map<String, PoolUse> currentUse = new HashMap<>();
        for (TenantUsage use : uses) {
            currentUse.put(
                    use.tenant(), new PoolUse(use.demand(), use.running(), use.rejectedPerSecond(), use.meanHoldMs()));
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
        // A tenant that is new at this node must not wait for the next regular request.
        requestSoon |= currentUse.keySet().stream()
                .anyMatch(tenant -> !demand.containsKey(tenant) && !leaseByTenant.containsKey(tenant));
        demand.clear();
        currentUse.forEach((tenant, use) -> {
            if (use.demand() > 0.01) {
                demand.put(tenant, use);
            }
        });
    }

    /** Sets the number of connections in use. */
    public void setInUse(int connections) {
        ackPending |= inUse > leasedTotal && connections < inUse;
        inUse = connections;
    }

    /** Returns when the next request is due. */
    public double nextRequestMs() {
        return requestedAtMs + (requestSoon ? terms.minRequestIntervalMs() : terms.requestIntervalMs());
    }

    /** Creates the next request. */
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

    /** Returns the acknowledgement that is due after connections were returned; empty if none is. */
    public Optional<QuotaLeaseMessage.Ack> pendingAck() {
        if (!ackPending || activeRequest == 0) {
            return Optional.empty();
        }
        ackPending = false;
        return Optional.of(new QuotaLeaseMessage.Ack(pool, incarnation, activeRequest, inUse));
    }

    /** Handles a grant. */
    public void receive(double nowMs, QuotaLeaseMessage.Grant grant) {
        // Guards against grants for another incarnation or an older request, whose lease runs from another moment, and
        // against a lease server that has been replaced.
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

    /** Handles a notice that a new lease is available. */
    public void receive(QuotaLeaseMessage.RenewalNotice notice) {
        requestSoon |= notice.token() >= highestToken;
        highestToken = Math.max(highestToken, notice.token());
    }

    /** Whether the quotas of the node's reducer have to be updated. */
    public boolean hasUpdate(double nowMs) {
        return members > 0 && nowMs >= nextUpdateMs;
    }

    /** Returns the current quotas of the node's tenants. */
    public TenantQuotas quotas(double nowMs) {
        quotaEpoch++;
        int guaranteedShare = terms.guaranteedConnections(capacity, members);
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

    /** Returns the connections that the node may use now. */
    public int usableConnections(double nowMs) {
        int guaranteedShare = terms.guaranteedConnections(capacity, members);
        return nowMs < leaseEndMs
                ? leasedTotal
                : nowMs < grantReceivedAtMs + terms.shareLentMs()
                        ? Math.min(leasedTotal, guaranteedShare)
                        : guaranteedShare;
    }

    /** Whether requests that outlast the lease have to be cancelled now. */
    public boolean mustCancelOverdueCalls(double nowMs) {
        return nowMs >= leaseEndMs + CANCEL_AT_DRAIN_FRACTION * terms.drainMs() && inUse > usableConnections(nowMs);
    }

    /** Returns the demand as last recorded, as published in the fleet's records. */
    public Map<String, PoolUse> demand() {
        return Map.copyOf(demand);
    }

    /** Shrinks the lease to a smaller pool for good, as the server does: later growth may be granted to others. */
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

    /** Splits connections in proportion to the last lease; without one, gives them to all tenants together. */
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
        double otherDemand = 0;
        double otherInUse = 0;
        double otherRejectedPerSecond = 0;
        double weightedHoldMs = 0;
        for (int i = 0; i < sorted.size(); i++) {
            PoolUse use = sorted.get(i).getValue();
            if (i < MAX_NAMED_TENANTS && !sorted.get(i).getKey().isEmpty()) {
                named.put(sorted.get(i).getKey(), use);
            } else {
                otherDemand += use.demand();
                otherInUse += use.inUse();
                otherRejectedPerSecond += use.rejectedPerSecond();
                weightedHoldMs += use.demand() * use.meanMs();
            }
        }
        named.put(
                "",
                new PoolUse(
                        otherDemand,
                        otherInUse,
                        otherRejectedPerSecond,
                        otherDemand > 0 ? weightedHoldMs / otherDemand : 0));
        return named;
    }
}

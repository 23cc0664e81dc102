package brackenbridge.fleet.share;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Grants the leases of one pool at the member that holds the lease server role. Without I/O; times are of one monotonic
 * clock.
 *
 * <p>Invariant: the connections that all members together may use never exceed the pool's capacity, whatever messages
 * are lost, late or repeated, whichever members stall, restart or are cut off, and whoever was the lease server before.
 * Assumptions: clock rates differ by at most the drift; one member at a time holds the role and checks this before each
 * action; nodes behave as {@link QuotaLeaseClient}; nodes learn of a smaller pool from their own endpoint lists as soon
 * as the server does.
 *
 * <p>The most that a member may use is the largest of: the grants that may be in force, which are the last one that it
 * acknowledged and all later ones, until they have expired and drained; the connections that it last reported in use;
 * and its guaranteed share, from one lease after the grant that it last acknowledged. Until then that share is lent to
 * others, because the leases that include it expire before the node counts on it again. A grant contains at most what
 * the capacity leaves beside the most that all others may use.
 *
 * <p>A new server knows no leases. For one expiry time it only renews the leases that nodes report, reduced by the
 * fraction of the pool that the guaranteed shares of the nodes that have not reported amount to. Together with those
 * shares this is no more than before.
 */
public final class QuotaLeaseServer {
    /** The interval between allocations, in milliseconds. */
    private static final double ALLOCATION_INTERVAL_MS = 25;
    /** How long a node's demand is valid after its request, in leases. */
    private static final double DEMAND_VALID_LEASES = 1.5;
    /** A lease is renewed if a tenant's share deviates by more than this fraction and this many connections. */
    private static final double RENEWAL_DEVIATION = 0.02;

    private static final double MIN_RENEWAL_DEVIATION = 0.2;

    private final String pool;
    private final QuotaLeaseTerms terms;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, Starvation> starvations = new TreeMap<>();
    private ShareRules rules = ShareRules.NONE;
    private int capacity;
    private int guaranteedShare;
    private int memberCount;
    private Allocator allocator = new Allocator();
    private Allocation allocation = Allocation.NONE;
    private double allocatedAtMs = Double.NEGATIVE_INFINITY;
    private boolean holdsRole;
    private long token;
    private double tookOverAtMs;
    private double starvationCheckedMs;

    /**
     * A message to a node.
     *
     * @param to the node
     * @param message the message
     */
    public record Outgoing(String to, QuotaLeaseMessage message) {}

    /**
     * An alarm about a tenant that stays below its floor despite demand.
     *
     * @param tenant the tenant
     * @param floor connections that it should have
     * @param inUse connections that it uses
     * @param durationMs how long this has lasted
     * @param cause the reason, as far as known
     */
    public record StarvedTenant(String tenant, double floor, double inUse, double durationMs, String cause) {}

    /**
     * The state of a node as known to the server, for operators.
     *
     * @param leased connections of the last lease
     * @param maxUse the most connections that it may use
     * @param inUse connections that it last reported in use
     * @param requestAgeMs the time since its last request
     */
    public record NodeState(String node, int leased, int maxUse, int inUse, double requestAgeMs) {}

    /**
     * The state of the server, for operators.
     *
     * @param recovering whether it still waits for the leases of an earlier server to expire
     */
    public record State(
            boolean holdsRole,
            long token,
            boolean recovering,
            int capacity,
            int maxUse,
            List<NodeState> nodes,
            Allocation allocation,
            List<StarvedTenant> starvedTenants) {}

    private record IssuedGrant(long requestNumber, int total, double issuedAtMs, Map<String, Double> tenants) {}

    private record Starvation(double sinceMs, double floor, double inUse) {}

    private static final class Node {
        private long incarnation = Long.MIN_VALUE;
        private long lastRequest;
        private double demandAtMs = Double.NEGATIVE_INFINITY;
        private Map<String, PoolUse> demand = Map.of();
        private final Map<String, Double> idleSinceMs = new HashMap<>();
        private final ArrayDeque<IssuedGrant> issued = new ArrayDeque<>();
        private IssuedGrant activeGrant;
        private int inUse;
        private boolean inheritedKnown;
        private int inherited;
        private double shareLentUntilMs = Double.NEGATIVE_INFINITY;
        private double noticeSentMs = Double.NEGATIVE_INFINITY;
        private int previousGuaranteedShare;
    }

    /** Creates a server that does not hold the role yet. */
    public QuotaLeaseServer(String pool, QuotaLeaseTerms terms) {
        this.pool = pool;
        this.terms = terms;
    }

    /** Sets the agreed membership. A removed member must have been stopped before. */
    public void setMembers(Collection<String> names) {
        int previousShare = guaranteedShare;
        nodes.keySet().retainAll(names);
        names.forEach(name -> nodes.computeIfAbsent(name, k -> new Node()));
        memberCount = names.size();
        guaranteedShare = terms.guaranteedConnections(capacity, memberCount);
        nodes.values().forEach(node -> node.previousGuaranteedShare = Math.max(previousShare, guaranteedShare));
        allocatedAtMs = Double.NEGATIVE_INFINITY;
    }

    /** Sets the pool's connections, as given by the fleet file and the endpoint list. */
    public void setCapacity(int connections) {
        if (connections < capacity) {
            for (Node node : nodes.values()) {
                node.previousGuaranteedShare = 0;
                node.inUse = scaleDown(node.inUse, capacity, connections);
                node.inherited = scaleDown(node.inherited, capacity, connections);
                List<IssuedGrant> previousGrants = new ArrayList<>(node.issued);
                node.issued.clear();
                for (IssuedGrant grant : previousGrants) {
                    IssuedGrant reduced = new IssuedGrant(
                            grant.requestNumber(),
                            scaleDown(grant.total(), capacity, connections),
                            grant.issuedAtMs(),
                            grant.tenants());
                    node.issued.add(reduced);
                    node.activeGrant = grant == node.activeGrant ? reduced : node.activeGrant;
                }
            }
        }
        capacity = connections;
        guaranteedShare = terms.guaranteedConnections(capacity, memberCount);
        allocatedAtMs = Double.NEGATIVE_INFINITY;
    }

    /** Sets the agreed rules. */
    public void setRules(ShareRules newRules) {
        rules = newRules;
        allocatedAtMs = Double.NEGATIVE_INFINITY;
    }

    /** Starts to act as the lease server, under this token. */
    public void takeOver(double nowMs, long newToken) {
        holdsRole = true;
        token = newToken;
        tookOverAtMs = nowMs;
        allocator = new Allocator();
        allocation = Allocation.NONE;
        allocatedAtMs = Double.NEGATIVE_INFINITY;
        starvations.clear();
        nodes.replaceAll((k, previous) -> {
            Node replacement = new Node();
            replacement.previousGuaranteedShare = previous.previousGuaranteedShare;
            return replacement;
        });
    }

    /** Stops acting as the lease server. */
    public void loseRole() {
        holdsRole = false;
    }

    /** Records a node's demand from another source, such as a replicated record; the node's own requests replace it. */
    public void recordReportedDemand(double nowMs, String nodeName, Map<String, PoolUse> demand, double ageMs) {
        Node node = nodes.get(nodeName);
        if (node != null && node.incarnation == Long.MIN_VALUE && ageMs <= DEMAND_VALID_LEASES * terms.leaseMs()) {
            node.demand = demand;
            node.demandAtMs = nowMs - ageMs;
        }
    }

    /** Handles a message from a node. */
    public List<Outgoing> receive(double nowMs, String from, QuotaLeaseMessage message) {
        Node node = nodes.get(from);
        if (!holdsRole || node == null) {
            return List.of();
        }
        if (message instanceof QuotaLeaseMessage.Request request) {
            return handleRequest(nowMs, from, node, request);
        }
        if (message instanceof QuotaLeaseMessage.Ack ack && ack.incarnation() == node.incarnation) {
            confirmActive(node, ack.requestNumber());
            if (node.activeGrant != null && node.activeGrant.requestNumber() == ack.requestNumber()) {
                node.inUse = Math.max(0, ack.inUse());
            }
        }
        return runDue(nowMs);
    }

    /** Updates the allocation if it is due, and notifies nodes that should request a new lease. */
    public List<Outgoing> runDue(double nowMs) {
        if (!holdsRole || nowMs < allocatedAtMs + ALLOCATION_INTERVAL_MS) {
            return List.of();
        }
        List<Outgoing> messages = new ArrayList<>();
        if (isRecovering(nowMs)) {
            allocatedAtMs = nowMs;
            boolean listened = nowMs >= tookOverAtMs + listenMs();
            nodes.forEach((name, node) -> {
                if (nowMs >= node.noticeSentMs + listenMs()
                        && (listened ? node.inherited > 0 && node.issued.isEmpty() : !node.inheritedKnown)) {
                    node.noticeSentMs = nowMs;
                    messages.add(new Outgoing(name, new QuotaLeaseMessage.RenewalNotice(pool, token)));
                }
            });
            return messages;
        }
        updateAllocation(nowMs);
        int unused = capacity - maxUse(nowMs);
        for (Map.Entry<String, Node> entry : nodes.entrySet()) {
            Node node = entry.getValue();
            if (node.lastRequest > 0
                    && nowMs >= node.noticeSentMs + terms.minRequestIntervalMs()
                    && nowMs < node.demandAtMs + terms.leaseMs()
                    && needsNewLease(entry.getKey(), node, unused)) {
                node.noticeSentMs = nowMs;
                messages.add(new Outgoing(entry.getKey(), new QuotaLeaseMessage.RenewalNotice(pool, token)));
            }
        }
        return messages;
    }

    /** Returns when {@link #runDue} has to be called next. */
    public double nextRunMs() {
        return holdsRole ? allocatedAtMs + ALLOCATION_INTERVAL_MS : Double.POSITIVE_INFINITY;
    }

    /** Returns the most connections that all members together may use. */
    public int maxUse(double nowMs) {
        int sum = 0;
        for (Node node : nodes.values()) {
            sum += maxUse(node, nowMs);
        }
        return sum;
    }

    /** Returns the server's state, for operators. */
    public State state(double nowMs) {
        List<NodeState> nodeStates = new ArrayList<>();
        nodes.forEach((name, node) -> nodeStates.add(new NodeState(
                name,
                node.issued.isEmpty() ? 0 : node.issued.getLast().total(),
                maxUse(node, nowMs),
                node.inUse,
                nowMs - node.demandAtMs)));
        List<StarvedTenant> starvedTenants = new ArrayList<>();
        starvations.forEach((tenant, starvation) -> {
            if (nowMs - starvation.sinceMs() > rules.starvationMs()) {
                starvedTenants.add(new StarvedTenant(
                        tenant,
                        starvation.floor(),
                        starvation.inUse(),
                        nowMs - starvation.sinceMs(),
                        starvationCause(tenant, nowMs)));
            }
        });
        return new State(
                holdsRole,
                token,
                holdsRole && isRecovering(nowMs),
                capacity,
                maxUse(nowMs),
                nodeStates,
                allocation,
                starvedTenants);
    }

    private boolean isRecovering(double nowMs) {
        return token > 0 && nowMs < tookOverAtMs + terms.expiryWaitMs();
    }

    /** How long a new server collects reports before it renews leases, in milliseconds. */
    private double listenMs() {
        return terms.requestIntervalMs() / 2;
    }

    private List<Outgoing> handleRequest(double nowMs, String from, Node node, QuotaLeaseMessage.Request request) {
        if (request.incarnation() < node.incarnation
                || request.incarnation() == node.incarnation && request.requestNumber() <= node.lastRequest) {
            // Guards against repeated requests with outdated demand.
            return List.of();
        }
        if (request.incarnation() > node.incarnation) {
            // The former incarnation has ended, and its use with it. The new one starts with nothing.
            node.issued.clear();
            node.activeGrant = null;
            node.incarnation = request.incarnation();
            node.inheritedKnown = false;
            node.inherited = 0;
            node.shareLentUntilMs = Double.NEGATIVE_INFINITY;
        }
        node.lastRequest = request.requestNumber();
        node.demandAtMs = nowMs;
        node.demand = request.demand();
        if (request.token() == token) {
            confirmActive(node, request.activeRequest());
        }
        node.inUse = Math.max(0, request.inUse());
        if (isRecovering(nowMs) && request.highestToken() < token) {
            // Guards against a request from before the takeover: its lease may have been granted to others since.
            return List.of(new Outgoing(from, new QuotaLeaseMessage.RenewalNotice(pool, token)));
        }
        if (!node.inheritedKnown) {
            node.inheritedKnown = true;
            node.inherited = request.token() < token ? Math.max(0, request.leased()) : 0;
            // The last grant arrived no earlier than one lease minus the remaining time before this request, and this
            // request was sent after the takeover.
            node.shareLentUntilMs = node.inherited > 0
                    ? tookOverAtMs
                            + Math.min(request.remainingMs(), terms.leaseMs())
                                    * (1 - terms.clockDrift())
                                    / (1 + terms.clockDrift())
                    : Double.NEGATIVE_INFINITY;
        }
        Map<String, Double> leaseByTenant =
                isRecovering(nowMs) ? renewInheritedLease(nowMs, node) : newLease(nowMs, from, node);
        List<Outgoing> messages = new ArrayList<>();
        if (leaseByTenant != null) {
            int total = (int) Math.round(
                    leaseByTenant.values().stream().mapToDouble(d -> d).sum());
            node.issued.add(new IssuedGrant(request.requestNumber(), total, nowMs, leaseByTenant));
            messages.add(new Outgoing(
                    from,
                    new QuotaLeaseMessage.Grant(
                            pool,
                            node.incarnation,
                            request.requestNumber(),
                            token,
                            terms.leaseMs(),
                            capacity,
                            memberCount,
                            leaseByTenant)));
        }
        messages.addAll(runDue(nowMs));
        return messages;
    }

    /** Renews the lease that a node reports from an earlier server, reduced by what unreported nodes may count on. */
    private Map<String, Double> renewInheritedLease(double nowMs, Node node) {
        if (node.inherited == 0 || capacity <= 0 || nowMs < tookOverAtMs + listenMs()) {
            return null;
        }
        double unreported = 0;
        // Requests beyond a reduced lease are still in flight: what is renewed must fit into what they leave.
        double excessUse = 0;
        for (Node other : nodes.values()) {
            excessUse += other.inheritedKnown ? Math.max(0, other.inUse - other.inherited) : 0;
            unreported += other != node && !hasLentShare(other, nowMs)
                    ? Math.max(guaranteedShare, other.previousGuaranteedShare)
                    : 0;
        }
        int total = (int) Math.floor(node.inherited * Math.max(0, 1 - unreported / Math.max(1, capacity - excessUse))
                + 1e-9);
        return split(total, node.demand);
    }

    private Map<String, Double> newLease(double nowMs, String from, Node node) {
        if (nowMs >= allocatedAtMs + ALLOCATION_INTERVAL_MS
                || !allocation.connectionsByNode().containsKey(from)) {
            updateAllocation(nowMs);
        }
        int usedByOthers = maxUse(nowMs) - maxUse(node, nowMs);
        int total = Math.min(allocation.nodeTotal(from), Math.max(0, capacity - usedByOthers));
        Map<String, Double> target = allocation.connectionsByNode().getOrDefault(from, Map.of());
        return scaleTo(target, total);
    }

    private static Map<String, Double> scaleTo(Map<String, Double> shares, int total) {
        double sum = shares.values().stream().mapToDouble(amount -> amount).sum();
        Map<String, Double> scaled = new HashMap<>();
        if (sum > 0 && total > 0) {
            shares.forEach((tenant, amount) -> scaled.put(tenant, amount * total / sum));
        }
        return scaled;
    }

    /** Splits the connections of one node among its tenants, by the rules. */
    private Map<String, Double> split(int total, Map<String, PoolUse> demand) {
        Map<String, Double> bounded = new HashMap<>();
        demand.forEach((tenant, use) -> bounded.put(tenant, boundedDemand(use.demand())));
        return scaleTo(
                new Allocator()
                        .allocate(total, rules, Map.of("", bounded))
                        .connectionsByNode()
                        .getOrDefault("", Map.of()),
                total);
    }

    /** The node has confirmed that this grant is in force: earlier ones no longer count. */
    private static void confirmActive(Node node, long requestNumber) {
        IssuedGrant confirmed = null;
        for (IssuedGrant grant : node.issued) {
            if (grant.requestNumber() == requestNumber) {
                confirmed = grant;
            }
        }
        if (confirmed != null) {
            node.activeGrant = confirmed;
            while (node.issued.peekFirst() != confirmed) {
                node.issued.removeFirst();
            }
        }
    }

    /** Whether the node's guaranteed share is lent: leases granted now expire before the node counts on it again. */
    private boolean hasLentShare(Node node, double nowMs) {
        return node.activeGrant != null && nowMs <= node.activeGrant.issuedAtMs() + terms.leaseMs()
                || nowMs <= node.shareLentUntilMs;
    }

    private int maxUse(Node node, double nowMs) {
        while (!node.issued.isEmpty() && nowMs > node.issued.peekFirst().issuedAtMs() + terms.expiryWaitMs()) {
            node.issued.removeFirst();
        }
        int max = hasLentShare(node, nowMs) ? 0 : Math.max(guaranteedShare, node.previousGuaranteedShare);
        for (IssuedGrant grant : node.issued) {
            max = Math.max(max, grant.total());
        }
        if (!node.issued.isEmpty()) {
            // Requests that began under an earlier lease and are still in flight.
            max = Math.max(max, node.inUse);
        }
        return max;
    }

    /** Shrinks a lease as the node itself does when its endpoint list shrinks; it does not grow back. */
    private static int scaleDown(int connections, int from, int to) {
        return (int) Math.floor((double) connections * to / from + 1e-9);
    }

    private boolean needsNewLease(String name, Node node, int unused) {
        if (node.issued.isEmpty()) {
            return unused > 0;
        }
        IssuedGrant grant = node.issued.getLast();
        Map<String, Double> target = allocation.connectionsByNode().getOrDefault(name, Map.of());
        int total = allocation.nodeTotal(name);
        if (total < grant.total()) {
            return true;
        }
        if (total > grant.total() && unused > 0) {
            return true;
        }
        for (Map.Entry<String, Double> entry : target.entrySet()) {
            double deviation = Math.abs(entry.getValue() - grant.tenants().getOrDefault(entry.getKey(), 0.0));
            if (total == grant.total()
                    && deviation > MIN_RENEWAL_DEVIATION
                    && deviation > RENEWAL_DEVIATION * entry.getValue()) {
                return true;
            }
        }
        return false;
    }

    private void updateAllocation(double nowMs) {
        allocatedAtMs = nowMs;
        Map<String, Map<String, Double>> demand = new TreeMap<>();
        Map<String, double[]> totalsByTenant = new HashMap<>();
        nodes.forEach((name, node) -> {
            if (nowMs - node.demandAtMs <= DEMAND_VALID_LEASES * terms.leaseMs()) {
                Map<String, Double> credible = new HashMap<>();
                node.demand.forEach((tenant, use) -> {
                    credible.put(tenant, credibleDemand(nowMs, node, tenant, use));
                    double[] totals = totalsByTenant.computeIfAbsent(tenant, k -> new double[2]);
                    totals[0] += boundedDemand(use.demand());
                    totals[1] += boundedDemand(use.inUse());
                });
                demand.put(name, credible);
            }
        });
        allocation = allocator.allocate(capacity, rules, demand);
        updateStarvations(nowMs, totalsByTenant);
    }

    /** Returns the demand, limited to the capacity; a tenant that leaves its lease unused is limited by its use. */
    private double credibleDemand(double nowMs, Node node, String tenant, PoolUse use) {
        double demand = boundedDemand(use.demand());
        double leased =
                node.activeGrant == null ? 0 : node.activeGrant.tenants().getOrDefault(tenant, 0.0);
        boolean idle = leased >= 1 && use.inUse() < 0.5 * Math.min(leased, demand);
        if (!idle) {
            node.idleSinceMs.remove(tenant);
            return demand;
        }
        double idleSinceMs = node.idleSinceMs.computeIfAbsent(tenant, k -> nowMs);
        return nowMs - idleSinceMs < terms.leaseMs() ? demand : Math.min(demand, 2 * boundedDemand(use.inUse()) + 1);
    }

    private double boundedDemand(double connections) {
        // Guards against NaN, and against a node that reports a demand above the capacity.
        return connections > 0 ? Math.min(connections, capacity) : 0;
    }

    private void updateStarvations(double nowMs, Map<String, double[]> totalsByTenant) {
        if (nowMs < starvationCheckedMs + 200) {
            return;
        }
        starvationCheckedMs = nowMs;
        allocation.tenants().forEach((tenant, allocated) -> {
            double[] totals = totalsByTenant.getOrDefault(tenant, new double[2]);
            double floor = Math.min(allocated.floor(), totals[0]);
            if (floor > 0.5 && totals[1] < 0.9 * floor) {
                double sinceMs = starvations.containsKey(tenant)
                        ? starvations.get(tenant).sinceMs()
                        : nowMs;
                starvations.put(tenant, new Starvation(sinceMs, floor, totals[1]));
            } else {
                starvations.remove(tenant);
            }
        });
        starvations.keySet().retainAll(allocation.tenants().keySet());
    }

    private String starvationCause(String tenant, double nowMs) {
        Allocation.TenantAllocation allocated = allocation.tenants().get(tenant);
        if (allocated != null && allocated.allocated() < 0.9 * allocated.floor()) {
            return "the floors exceed the pool's connections";
        }
        for (Map.Entry<String, Node> entry : nodes.entrySet()) {
            Node node = entry.getValue();
            int total = allocation.nodeTotal(entry.getKey());
            if (maxUse(node, nowMs) > total + 1) {
                return nowMs - node.demandAtMs > terms.requestIntervalMs() * 2
                        ? "node " + entry.getKey() + " does not report and may use " + maxUse(node, nowMs)
                                + " connections"
                        : "node " + entry.getKey() + " has " + node.inUse + " connections in use but is allocated "
                                + total;
            }
        }
        return "its lease is granted but not used";
    }
}

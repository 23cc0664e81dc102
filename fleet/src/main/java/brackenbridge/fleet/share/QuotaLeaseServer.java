package brackenbridge.fleet.share;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Grants the leases of one pool: the part of the member that holds the role. Plain: times, messages and values in,
 * messages out; times by one clock that never goes back.
 *
 * <p>Promise: what all members may use together never passes the pool's capacity, whatever messages are lost, late or
 * repeated, whoever stalls, starts again or is cut off, and whoever was the lessor before. Assumed: clocks' rates
 * differ by the drift at most; the role has one holder at a time, who asks before each act whether it is; a node
 * acts as {@link QuotaLeaseClient} does; nodes hear of a smaller pool by their own lists as soon as the lessor does.
 *
 * <p>What a member may use at the most is the largest of: the answers that it may act by, those being the last that
 * it has said that it acts by and all later ones, until they have run out and drained; what it last said that it
 * uses; and its guaranteed part, from a lease on after the answer that it last said that it acts by. Until then that
 * part is lent, for the leases that rest on it have run out before the node counts on it again. An answer gives no
 * more than the capacity leaves beside all others' most.
 *
 * <p>A new lessor knows no leases. For one wait it only renews what nodes show that they hold, cut by the part that
 * the guaranteed parts of those it has not heard of are of the pool: together with them that is no more than there
 * was.
 */
public final class QuotaLeaseServer {
    /** How often it divides anew; milliseconds. */
    private static final double ALLOCATION_INTERVAL_MS = 25;
    /** A node's demand is believed for as long as this after its question, in leases. */
    private static final double DEMAND_VALID_LEASES = 1.5;
    /** A lease is worth another answer if a tenant's part of it is off by this part and this many connections. */
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
     * @param message what
     */
    public record Outgoing(String to, QuotaLeaseMessage message) {}

    /**
     * A tenant that is under its floor though it wants more: an alarm.
     *
     * @param tenant which
     * @param floor connections that it should have
     * @param used connections that it uses
     * @param forMs for how long already
     * @param cause why, as far as known
     */
    public record StarvedTenant(String tenant, double floor, double inUse, double durationMs, String cause) {}

    /**
     * A node as the lessor sees it; for staff.
     *
     * @param leased connections of the last lease
     * @param most connections that it may use at the most
     * @param busy connections that it said it uses
     * @param heardMs how long ago it asked last
     */
    public record NodeState(String node, int leased, int maxUse, int inUse, double requestAgeMs) {}

    /**
     * All that the lessor knows; for staff.
     *
     * @param waits whether it still waits for another's leases to run out
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

    /** A lessor that does not act yet. */
    public QuotaLeaseServer(String pool, QuotaLeaseTerms terms) {
        this.pool = pool;
        this.terms = terms;
    }

    /** The agreed membership. A member that is taken out must have been stopped. */
    public void setMembers(Collection<String> names) {
        int before = guaranteedShare;
        nodes.keySet().retainAll(names);
        names.forEach(n -> nodes.computeIfAbsent(n, k -> new Node()));
        memberCount = names.size();
        guaranteedShare = terms.guaranteedFraction(capacity, memberCount);
        nodes.values().forEach(n -> n.previousGuaranteedShare = Math.max(before, guaranteedShare));
        allocatedAtMs = Double.NEGATIVE_INFINITY;
    }

    /** The pool's connections, by the file and the list. */
    public void capacity(int connections) {
        if (connections < capacity) {
            for (Node n : nodes.values()) {
                n.previousGuaranteedShare = 0;
                n.inUse = scaleDown(n.inUse, capacity, connections);
                n.inherited = scaleDown(n.inherited, capacity, connections);
                List<IssuedGrant> before = new ArrayList<>(n.issued);
                n.issued.clear();
                for (IssuedGrant g : before) {
                    IssuedGrant less = new IssuedGrant(
                            g.requestNumber(),
                            scaleDown(g.total(), capacity, connections),
                            g.issuedAtMs(),
                            g.tenants());
                    n.issued.add(less);
                    n.activeGrant = g == n.activeGrant ? less : n.activeGrant;
                }
            }
        }
        capacity = connections;
        guaranteedShare = terms.guaranteedFraction(capacity, memberCount);
        allocatedAtMs = Double.NEGATIVE_INFINITY;
    }

    /** The agreed rules. */
    public void rules(ShareRules r) {
        rules = r;
        allocatedAtMs = Double.NEGATIVE_INFINITY;
    }

    /** It holds the role from now on, by this token. */
    public void takeOver(double nowMs, long newToken) {
        holdsRole = true;
        token = newToken;
        tookOverAtMs = nowMs;
        allocator = new Allocator();
        allocation = Allocation.NONE;
        allocatedAtMs = Double.NEGATIVE_INFINITY;
        starvations.clear();
        nodes.replaceAll((k, n) -> {
            Node fresh = new Node();
            fresh.previousGuaranteedShare = n.previousGuaranteedShare;
            return fresh;
        });
    }

    /** It holds the role no longer. */
    public void loseRole() {
        holdsRole = false;
    }

    /** What a node was heard to want by others than itself, such as by records; what it says itself counts more. */
    public void recordReportedDemand(double nowMs, String node, Map<String, PoolUse> demand, double ageMs) {
        Node n = nodes.get(node);
        if (n != null && n.incarnation == Long.MIN_VALUE && ageMs <= DEMAND_VALID_LEASES * terms.leaseMs()) {
            n.demand = demand;
            n.demandAtMs = nowMs - ageMs;
        }
    }

    /** A message has come. */
    public List<Outgoing> receive(double nowMs, String from, QuotaLeaseMessage m) {
        Node n = nodes.get(from);
        if (!holdsRole || n == null) {
            return List.of();
        }
        if (m instanceof QuotaLeaseMessage.Request a) {
            return handleRequest(nowMs, from, n, a);
        }
        if (m instanceof QuotaLeaseMessage.Ack a && a.incarnation() == n.incarnation) {
            confirmActive(n, a.requestNumber());
            if (n.activeGrant != null && n.activeGrant.requestNumber() == a.requestNumber()) {
                n.inUse = Math.max(0, a.inUse());
            }
        }
        return runDue(nowMs);
    }

    /** Time has passed: divides anew if it is time, and nudges those who are worth it. */
    public List<Outgoing> runDue(double nowMs) {
        if (!holdsRole || nowMs < allocatedAtMs + ALLOCATION_INTERVAL_MS) {
            return List.of();
        }
        List<Outgoing> out = new ArrayList<>();
        if (isRecovering(nowMs)) {
            allocatedAtMs = nowMs;
            boolean heard = nowMs >= tookOverAtMs + listenMs();
            nodes.forEach((name, n) -> {
                if (nowMs >= n.noticeSentMs + listenMs()
                        && (heard ? n.inherited > 0 && n.issued.isEmpty() : !n.inheritedKnown)) {
                    n.noticeSentMs = nowMs;
                    out.add(new Outgoing(name, new QuotaLeaseMessage.RenewalNotice(pool, token)));
                }
            });
            return out;
        }
        updateAllocation(nowMs);
        int left = capacity - maxUse(nowMs);
        for (Map.Entry<String, Node> e : nodes.entrySet()) {
            Node n = e.getValue();
            if (n.lastRequest > 0
                    && nowMs >= n.noticeSentMs + terms.minRequestIntervalMs()
                    && nowMs < n.demandAtMs + terms.leaseMs()
                    && needsNewLease(e.getKey(), n, left)) {
                n.noticeSentMs = nowMs;
                out.add(new Outgoing(e.getKey(), new QuotaLeaseMessage.RenewalNotice(pool, token)));
            }
        }
        return out;
    }

    /** When {@link #due} is to be called. */
    public double nextRunMs() {
        return holdsRole ? allocatedAtMs + ALLOCATION_INTERVAL_MS : Double.POSITIVE_INFINITY;
    }

    /** Connections that all members may use together at the most. */
    public int maxUse(double nowMs) {
        int sum = 0;
        for (Node n : nodes.values()) {
            sum += maxUse(n, nowMs);
        }
        return sum;
    }

    /** For staff. */
    public State state(double nowMs) {
        List<NodeState> found = new ArrayList<>();
        nodes.forEach((name, n) -> found.add(new NodeState(
                name,
                n.issued.isEmpty() ? 0 : n.issued.getLast().total(),
                maxUse(n, nowMs),
                n.inUse,
                nowMs - n.demandAtMs)));
        List<StarvedTenant> hungry = new ArrayList<>();
        starvations.forEach((t, h) -> {
            if (nowMs - h.sinceMs() > rules.starvationMs()) {
                hungry.add(new StarvedTenant(t, h.floor(), h.inUse(), nowMs - h.sinceMs(), starvationCause(t, nowMs)));
            }
        });
        return new State(
                holdsRole, token, holdsRole && isRecovering(nowMs), capacity, maxUse(nowMs), found, allocation, hungry);
    }

    private boolean isRecovering(double nowMs) {
        return token > 0 && nowMs < tookOverAtMs + terms.expiryWaitMs();
    }

    /** How long a new lessor listens before it renews anything; milliseconds. */
    private double listenMs() {
        return terms.requestIntervalMs() / 2;
    }

    private List<Outgoing> handleRequest(double nowMs, String from, Node n, QuotaLeaseMessage.Request a) {
        if (a.incarnation() < n.incarnation || a.incarnation() == n.incarnation && a.requestNumber() <= n.lastRequest) {
            // Guards against old demand that is said again.
            return List.of();
        }
        if (a.incarnation() > n.incarnation) {
            // Its former life has ended, and with it all that it used. It begins with nothing.
            n.issued.clear();
            n.activeGrant = null;
            n.incarnation = a.incarnation();
            n.inheritedKnown = false;
            n.inherited = 0;
            n.shareLentUntilMs = Double.NEGATIVE_INFINITY;
        }
        n.lastRequest = a.requestNumber();
        n.demandAtMs = nowMs;
        n.demand = a.demand();
        if (a.token() == token) {
            confirmActive(n, a.activeRequest());
        }
        n.inUse = Math.max(0, a.inUse());
        if (isRecovering(nowMs) && a.highestToken() < token) {
            // Guards against a question from before it took over: what it shows may have been given to others since.
            return List.of(new Outgoing(from, new QuotaLeaseMessage.RenewalNotice(pool, token)));
        }
        if (!n.inheritedKnown) {
            n.inheritedKnown = true;
            n.inherited = a.token() < token ? Math.max(0, a.leased()) : 0;
            // Its last answer came a lease less what is left before this question at the earliest, and that question
            // was asked after the takeover.
            n.shareLentUntilMs = n.inherited > 0
                    ? tookOverAtMs
                            + Math.min(a.remainingMs(), terms.leaseMs())
                                    * (1 - terms.clockDrift())
                                    / (1 + terms.clockDrift())
                    : Double.NEGATIVE_INFINITY;
        }
        Map<String, Double> give = isRecovering(nowMs) ? renewInheritedLease(nowMs, n) : newLease(nowMs, from, n);
        List<Outgoing> out = new ArrayList<>();
        if (give != null) {
            int total =
                    (int) Math.round(give.values().stream().mapToDouble(d -> d).sum());
            n.issued.add(new IssuedGrant(a.requestNumber(), total, nowMs, give));
            out.add(new Outgoing(
                    from,
                    new QuotaLeaseMessage.Grant(
                            pool,
                            n.incarnation,
                            a.requestNumber(),
                            token,
                            terms.leaseMs(),
                            capacity,
                            memberCount,
                            give)));
        }
        out.addAll(runDue(nowMs));
        return out;
    }

    /** What it showed that it holds of another lessor, cut by what those not heard of may count on. */
    private Map<String, Double> renewInheritedLease(double nowMs, Node n) {
        if (n.inherited == 0 || capacity <= 0 || nowMs < tookOverAtMs + listenMs()) {
            return null;
        }
        double unheard = 0;
        // Calls beyond a lease that was lowered: what is renewed lies in what they leave.
        double beyond = 0;
        for (Node o : nodes.values()) {
            beyond += o.inheritedKnown ? Math.max(0, o.inUse - o.inherited) : 0;
            unheard += o != n && !hasLentShare(o, nowMs) ? Math.max(guaranteedShare, o.previousGuaranteedShare) : 0;
        }
        int total = (int) Math.floor(n.inherited * Math.max(0, 1 - unheard / Math.max(1, capacity - beyond)) + 1e-9);
        return split(total, n.demand);
    }

    private Map<String, Double> newLease(double nowMs, String from, Node n) {
        if (nowMs >= allocatedAtMs + ALLOCATION_INTERVAL_MS
                || !allocation.connectionsByNode().containsKey(from)) {
            updateAllocation(nowMs);
        }
        int others = maxUse(nowMs) - maxUse(n, nowMs);
        int total = Math.min(allocation.nodeTotal(from), Math.max(0, capacity - others));
        Map<String, Double> target = allocation.connectionsByNode().getOrDefault(from, Map.of());
        return scaleTo(target, total);
    }

    private static Map<String, Double> scaleTo(Map<String, Double> parts, int total) {
        double sum = parts.values().stream().mapToDouble(d -> d).sum();
        Map<String, Double> found = new HashMap<>();
        if (sum > 0 && total > 0) {
            parts.forEach((t, d) -> found.put(t, d * total / sum));
        }
        return found;
    }

    /** Among the tenants of one node alone, by the rules. */
    private Map<String, Double> split(int total, Map<String, PoolUse> demand) {
        Map<String, Double> wanted = new HashMap<>();
        demand.forEach((t, u) -> wanted.put(t, boundedDemand(u.demand())));
        return scaleTo(
                new Allocator()
                        .allocate(total, rules, Map.of("", wanted))
                        .connectionsByNode()
                        .getOrDefault("", Map.of()),
                total);
    }

    /** It has said that it acts by this answer: those before it count no more. */
    private static void confirmActive(Node n, long number) {
        IssuedGrant found = null;
        for (IssuedGrant g : n.issued) {
            if (g.requestNumber() == number) {
                found = g;
            }
        }
        if (found != null) {
            n.activeGrant = found;
            while (n.issued.peekFirst() != found) {
                n.issued.removeFirst();
            }
        }
    }

    /** Whether its guaranteed part is lent: leases granted now run out before it counts on that again. */
    private boolean hasLentShare(Node n, double nowMs) {
        return n.activeGrant != null && nowMs <= n.activeGrant.issuedAtMs() + terms.leaseMs()
                || nowMs <= n.shareLentUntilMs;
    }

    private int maxUse(Node n, double nowMs) {
        while (!n.issued.isEmpty() && nowMs > n.issued.peekFirst().issuedAtMs() + terms.expiryWaitMs()) {
            n.issued.removeFirst();
        }
        int most = hasLentShare(n, nowMs) ? 0 : Math.max(guaranteedShare, n.previousGuaranteedShare);
        for (IssuedGrant g : n.issued) {
            most = Math.max(most, g.total());
        }
        if (!n.issued.isEmpty()) {
            // Calls that began under an earlier lease and go on.
            most = Math.max(most, n.inUse);
        }
        return most;
    }

    /** A lease as its node cuts it by its own list, for good. */
    private static int scaleDown(int connections, int from, int to) {
        return (int) Math.floor((double) connections * to / from + 1e-9);
    }

    private boolean needsNewLease(String name, Node n, int left) {
        if (n.issued.isEmpty()) {
            return left > 0;
        }
        IssuedGrant g = n.issued.getLast();
        Map<String, Double> target = allocation.connectionsByNode().getOrDefault(name, Map.of());
        int total = allocation.nodeTotal(name);
        if (total < g.total()) {
            return true;
        }
        if (total > g.total() && left > 0) {
            return true;
        }
        for (Map.Entry<String, Double> e : target.entrySet()) {
            double off = Math.abs(e.getValue() - g.tenants().getOrDefault(e.getKey(), 0.0));
            if (total == g.total() && off > MIN_RENEWAL_DEVIATION && off > RENEWAL_DEVIATION * e.getValue()) {
                return true;
            }
        }
        return false;
    }

    private void updateAllocation(double nowMs) {
        allocatedAtMs = nowMs;
        Map<String, Map<String, Double>> demand = new TreeMap<>();
        Map<String, double[]> sums = new HashMap<>();
        nodes.forEach((name, n) -> {
            if (nowMs - n.demandAtMs <= DEMAND_VALID_LEASES * terms.leaseMs()) {
                Map<String, Double> believed = new HashMap<>();
                n.demand.forEach((t, u) -> {
                    believed.put(t, credibleDemand(nowMs, n, t, u));
                    double[] sum = sums.computeIfAbsent(t, k -> new double[2]);
                    sum[0] += boundedDemand(u.demand());
                    sum[1] += boundedDemand(u.inUse());
                });
                demand.put(name, believed);
            }
        });
        allocation = allocator.allocate(capacity, rules, demand);
        updateStarvations(nowMs, sums);
    }

    /** No node wants more than there is; who leaves unused what it has asked for is believed by its use. */
    private double credibleDemand(double nowMs, Node n, String tenant, PoolUse u) {
        double wanted = boundedDemand(u.demand());
        double leased = n.activeGrant == null ? 0 : n.activeGrant.tenants().getOrDefault(tenant, 0.0);
        boolean idle = leased >= 1 && u.inUse() < 0.5 * Math.min(leased, wanted);
        if (!idle) {
            n.idleSinceMs.remove(tenant);
            return wanted;
        }
        double since = n.idleSinceMs.computeIfAbsent(tenant, k -> nowMs);
        return nowMs - since < terms.leaseMs() ? wanted : Math.min(wanted, 2 * boundedDemand(u.inUse()) + 1);
    }

    private double boundedDemand(double connections) {
        // Guards against what is no number, and against a node that says that it wants more than there is.
        return connections > 0 ? Math.min(connections, capacity) : 0;
    }

    private void updateStarvations(double nowMs, Map<String, double[]> sums) {
        if (nowMs < starvationCheckedMs + 200) {
            return;
        }
        starvationCheckedMs = nowMs;
        allocation.tenants().forEach((t, p) -> {
            double[] sum = sums.getOrDefault(t, new double[2]);
            double floor = Math.min(p.floor(), sum[0]);
            if (floor > 0.5 && sum[1] < 0.9 * floor) {
                double since = starvations.containsKey(t) ? starvations.get(t).sinceMs() : nowMs;
                starvations.put(t, new Starvation(since, floor, sum[1]));
            } else {
                starvations.remove(t);
            }
        });
        starvations.keySet().retainAll(allocation.tenants().keySet());
    }

    private String starvationCause(String tenant, double nowMs) {
        Allocation.TenantAllocation p = allocation.tenants().get(tenant);
        if (p != null && p.allocated() < 0.9 * p.floor()) {
            return "the floors are more than the pool has";
        }
        for (Map.Entry<String, Node> e : nodes.entrySet()) {
            Node n = e.getValue();
            int total = allocation.nodeTotal(e.getKey());
            if (maxUse(n, nowMs) > total + 1) {
                return nowMs - n.demandAtMs > terms.requestIntervalMs() * 2
                        ? "node " + e.getKey() + " is not heard of and may use " + maxUse(n, nowMs) + " connections"
                        : "node " + e.getKey() + " has " + n.inUse + " connections in use and " + total + " for it";
            }
        }
        return "its lease is granted and not used";
    }
}

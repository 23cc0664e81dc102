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
    private static final double TURN_MS = 25;
    /** A node's demand is believed for as long as this after its question, in leases. */
    private static final double BELIEVED_LEASES = 1.5;
    /** A lease is worth another answer if a tenant's part of it is off by this part and this many connections. */
    private static final double OFF = 0.02;

    private static final double OFF_LEAST = 0.2;

    private final String pool;
    private final QuotaLeaseTerms terms;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, Hunger> hungers = new TreeMap<>();
    private ShareRules rules = ShareRules.NONE;
    private int capacity;
    private int guaranteed;
    private int membersNow;
    private Allocator allocator = new Allocator();
    private Allocation current = Allocation.NONE;
    private double dividedAtMs = Double.NEGATIVE_INFINITY;
    private boolean acts;
    private long token;
    private double tookOverAtMs;
    private double hungryReadMs;

    /**
     * A message to a node.
     *
     * @param to the node
     * @param message what
     */
    public record Out(String to, QuotaLeaseMessage message) {}

    /**
     * A tenant that is under its floor though it wants more: an alarm.
     *
     * @param tenant which
     * @param floor connections that it should have
     * @param used connections that it uses
     * @param forMs for how long already
     * @param cause why, as far as known
     */
    public record Hungry(String tenant, double floor, double used, double forMs, String cause) {}

    /**
     * A node as the lessor sees it; for staff.
     *
     * @param leased connections of the last lease
     * @param most connections that it may use at the most
     * @param busy connections that it said it uses
     * @param heardMs how long ago it asked last
     */
    public record NodeState(String node, int leased, int most, int busy, double heardMs) {}

    /**
     * All that the lessor knows; for staff.
     *
     * @param waits whether it still waits for another's leases to run out
     */
    public record State(
            boolean acts,
            long token,
            boolean waits,
            int capacity,
            int most,
            List<NodeState> nodes,
            Allocation allocation,
            List<Hungry> hungry) {}

    private record Granted(long number, int total, double atMs, Map<String, Double> tenants) {}

    private record Hunger(double sinceMs, double floor, double used) {}

    private static final class Node {
        private long life = Long.MIN_VALUE;
        private long number;
        private double heardMs = Double.NEGATIVE_INFINITY;
        private Map<String, PoolUse> demand = Map.of();
        private final Map<String, Double> doubtedSince = new HashMap<>();
        private final ArrayDeque<Granted> out = new ArrayDeque<>();
        private Granted acting;
        private int busy;
        private boolean based;
        private int base;
        private double lendsUntilMs = Double.NEGATIVE_INFINITY;
        private double nudgedMs = Double.NEGATIVE_INFINITY;
        private int guaranteedBefore;
    }

    /** A lessor that does not act yet. */
    public QuotaLeaseServer(String pool, QuotaLeaseTerms terms) {
        this.pool = pool;
        this.terms = terms;
    }

    /** The agreed membership. A member that is taken out must have been stopped. */
    public void members(Collection<String> names) {
        int before = guaranteed;
        nodes.keySet().retainAll(names);
        names.forEach(n -> nodes.computeIfAbsent(n, k -> new Node()));
        membersNow = names.size();
        guaranteed = terms.guaranteed(capacity, membersNow);
        nodes.values().forEach(n -> n.guaranteedBefore = Math.max(before, guaranteed));
        dividedAtMs = Double.NEGATIVE_INFINITY;
    }

    /** The pool's connections, by the file and the list. */
    public void capacity(int connections) {
        if (connections < capacity) {
            for (Node n : nodes.values()) {
                n.guaranteedBefore = 0;
                n.busy = cut(n.busy, capacity, connections);
                n.base = cut(n.base, capacity, connections);
                List<Granted> before = new ArrayList<>(n.out);
                n.out.clear();
                for (Granted g : before) {
                    Granted less =
                            new Granted(g.number(), cut(g.total(), capacity, connections), g.atMs(), g.tenants());
                    n.out.add(less);
                    n.acting = g == n.acting ? less : n.acting;
                }
            }
        }
        capacity = connections;
        guaranteed = terms.guaranteed(capacity, membersNow);
        dividedAtMs = Double.NEGATIVE_INFINITY;
    }

    /** The agreed rules. */
    public void rules(ShareRules r) {
        rules = r;
        dividedAtMs = Double.NEGATIVE_INFINITY;
    }

    /** It holds the role from now on, by this token. */
    public void takesOver(double nowMs, long newToken) {
        acts = true;
        token = newToken;
        tookOverAtMs = nowMs;
        allocator = new Allocator();
        current = Allocation.NONE;
        dividedAtMs = Double.NEGATIVE_INFINITY;
        hungers.clear();
        nodes.replaceAll((k, n) -> {
            Node fresh = new Node();
            fresh.guaranteedBefore = n.guaranteedBefore;
            return fresh;
        });
    }

    /** It holds the role no longer. */
    public void lost() {
        acts = false;
    }

    /** What a node was heard to want by others than itself, such as by records; what it says itself counts more. */
    public void heard(double nowMs, String node, Map<String, PoolUse> demand, double ageMs) {
        Node n = nodes.get(node);
        if (n != null && n.life == Long.MIN_VALUE && ageMs <= BELIEVED_LEASES * terms.leaseMs()) {
            n.demand = demand;
            n.heardMs = nowMs - ageMs;
        }
    }

    /** A message has come. */
    public List<Out> took(double nowMs, String from, QuotaLeaseMessage m) {
        Node n = nodes.get(from);
        if (!acts || n == null) {
            return List.of();
        }
        if (m instanceof QuotaLeaseMessage.Ask a) {
            return asked(nowMs, from, n, a);
        }
        if (m instanceof QuotaLeaseMessage.Ack a && a.life() == n.life) {
            acted(n, a.number());
            if (n.acting != null && n.acting.number() == a.number()) {
                n.busy = Math.max(0, a.busy());
            }
        }
        return due(nowMs);
    }

    /** Time has passed: divides anew if it is time, and nudges those who are worth it. */
    public List<Out> due(double nowMs) {
        if (!acts || nowMs < dividedAtMs + TURN_MS) {
            return List.of();
        }
        List<Out> out = new ArrayList<>();
        if (waits(nowMs)) {
            dividedAtMs = nowMs;
            boolean heard = nowMs >= tookOverAtMs + hearMs();
            nodes.forEach((name, n) -> {
                if (nowMs >= n.nudgedMs + hearMs() && (heard ? n.base > 0 && n.out.isEmpty() : !n.based)) {
                    n.nudgedMs = nowMs;
                    out.add(new Out(name, new QuotaLeaseMessage.Nudge(pool, token)));
                }
            });
            return out;
        }
        divide(nowMs);
        int left = capacity - most(nowMs);
        for (Map.Entry<String, Node> e : nodes.entrySet()) {
            Node n = e.getValue();
            if (n.number > 0
                    && nowMs >= n.nudgedMs + terms.leastMs()
                    && nowMs < n.heardMs + terms.leaseMs()
                    && worth(e.getKey(), n, left)) {
                n.nudgedMs = nowMs;
                out.add(new Out(e.getKey(), new QuotaLeaseMessage.Nudge(pool, token)));
            }
        }
        return out;
    }

    /** When {@link #due} is to be called. */
    public double wakeMs() {
        return acts ? dividedAtMs + TURN_MS : Double.POSITIVE_INFINITY;
    }

    /** Connections that all members may use together at the most. */
    public int most(double nowMs) {
        int sum = 0;
        for (Node n : nodes.values()) {
            sum += most(n, nowMs);
        }
        return sum;
    }

    /** For staff. */
    public State state(double nowMs) {
        List<NodeState> found = new ArrayList<>();
        nodes.forEach((name, n) -> found.add(new NodeState(
                name, n.out.isEmpty() ? 0 : n.out.getLast().total(), most(n, nowMs), n.busy, nowMs - n.heardMs)));
        List<Hungry> hungry = new ArrayList<>();
        hungers.forEach((t, h) -> {
            if (nowMs - h.sinceMs() > rules.hungerMs()) {
                hungry.add(new Hungry(t, h.floor(), h.used(), nowMs - h.sinceMs(), cause(t, nowMs)));
            }
        });
        return new State(acts, token, acts && waits(nowMs), capacity, most(nowMs), found, current, hungry);
    }

    private boolean waits(double nowMs) {
        return token > 0 && nowMs < tookOverAtMs + terms.waitMs();
    }

    /** How long a new lessor listens before it renews anything; milliseconds. */
    private double hearMs() {
        return terms.askMs() / 2;
    }

    private List<Out> asked(double nowMs, String from, Node n, QuotaLeaseMessage.Ask a) {
        if (a.life() < n.life || a.life() == n.life && a.number() <= n.number) {
            // Guards against old demand that is said again.
            return List.of();
        }
        if (a.life() > n.life) {
            // Its former life has ended, and with it all that it used. It begins with nothing.
            n.out.clear();
            n.acting = null;
            n.life = a.life();
            n.based = false;
            n.base = 0;
            n.lendsUntilMs = Double.NEGATIVE_INFINITY;
        }
        n.number = a.number();
        n.heardMs = nowMs;
        n.demand = a.demand();
        if (a.token() == token) {
            acted(n, a.acting());
        }
        n.busy = Math.max(0, a.busy());
        if (waits(nowMs) && a.heard() < token) {
            // Guards against a question from before it took over: what it shows may have been given to others since.
            return List.of(new Out(from, new QuotaLeaseMessage.Nudge(pool, token)));
        }
        if (!n.based) {
            n.based = true;
            n.base = a.token() < token ? Math.max(0, a.held()) : 0;
            // Its last answer came a lease less what is left before this question at the earliest, and that question
            // was asked after the takeover.
            n.lendsUntilMs = n.base > 0
                    ? tookOverAtMs + Math.min(a.leftMs(), terms.leaseMs()) * (1 - terms.drift()) / (1 + terms.drift())
                    : Double.NEGATIVE_INFINITY;
        }
        Map<String, Double> give = waits(nowMs) ? renewed(nowMs, n) : fresh(nowMs, from, n);
        List<Out> out = new ArrayList<>();
        if (give != null) {
            int total =
                    (int) Math.round(give.values().stream().mapToDouble(d -> d).sum());
            n.out.add(new Granted(a.number(), total, nowMs, give));
            out.add(new Out(
                    from,
                    new QuotaLeaseMessage.Grant(
                            pool, n.life, a.number(), token, terms.leaseMs(), capacity, membersNow, give)));
        }
        out.addAll(due(nowMs));
        return out;
    }

    /** What it showed that it holds of another lessor, cut by what those not heard of may count on. */
    private Map<String, Double> renewed(double nowMs, Node n) {
        if (n.base == 0 || capacity <= 0 || nowMs < tookOverAtMs + hearMs()) {
            return null;
        }
        double unheard = 0;
        // Calls beyond a lease that was lowered: what is renewed lies in what they leave.
        double beyond = 0;
        for (Node o : nodes.values()) {
            beyond += o.based ? Math.max(0, o.busy - o.base) : 0;
            unheard += o != n && !lends(o, nowMs) ? Math.max(guaranteed, o.guaranteedBefore) : 0;
        }
        int total = (int) Math.floor(n.base * Math.max(0, 1 - unheard / Math.max(1, capacity - beyond)) + 1e-9);
        return split(total, n.demand);
    }

    private Map<String, Double> fresh(double nowMs, String from, Node n) {
        if (nowMs >= dividedAtMs + TURN_MS || !current.nodes().containsKey(from)) {
            divide(nowMs);
        }
        int others = most(nowMs) - most(n, nowMs);
        int total = Math.min(current.total(from), Math.max(0, capacity - others));
        Map<String, Double> target = current.nodes().getOrDefault(from, Map.of());
        return scaled(target, total);
    }

    private static Map<String, Double> scaled(Map<String, Double> parts, int total) {
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
        demand.forEach((t, u) -> wanted.put(t, bounded(u.wanted())));
        return scaled(
                new Allocator().divide(total, rules, Map.of("", wanted)).nodes().getOrDefault("", Map.of()), total);
    }

    /** It has said that it acts by this answer: those before it count no more. */
    private static void acted(Node n, long number) {
        Granted found = null;
        for (Granted g : n.out) {
            if (g.number() == number) {
                found = g;
            }
        }
        if (found != null) {
            n.acting = found;
            while (n.out.peekFirst() != found) {
                n.out.removeFirst();
            }
        }
    }

    /** Whether its guaranteed part is lent: leases granted now run out before it counts on that again. */
    private boolean lends(Node n, double nowMs) {
        return n.acting != null && nowMs <= n.acting.atMs() + terms.leaseMs() || nowMs <= n.lendsUntilMs;
    }

    private int most(Node n, double nowMs) {
        while (!n.out.isEmpty() && nowMs > n.out.peekFirst().atMs() + terms.waitMs()) {
            n.out.removeFirst();
        }
        int most = lends(n, nowMs) ? 0 : Math.max(guaranteed, n.guaranteedBefore);
        for (Granted g : n.out) {
            most = Math.max(most, g.total());
        }
        if (!n.out.isEmpty()) {
            // Calls that began under an earlier lease and go on.
            most = Math.max(most, n.busy);
        }
        return most;
    }

    /** A lease as its node cuts it by its own list, for good. */
    private static int cut(int connections, int from, int to) {
        return (int) Math.floor((double) connections * to / from + 1e-9);
    }

    private boolean worth(String name, Node n, int left) {
        if (n.out.isEmpty()) {
            return left > 0;
        }
        Granted g = n.out.getLast();
        Map<String, Double> target = current.nodes().getOrDefault(name, Map.of());
        int total = current.total(name);
        if (total < g.total()) {
            return true;
        }
        if (total > g.total() && left > 0) {
            return true;
        }
        for (Map.Entry<String, Double> e : target.entrySet()) {
            double off = Math.abs(e.getValue() - g.tenants().getOrDefault(e.getKey(), 0.0));
            if (total == g.total() && off > OFF_LEAST && off > OFF * e.getValue()) {
                return true;
            }
        }
        return false;
    }

    private void divide(double nowMs) {
        dividedAtMs = nowMs;
        Map<String, Map<String, Double>> demand = new TreeMap<>();
        Map<String, double[]> sums = new HashMap<>();
        nodes.forEach((name, n) -> {
            if (nowMs - n.heardMs <= BELIEVED_LEASES * terms.leaseMs()) {
                Map<String, Double> believed = new HashMap<>();
                n.demand.forEach((t, u) -> {
                    believed.put(t, believed(nowMs, n, t, u));
                    double[] sum = sums.computeIfAbsent(t, k -> new double[2]);
                    sum[0] += bounded(u.wanted());
                    sum[1] += bounded(u.used());
                });
                demand.put(name, believed);
            }
        });
        current = allocator.divide(capacity, rules, demand);
        hunger(nowMs, sums);
    }

    /** No node wants more than there is; who leaves unused what it has asked for is believed by its use. */
    private double believed(double nowMs, Node n, String tenant, PoolUse u) {
        double wanted = bounded(u.wanted());
        double leased = n.acting == null ? 0 : n.acting.tenants().getOrDefault(tenant, 0.0);
        boolean idle = leased >= 1 && u.used() < 0.5 * Math.min(leased, wanted);
        if (!idle) {
            n.doubtedSince.remove(tenant);
            return wanted;
        }
        double since = n.doubtedSince.computeIfAbsent(tenant, k -> nowMs);
        return nowMs - since < terms.leaseMs() ? wanted : Math.min(wanted, 2 * bounded(u.used()) + 1);
    }

    private double bounded(double connections) {
        // Guards against what is no number, and against a node that says that it wants more than there is.
        return connections > 0 ? Math.min(connections, capacity) : 0;
    }

    private void hunger(double nowMs, Map<String, double[]> sums) {
        if (nowMs < hungryReadMs + 200) {
            return;
        }
        hungryReadMs = nowMs;
        current.tenants().forEach((t, p) -> {
            double[] sum = sums.getOrDefault(t, new double[2]);
            double floor = Math.min(p.floor(), sum[0]);
            if (floor > 0.5 && sum[1] < 0.9 * floor) {
                double since = hungers.containsKey(t) ? hungers.get(t).sinceMs() : nowMs;
                hungers.put(t, new Hunger(since, floor, sum[1]));
            } else {
                hungers.remove(t);
            }
        });
        hungers.keySet().retainAll(current.tenants().keySet());
    }

    private String cause(String tenant, double nowMs) {
        Allocation.Part p = current.tenants().get(tenant);
        if (p != null && p.given() < 0.9 * p.floor()) {
            return "the floors are more than the pool has";
        }
        for (Map.Entry<String, Node> e : nodes.entrySet()) {
            Node n = e.getValue();
            int total = current.total(e.getKey());
            if (most(n, nowMs) > total + 1) {
                return nowMs - n.heardMs > terms.askMs() * 2
                        ? "node " + e.getKey() + " is not heard of and may use " + most(n, nowMs) + " connections"
                        : "node " + e.getKey() + " has " + n.busy + " connections in use and " + total + " for it";
            }
        }
        return "its lease is granted and not used";
    }
}

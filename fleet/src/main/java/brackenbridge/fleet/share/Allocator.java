package brackenbridge.fleet.share;

import brackenbridge.fleet.share.ShareRules.Rule;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides a pool's connections over tenants and nodes: weighted max-min fairness over all nodes at once, from the
 * groups down to tenants and classes; then each tenant's part over nodes by its demand there, as Pisces (Shue,
 * Freedman and Shaikh, OSDI 2012) splits weights over replicas.
 *
 * <p>What is left when all have what they want goes on by weights up to ceilings, to those who have demand, so that a
 * rise finds room before it is heard of. Nodes get whole connections, by the largest remainders, and what a node
 * lost or won by that is carried over to the next division: over time each tenant has its part to less than a
 * connection. A node with demand gets one at least as long as there are as many connections as such nodes. Not for
 * more than one thread.
 */
public final class Allocator {
    /** What is believed to be wanted beyond the mean: a part of it, and a part of its root. */
    private static final double HEADROOM = 0.05;

    private static final double HEADROOM_ROOT = 0.25;
    private static final double EPSILON = 1e-9;

    private final Map<String, Double> roundingCarry = new HashMap<>();

    private static final class RuleNode {
        private final String key;
        private final Rule rule;
        private final List<RuleNode> children = new ArrayList<>();
        private final Map<String, Double> demandByNode = new TreeMap<>();
        private double demand;
        private double floor;
        private double ceiling;
        private double allocated;
        private double entitlement;

        private RuleNode(String key, Rule rule) {
            this.key = key;
            this.rule = rule;
            this.ceiling = rule.ceiling();
        }
    }

    /**
     * Divides.
     *
     * @param capacity connections of the pool
     * @param rules weights, floors and ceilings
     * @param demand for each node and tenant, connections that are believed to be wanted there
     */
    public Allocation allocate(int capacity, ShareRules rules, Map<String, Map<String, Double>> demand) {
        RuleNode root = buildTree(rules, demand);
        prune(root);
        if (root.children.isEmpty() || capacity <= 0) {
            roundingCarry.clear();
            return Allocation.NONE;
        }
        root.allocated = capacity;
        distribute(root, false, false);
        distribute(root, true, false);
        root.entitlement = capacity;
        distribute(root, true, true);
        List<RuleNode> leaves = new ArrayList<>();
        collectLeaves(root, leaves);
        Map<String, Map<String, Double>> exact = new TreeMap<>();
        Map<String, Allocation.TenantAllocation> parts = new LinkedHashMap<>();
        for (RuleNode p : leaves) {
            parts.put(
                    p.key,
                    new Allocation.TenantAllocation(
                            p.allocated, p.demand, p.entitlement, Math.min(p.floor, p.demand), p.rule.weight()));
            double sum = p.demandByNode.values().stream().mapToDouble(d -> d).sum();
            p.demandByNode.forEach((node, d) ->
                    exact.computeIfAbsent(node, k -> new HashMap<>()).put(p.key, p.allocated * d / sum));
        }
        return new Allocation(roundToWholeConnections(capacity, exact), parts);
    }

    private static RuleNode buildTree(ShareRules rules, Map<String, Map<String, Double>> demand) {
        RuleNode root = new RuleNode("", new Rule("", 1, 0, Double.POSITIVE_INFINITY, List.of()));
        Map<String, RuleNode> leaves = new HashMap<>();
        for (Rule g : rules.groups()) {
            RuleNode group = new RuleNode(g.name(), g);
            root.children.add(group);
            for (Rule t : g.children()) {
                RuleNode tenant = new RuleNode(t.name(), t);
                group.children.add(tenant);
                if (t.children().isEmpty()) {
                    leaves.put(t.name(), tenant);
                } else {
                    // Calls of classes that are not named stand beside the named ones, with weight 1.
                    RuleNode unnamed =
                            new RuleNode(t.name(), new Rule(t.name(), 1, 0, Double.POSITIVE_INFINITY, List.of()));
                    tenant.children.add(unnamed);
                    leaves.put(t.name(), unnamed);
                    for (Rule c : t.children()) {
                        RuleNode place = new RuleNode(t.name() + "/" + c.name(), c);
                        tenant.children.add(place);
                        leaves.put(place.key, place);
                    }
                }
            }
        }
        RuleNode others = new RuleNode("", rules.others());
        root.children.add(others);
        demand.forEach((node, tenants) -> tenants.forEach((key, d) -> {
            if (d > 0) {
                leaves.computeIfAbsent(key, k -> {
                            RuleNode p = new RuleNode(k, new Rule(k, 1, 0, Double.POSITIVE_INFINITY, List.of()));
                            others.children.add(p);
                            return p;
                        })
                        .demandByNode
                        .put(node, d * (1 + HEADROOM) + HEADROOM_ROOT * Math.sqrt(d));
            }
        }));
        others.children.sort(Comparator.comparing(p -> p.key));
        return root;
    }

    /** Takes away what has no demand, and sums up what is left. */
    private static void prune(RuleNode p) {
        p.children.forEach(Allocator::prune);
        p.children.removeIf(u -> u.demand <= 0);
        double sum = p.demandByNode.values().stream().mapToDouble(d -> d).sum();
        double floors = 0;
        double ceilings = p.children.isEmpty() ? Double.POSITIVE_INFINITY : 0;
        for (RuleNode u : p.children) {
            sum += u.demand;
            floors += u.floor;
            ceilings += u.ceiling;
        }
        p.ceiling = Math.min(p.ceiling, ceilings);
        p.demand = Math.min(p.ceiling, sum);
        p.floor = Math.min(p.demand, Math.max(p.rule.floor(), floors));
    }

    /** Divides what a place has among those under it: what is wanted, what is left, or what each is entitled to. */
    private static void distribute(RuleNode p, boolean all, boolean entitled) {
        int n = p.children.size();
        double[] weights = new double[n];
        double[] floors = new double[n];
        double[] most = new double[n];
        for (int i = 0; i < n; i++) {
            RuleNode u = p.children.get(i);
            weights[i] = u.rule.weight();
            floors[i] = all && !entitled ? u.allocated : u.floor;
            most[i] = all ? Math.max(u.ceiling, floors[i]) : u.demand;
            most[i] = Math.min(most[i], Math.max(floors[i], entitled ? p.entitlement : p.allocated));
        }
        double[] given = WaterFilling.fill(entitled ? p.entitlement : p.allocated, weights, floors, most);
        for (int i = 0; i < n; i++) {
            RuleNode u = p.children.get(i);
            if (entitled) {
                u.entitlement = given[i];
            } else {
                u.allocated = given[i];
            }
            distribute(u, all, entitled);
        }
    }

    private static void collectLeaves(RuleNode p, List<RuleNode> found) {
        if (p.children.isEmpty()) {
            found.add(p);
        }
        p.children.forEach(u -> collectLeaves(u, found));
    }

    private Map<String, Map<String, Double>> roundToWholeConnections(
            int capacity, Map<String, Map<String, Double>> exact) {
        Map<String, Double> sums = new TreeMap<>();
        exact.forEach((node, tenants) ->
                sums.put(node, tenants.values().stream().mapToDouble(d -> d).sum()));
        roundingCarry.keySet().retainAll(sums.keySet());
        double all =
                Math.min(capacity, sums.values().stream().mapToDouble(d -> d).sum());
        int left = (int) Math.floor(all + 1e-6);
        Map<String, Integer> totals = new TreeMap<>();
        boolean one = left >= sums.size();
        for (Map.Entry<String, Double> e : sums.entrySet()) {
            double due = e.getValue() + roundingCarry.getOrDefault(e.getKey(), 0.0);
            int t = Math.max(one ? 1 : 0, (int) Math.floor(due + EPSILON));
            totals.put(e.getKey(), t);
            left -= t;
        }
        List<String> byRemainder = new ArrayList<>(sums.keySet());
        byRemainder.sort(Comparator.comparingDouble(
                        (String k) -> totals.get(k) - sums.get(k) - roundingCarry.getOrDefault(k, 0.0))
                .thenComparing(k -> k));
        for (int i = 0; left > 0 && i < byRemainder.size(); i++, left--) {
            totals.merge(byRemainder.get(i), 1, Integer::sum);
        }
        // Guards against a sum over the capacity, by those that got their first one or what was carried over.
        while (left < 0) {
            String most = null;
            for (String k : byRemainder) {
                if (totals.get(k) > (one ? 1 : 0)
                        && (most == null || totals.get(k) - sums.get(k) > totals.get(most) - sums.get(most))) {
                    most = k;
                }
            }
            totals.merge(most, -1, Integer::sum);
            left++;
        }
        Map<String, Map<String, Double>> found = new TreeMap<>();
        exact.forEach((node, tenants) -> {
            double sum = sums.get(node);
            int t = totals.get(node);
            roundingCarry.put(node, Math.max(-1, Math.min(1, sum + roundingCarry.getOrDefault(node, 0.0) - t)));
            Map<String, Double> scaled = new TreeMap<>();
            tenants.forEach((k, d) -> scaled.put(k, sum > 0 ? d * t / sum : 0));
            found.put(node, scaled);
        });
        return found;
    }
}

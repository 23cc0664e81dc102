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
 * Divides a pool's connections among tenants and nodes: weighted max-min fairness over all nodes at once, from groups
 * down to tenants and classes; then each tenant's share among nodes by its demand there, as Pisces (Shue, Freedman and
 * Shaikh, OSDI 2012) splits weights over replicas.
 *
 * <p>Connections left over when all demand is met are divided by weight, up to the ceilings, among those with demand,
 * so that a rise in demand can be served before it is reported. Nodes get whole connections by largest remainder, and
 * each node's rounding error is carried over to the next allocation, so that over time each tenant gets its share to
 * within one connection. A node with demand gets at least one connection as long as there are as many connections as
 * such nodes. Not thread-safe.
 */
public final class Allocator {
    /** Headroom added to the mean demand: a fraction of it and a multiple of its square root. */
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
     * Divides the connections.
     *
     * @param capacity the pool's connections
     * @param rules weights, floors and ceilings
     * @param demand for each node and tenant, the estimated demand in connections
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
        Map<String, Map<String, Double>> exactShares = new TreeMap<>();
        Map<String, Allocation.TenantAllocation> tenants = new LinkedHashMap<>();
        for (RuleNode leaf : leaves) {
            tenants.put(
                    leaf.key,
                    new Allocation.TenantAllocation(
                            leaf.allocated,
                            leaf.demand,
                            leaf.entitlement,
                            Math.min(leaf.floor, leaf.demand),
                            leaf.rule.weight()));
            double totalDemand = leaf.demandByNode.values().stream()
                    .mapToDouble(amount -> amount)
                    .sum();
            leaf.demandByNode.forEach((node, amount) -> exactShares
                    .computeIfAbsent(node, k -> new HashMap<>())
                    .put(leaf.key, leaf.allocated * amount / totalDemand));
        }
        return new Allocation(roundToWholeConnections(capacity, exactShares), tenants);
    }

    private static RuleNode buildTree(ShareRules rules, Map<String, Map<String, Double>> demand) {
        RuleNode root = new RuleNode("", new Rule("", 1, 0, Double.POSITIVE_INFINITY, List.of()));
        Map<String, RuleNode> leaves = new HashMap<>();
        for (Rule groupRule : rules.groups()) {
            RuleNode group = new RuleNode(groupRule.name(), groupRule);
            root.children.add(group);
            for (Rule tenantRule : groupRule.children()) {
                RuleNode tenant = new RuleNode(tenantRule.name(), tenantRule);
                group.children.add(tenant);
                if (tenantRule.children().isEmpty()) {
                    leaves.put(tenantRule.name(), tenant);
                } else {
                    // Requests of unnamed classes form a sibling of the named classes, with weight 1.
                    RuleNode unnamed = new RuleNode(
                            tenantRule.name(), new Rule(tenantRule.name(), 1, 0, Double.POSITIVE_INFINITY, List.of()));
                    tenant.children.add(unnamed);
                    leaves.put(tenantRule.name(), unnamed);
                    for (Rule classRule : tenantRule.children()) {
                        RuleNode classNode = new RuleNode(tenantRule.name() + "/" + classRule.name(), classRule);
                        tenant.children.add(classNode);
                        leaves.put(classNode.key, classNode);
                    }
                }
            }
        }
        RuleNode others = new RuleNode("", rules.others());
        root.children.add(others);
        demand.forEach((node, tenants) -> tenants.forEach((key, amount) -> {
            if (amount > 0) {
                leaves.computeIfAbsent(key, k -> {
                            RuleNode unlisted = new RuleNode(k, new Rule(k, 1, 0, Double.POSITIVE_INFINITY, List.of()));
                            others.children.add(unlisted);
                            return unlisted;
                        })
                        .demandByNode
                        .put(node, amount * (1 + HEADROOM) + HEADROOM_ROOT * Math.sqrt(amount));
            }
        }));
        others.children.sort(Comparator.comparing(unlisted -> unlisted.key));
        return root;
    }

    /** Removes nodes without demand from the tree and sums up the rest. */
    private static void prune(RuleNode node) {
        node.children.forEach(Allocator::prune);
        node.children.removeIf(child -> child.demand <= 0);
        double demand = node.demandByNode.values().stream().mapToDouble(d -> d).sum();
        double sumFloors = 0;
        double sumCeilings = node.children.isEmpty() ? Double.POSITIVE_INFINITY : 0;
        for (RuleNode child : node.children) {
            demand += child.demand;
            sumFloors += child.floor;
            sumCeilings += child.ceiling;
        }
        node.ceiling = Math.min(node.ceiling, sumCeilings);
        node.demand = Math.min(node.ceiling, demand);
        node.floor = Math.min(node.demand, Math.max(node.rule.floor(), sumFloors));
    }

    /** Divides a node's connections among its children: up to demand, up to ceilings, or the entitlements. */
    private static void distribute(RuleNode node, boolean toCeilings, boolean entitlement) {
        int childCount = node.children.size();
        double[] weights = new double[childCount];
        double[] floors = new double[childCount];
        double[] maxima = new double[childCount];
        for (int i = 0; i < childCount; i++) {
            RuleNode child = node.children.get(i);
            weights[i] = child.rule.weight();
            floors[i] = toCeilings && !entitlement ? child.allocated : child.floor;
            maxima[i] = toCeilings ? Math.max(child.ceiling, floors[i]) : child.demand;
            maxima[i] = Math.min(maxima[i], Math.max(floors[i], entitlement ? node.entitlement : node.allocated));
        }
        double[] amounts = WaterFilling.fill(entitlement ? node.entitlement : node.allocated, weights, floors, maxima);
        for (int i = 0; i < childCount; i++) {
            RuleNode child = node.children.get(i);
            if (entitlement) {
                child.entitlement = amounts[i];
            } else {
                child.allocated = amounts[i];
            }
            distribute(child, toCeilings, entitlement);
        }
    }

    private static void collectLeaves(RuleNode node, List<RuleNode> leaves) {
        if (node.children.isEmpty()) {
            leaves.add(node);
        }
        node.children.forEach(child -> collectLeaves(child, leaves));
    }

    private Map<String, Map<String, Double>> roundToWholeConnections(
            int capacity, Map<String, Map<String, Double>> exactShares) {
        Map<String, Double> nodeSums = new TreeMap<>();
        exactShares.forEach((node, tenants) -> nodeSums.put(
                node, tenants.values().stream().mapToDouble(amount -> amount).sum()));
        roundingCarry.keySet().retainAll(nodeSums.keySet());
        double total = Math.min(
                capacity,
                nodeSums.values().stream().mapToDouble(amount -> amount).sum());
        int remaining = (int) Math.floor(total + 1e-6);
        Map<String, Integer> nodeTotals = new TreeMap<>();
        boolean oneForEach = remaining >= nodeSums.size();
        for (Map.Entry<String, Double> entry : nodeSums.entrySet()) {
            double exactTotal = entry.getValue() + roundingCarry.getOrDefault(entry.getKey(), 0.0);
            int nodeTotal = Math.max(oneForEach ? 1 : 0, (int) Math.floor(exactTotal + EPSILON));
            nodeTotals.put(entry.getKey(), nodeTotal);
            remaining -= nodeTotal;
        }
        List<String> byRemainder = new ArrayList<>(nodeSums.keySet());
        byRemainder.sort(Comparator.comparingDouble(
                        (String k) -> nodeTotals.get(k) - nodeSums.get(k) - roundingCarry.getOrDefault(k, 0.0))
                .thenComparing(k -> k));
        for (int i = 0; remaining > 0 && i < byRemainder.size(); i++, remaining--) {
            nodeTotals.merge(byRemainder.get(i), 1, Integer::sum);
        }
        // Guards against a sum above the capacity, from minimum connections or carried rounding errors.
        while (remaining < 0) {
            String mostRoundedUp = null;
            for (String k : byRemainder) {
                if (nodeTotals.get(k) > (oneForEach ? 1 : 0)
                        && (mostRoundedUp == null
                                || nodeTotals.get(k) - nodeSums.get(k)
                                        > nodeTotals.get(mostRoundedUp) - nodeSums.get(mostRoundedUp))) {
                    mostRoundedUp = k;
                }
            }
            nodeTotals.merge(mostRoundedUp, -1, Integer::sum);
            remaining++;
        }
        Map<String, Map<String, Double>> rounded = new TreeMap<>();
        exactShares.forEach((node, tenants) -> {
            double nodeSum = nodeSums.get(node);
            int nodeTotal = nodeTotals.get(node);
            roundingCarry.put(
                    node, Math.max(-1, Math.min(1, nodeSum + roundingCarry.getOrDefault(node, 0.0) - nodeTotal)));
            Map<String, Double> scaled = new TreeMap<>();
            tenants.forEach((k, amount) -> scaled.put(k, nodeSum > 0 ? amount * nodeTotal / nodeSum : 0));
            rounded.put(node, scaled);
        });
        return rounded;
    }
}

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
    private static final double LEAST = 1e-9;

    private final Map<String, Double> carried = new HashMap<>();

    private static final class Place {
        private final String key;
        private final Rule rule;
        private final List<Place> under = new ArrayList<>();
        private final Map<String, Double> demand = new TreeMap<>();
        private double wanted;
        private double floor;
        private double ceiling;
        private double given;
        private double entitled;

        private Place(String key, Rule rule) {
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
    public Allocation divide(int capacity, ShareRules rules, Map<String, Map<String, Double>> demand) {
        Place root = tree(rules, demand);
        prune(root);
        if (root.under.isEmpty() || capacity <= 0) {
            carried.clear();
            return Allocation.NONE;
        }
        root.given = capacity;
        give(root, false, false);
        give(root, true, false);
        root.entitled = capacity;
        give(root, true, true);
        List<Place> leaves = new ArrayList<>();
        leaves(root, leaves);
        Map<String, Map<String, Double>> exact = new TreeMap<>();
        Map<String, Allocation.Part> parts = new LinkedHashMap<>();
        for (Place p : leaves) {
            parts.put(
                    p.key,
                    new Allocation.Part(p.given, p.wanted, p.entitled, Math.min(p.floor, p.wanted), p.rule.weight()));
            double sum = p.demand.values().stream().mapToDouble(d -> d).sum();
            p.demand.forEach((node, d) ->
                    exact.computeIfAbsent(node, k -> new HashMap<>()).put(p.key, p.given * d / sum));
        }
        return new Allocation(whole(capacity, exact), parts);
    }

    private static Place tree(ShareRules rules, Map<String, Map<String, Double>> demand) {
        Place root = new Place("", new Rule("", 1, 0, Double.POSITIVE_INFINITY, List.of()));
        Map<String, Place> leaves = new HashMap<>();
        for (Rule g : rules.groups()) {
            Place group = new Place(g.name(), g);
            root.under.add(group);
            for (Rule t : g.under()) {
                Place tenant = new Place(t.name(), t);
                group.under.add(tenant);
                if (t.under().isEmpty()) {
                    leaves.put(t.name(), tenant);
                } else {
                    // Calls of classes that are not named stand beside the named ones, with weight 1.
                    Place unnamed = new Place(t.name(), new Rule(t.name(), 1, 0, Double.POSITIVE_INFINITY, List.of()));
                    tenant.under.add(unnamed);
                    leaves.put(t.name(), unnamed);
                    for (Rule c : t.under()) {
                        Place place = new Place(t.name() + "/" + c.name(), c);
                        tenant.under.add(place);
                        leaves.put(place.key, place);
                    }
                }
            }
        }
        Place others = new Place("", rules.others());
        root.under.add(others);
        demand.forEach((node, tenants) -> tenants.forEach((key, d) -> {
            if (d > 0) {
                leaves.computeIfAbsent(key, k -> {
                            Place p = new Place(k, new Rule(k, 1, 0, Double.POSITIVE_INFINITY, List.of()));
                            others.under.add(p);
                            return p;
                        })
                        .demand
                        .put(node, d * (1 + HEADROOM) + HEADROOM_ROOT * Math.sqrt(d));
            }
        }));
        others.under.sort(Comparator.comparing(p -> p.key));
        return root;
    }

    /** Takes away what has no demand, and sums up what is left. */
    private static void prune(Place p) {
        p.under.forEach(Allocator::prune);
        p.under.removeIf(u -> u.wanted <= 0);
        double sum = p.demand.values().stream().mapToDouble(d -> d).sum();
        double floors = 0;
        double ceilings = p.under.isEmpty() ? Double.POSITIVE_INFINITY : 0;
        for (Place u : p.under) {
            sum += u.wanted;
            floors += u.floor;
            ceilings += u.ceiling;
        }
        p.ceiling = Math.min(p.ceiling, ceilings);
        p.wanted = Math.min(p.ceiling, sum);
        p.floor = Math.min(p.wanted, Math.max(p.rule.floor(), floors));
    }

    /** Divides what a place has among those under it: what is wanted, what is left, or what each is entitled to. */
    private static void give(Place p, boolean all, boolean entitled) {
        int n = p.under.size();
        double[] weights = new double[n];
        double[] floors = new double[n];
        double[] most = new double[n];
        for (int i = 0; i < n; i++) {
            Place u = p.under.get(i);
            weights[i] = u.rule.weight();
            floors[i] = all && !entitled ? u.given : u.floor;
            most[i] = all ? Math.max(u.ceiling, floors[i]) : u.wanted;
            most[i] = Math.min(most[i], Math.max(floors[i], entitled ? p.entitled : p.given));
        }
        double[] given = WaterFilling.fill(entitled ? p.entitled : p.given, weights, floors, most);
        for (int i = 0; i < n; i++) {
            Place u = p.under.get(i);
            if (entitled) {
                u.entitled = given[i];
            } else {
                u.given = given[i];
            }
            give(u, all, entitled);
        }
    }

    private static void leaves(Place p, List<Place> found) {
        if (p.under.isEmpty()) {
            found.add(p);
        }
        p.under.forEach(u -> leaves(u, found));
    }

    private Map<String, Map<String, Double>> whole(int capacity, Map<String, Map<String, Double>> exact) {
        Map<String, Double> sums = new TreeMap<>();
        exact.forEach((node, tenants) ->
                sums.put(node, tenants.values().stream().mapToDouble(d -> d).sum()));
        carried.keySet().retainAll(sums.keySet());
        double all =
                Math.min(capacity, sums.values().stream().mapToDouble(d -> d).sum());
        int left = (int) Math.floor(all + 1e-6);
        Map<String, Integer> totals = new TreeMap<>();
        boolean one = left >= sums.size();
        for (Map.Entry<String, Double> e : sums.entrySet()) {
            double due = e.getValue() + carried.getOrDefault(e.getKey(), 0.0);
            int t = Math.max(one ? 1 : 0, (int) Math.floor(due + LEAST));
            totals.put(e.getKey(), t);
            left -= t;
        }
        List<String> byRemainder = new ArrayList<>(sums.keySet());
        byRemainder.sort(
                Comparator.comparingDouble((String k) -> totals.get(k) - sums.get(k) - carried.getOrDefault(k, 0.0))
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
            carried.put(node, Math.max(-1, Math.min(1, sum + carried.getOrDefault(node, 0.0) - t)));
            Map<String, Double> scaled = new TreeMap<>();
            tenants.forEach((k, d) -> scaled.put(k, sum > 0 ? d * t / sum : 0));
            found.put(node, scaled);
        });
        return found;
    }
}

package brackenbridge.fleet.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * How a pool is divided at a moment.
 *
 * @param nodes for each node, connections for each tenant; together a whole number
 * @param tenants for each tenant, what it has, wants and would have
 */
public record Allocation(Map<String, Map<String, Double>> connectionsByNode, Map<String, TenantAllocation> tenants) {
    /** Nothing to divide. */
    public static final Allocation NONE = new Allocation(Map.of(), Map.of());

    /**
     * A tenant's part.
     *
     * @param given connections that it has over all nodes
     * @param wanted connections that it is believed to want
     * @param entitled connections that it would have if all that want anything wanted everything
     * @param floor its floor, or less where it wants less
     * @param weight its weight within its group
     */
    public record TenantAllocation(double allocated, double demand, double entitlement, double floor, double weight) {}

    /**
     * Connections that one tenant does not use of its part and another has.
     *
     * @param from who lends
     * @param to who has them
     * @param connections how many
     */
    public record Loan(String from, String to, double connections) {}

    /** Who lends to whom: what is lent is taken by each borrower in proportion to what it has over its own. */
    public List<Loan> loans() {
        double borrowed = tenants.values().stream()
                .mapToDouble(p -> Math.max(0, p.allocated() - p.entitlement()))
                .sum();
        List<Loan> loans = new ArrayList<>();
        tenants.forEach((from, lender) -> tenants.forEach((to, borrower) -> {
            double unused = lender.entitlement() - lender.allocated();
            double connections = unused * (borrower.allocated() - borrower.entitlement()) / borrowed;
            // Guards against a list of all pairs: less than a tenth of a connection is nobody's concern.
            if (unused > 0 && borrower.allocated() > borrower.entitlement() && connections >= 0.1) {
                loans.add(new Loan(from, to, connections));
            }
        }));
        return loans;
    }

    /** Connections of a node over all its tenants. */
    public int nodeTotal(String node) {
        return (int) Math.round(connectionsByNode.getOrDefault(node, Map.of()).values().stream()
                .mapToDouble(d -> d)
                .sum());
    }
}

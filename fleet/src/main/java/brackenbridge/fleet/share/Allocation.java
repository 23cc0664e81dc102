package brackenbridge.fleet.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The division of a pool's connections at one moment.
 *
 * @param connectionsByNode for each node, the connections of each tenant; their sum per node is an integer
 * @param tenants for each tenant, its allocation, demand and entitlement
 */
public record Allocation(Map<String, Map<String, Double>> connectionsByNode, Map<String, TenantAllocation> tenants) {
    /** The allocation without demand or capacity. */
    public static final Allocation NONE = new Allocation(Map.of(), Map.of());

    /**
     * A tenant's allocation.
     *
     * @param allocated connections over all nodes
     * @param demand estimated demand in connections
     * @param entitlement connections that it would have if every tenant with any demand wanted as much as possible
     * @param floor its floor, or its demand if that is smaller
     * @param weight its weight within its group
     */
    public record TenantAllocation(double allocated, double demand, double entitlement, double floor, double weight) {}

    /**
     * Connections of one tenant's entitlement that it does not use and another tenant has.
     *
     * @param from the lender
     * @param to the borrower
     * @param connections the number of connections
     */
    public record Loan(String from, String to, double connections) {}

    /** Returns the loans: each borrower has a share of every loan in proportion to its excess over its entitlement. */
    public List<Loan> loans() {
        double borrowed = tenants.values().stream()
                .mapToDouble(p -> Math.max(0, p.allocated() - p.entitlement()))
                .sum();
        List<Loan> loans = new ArrayList<>();
        tenants.forEach((from, lender) -> tenants.forEach((to, borrower) -> {
            double unused = lender.entitlement() - lender.allocated();
            double connections = unused * (borrower.allocated() - borrower.entitlement()) / borrowed;
            // Guards against a list of all pairs: loans below a tenth of a connection are left out.
            if (unused > 0 && borrower.allocated() > borrower.entitlement() && connections >= 0.1) {
                loans.add(new Loan(from, to, connections));
            }
        }));
        return loans;
    }

    /** Returns the connections of a node over all its tenants. */
    public int nodeTotal(String node) {
        return (int) Math.round(connectionsByNode.getOrDefault(node, Map.of()).values().stream()
                .mapToDouble(d -> d)
                .sum());
    }
}

package brackenbridge.fleet.evacuation;

import java.util.List;
import java.util.Map;

/**
 * The pools as the model holds them at a moment, for a forecast: figures with their spreads (relative standard
 * deviations), and what is not known.
 *
 * @param terms what is given
 * @param pools the pools
 * @param flows how the load of an origin (a zone's nodes) goes to a pool
 * @param missing nodes that are not heard, with the reason
 * @param tenants connections that tenants want of a pool, and for how many there is room by their shares
 */
public record PoolSnapshot(
        ForecastSettings settings,
        List<Pool> pools,
        List<Flow> flows,
        List<MissingNode> missingNodes,
        List<TenantDemand> tenantDemand) {
    /**
     * A pool.
     *
     * @param name its name
     * @param servers its servers
     * @param slots slots of each
     * @param connections open calls that each takes, waiting ones included
     * @param capacity tries a second that all together can do
     * @param capacitySpread its spread
     * @param workMs a try's own work, without its calls to the next tier
     * @param variation squared coefficient of variation of the work
     * @param parallel tries that all servers together work on at full speed
     * @param calls calls to the next tier that a try makes
     * @param callsSpread their spread
     * @param mix the classes' parts of the tries
     * @param coldFrom the part of its speed with which a server starts
     * @param coldMs after what time it has all
     * @param slowPart the part of its speed that is left after a backlog
     * @param slowAt calls at a server from which on that is so; 0 if never
     * @param correction by what moved load that comes here was off in rehearsals, as a factor
     * @param correctionSpread how well that is known
     * @param attempts tries a second of late
     * @param unknown why nothing can be said of it; null if something can
     */
    public record Pool(
            PoolName name,
            int servers,
            double slots,
            double connections,
            double capacity,
            double capacitySpread,
            double ownWorkMs,
            double squaredVariation,
            double concurrency,
            double callsPerAttempt,
            double callsSpread,
            Map<String, Double> classMix,
            double coldCapacityRatio,
            double warmUpMs,
            double degradedCapacityRatio,
            double degradedAtCalls,
            double correction,
            double correctionSpread,
            double attemptRate,
            String unknownReason) {
        /** What one server can do, tries a second. */
        double capacityPerServer() {
            return capacity / Math.max(1, servers);
        }

        /** The same pool with so many servers of the same sort more. */
        Pool withMoreServers(int addedServers) {
            double growth = (servers + addedServers) / (double) Math.max(1, servers);
            return new Pool(
                    name,
                    servers + addedServers,
                    slots,
                    connections,
                    capacity * growth,
                    capacitySpread,
                    ownWorkMs,
                    squaredVariation,
                    concurrency * growth,
                    callsPerAttempt,
                    callsSpread,
                    classMix,
                    coldCapacityRatio,
                    warmUpMs,
                    degradedCapacityRatio,
                    degradedAtCalls,
                    correction,
                    correctionSpread,
                    attemptRate,
                    unknownReason);
        }
    }

    /**
     * First tries from an origin to a pool.
     *
     * @param origin the zone of the nodes that send them
     * @param to the pool
     * @param rate first tries a second
     * @param spread its spread
     */
    public record Flow(String origin, PoolName pool, double rate, double spread) {}

    /**
     * A node that is not heard.
     *
     * @param node its name
     * @param zone its zone
     * @param why the reason
     */
    public record MissingNode(String node, String zone, String reason) {}

    /**
     * What a tenant wants of a pool.
     *
     * @param pool the pool
     * @param tenant the tenant
     * @param wanted connections that it would use now
     */
    public record TenantDemand(PoolName pool, String tenant, double connections) {}

    /** Keeps its own copies. */
    public PoolSnapshot {
        pools = List.copyOf(pools);
        flows = List.copyOf(flows);
        missingNodes = List.copyOf(missingNodes);
        tenantDemand = List.copyOf(tenantDemand);
    }

    /** The pool of this name; null if there is none. */
    public Pool pool(PoolName name) {
        return pools.stream().filter(p -> p.name().equals(name)).findFirst().orElse(null);
    }

    /** All zones in which there are pools. */
    public java.util.Set<String> zones() {
        java.util.Set<String> zones = new java.util.TreeSet<>();
        pools.forEach(p -> zones.add(p.name().zone()));
        return zones;
    }

    /** The same with other pools. */
    PoolSnapshot withPools(List<Pool> newPools) {
        return new PoolSnapshot(settings, newPools, flows, missingNodes, tenantDemand);
    }
}

package brackenbridge.fleet.evacuation;

import java.util.List;
import java.util.Map;

/**
 * The pools as the model knows them at one moment, as input of a forecast: values with their spreads (relative standard
 * deviations), and what is not known.
 *
 * @param settings the configured inputs
 * @param pools the pools
 * @param flows the load from each origin (the nodes of a zone) to each pool
 * @param missingNodes nodes that do not report, with the reason
 * @param tenantDemand the connections of each pool that tenants demand
 */
public record PoolSnapshot(
        ForecastSettings settings,
        List<Pool> pools,
        List<Flow> flows,
        List<MissingNode> missingNodes,
        List<TenantDemand> tenantDemand) {
    /**
     * The estimated properties of a pool.
     *
     * @param name the pool's name
     * @param servers the number of servers
     * @param slots slots per server
     * @param connections open requests per server, waiting ones included
     * @param capacity attempts per second of all servers together
     * @param capacitySpread the spread of the capacity
     * @param ownWorkMs the work of an attempt without its calls to the next tier
     * @param squaredVariation squared coefficient of variation of the work
     * @param concurrency attempts that all servers together work on at full speed
     * @param callsPerAttempt calls to the next tier per attempt
     * @param callsSpread the spread of the calls per attempt
     * @param classMix the fraction of the attempts in each class
     * @param coldCapacityRatio the fraction of its speed that a server starts with
     * @param warmUpMs the time until a server reaches full speed
     * @param degradedCapacityRatio the fraction of its speed that a server keeps after a backlog
     * @param degradedAtCalls the number of requests at a server from which on it degrades; 0 if never
     * @param correction the ratio of observed to predicted load that rehearsals moved here
     * @param correctionSpread the spread of the correction
     * @param attemptRate recent attempts per second
     * @param unknownReason why no prediction is possible; null if one is
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
        /** Returns the capacity of one server in attempts per second. */
        double capacityPerServer() {
            return capacity / Math.max(1, servers);
        }

        /** Returns the same pool with this many more servers of the same kind. */
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
     * First attempts from an origin to a pool.
     *
     * @param origin the zone of the sending nodes
     * @param pool the pool
     * @param rate first attempts per second
     * @param spread the spread of the rate
     */
    public record Flow(String origin, PoolName pool, double rate, double spread) {}

    /**
     * A node that does not report.
     *
     * @param node the node's name
     * @param zone its zone
     * @param reason why it counts as missing
     */
    public record MissingNode(String node, String zone, String reason) {}

    /**
     * A tenant's demand for a pool.
     *
     * @param pool the pool
     * @param tenant the tenant
     * @param connections the connections that it would use now
     */
    public record TenantDemand(PoolName pool, String tenant, double connections) {}

    /** Copies the lists. */
    public PoolSnapshot {
        pools = List.copyOf(pools);
        flows = List.copyOf(flows);
        missingNodes = List.copyOf(missingNodes);
        tenantDemand = List.copyOf(tenantDemand);
    }

    /** Returns the pool of this name; null if there is none. */
    public Pool pool(PoolName name) {
        return pools.stream().filter(p -> p.name().equals(name)).findFirst().orElse(null);
    }

    /** Returns all zones that have pools. */
    public java.util.Set<String> zones() {
        java.util.Set<String> zones = new java.util.TreeSet<>();
        pools.forEach(p -> zones.add(p.name().zone()));
        return zones;
    }

    /** Returns the same snapshot with other pools. */
    PoolSnapshot withPools(List<Pool> newPools) {
        return new PoolSnapshot(settings, newPools, flows, missingNodes, tenantDemand);
    }
}

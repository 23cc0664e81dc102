package brackenbridge.core;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.observe.TrafficObserver;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The known endpoints by their ids, with the cut-off of each draining host, from which on nothing is sent to it. Times
 * are in milliseconds.
 */
final class EndpointTable {
    private final HostIds ids = new HostIds();
    private final Map<Long, ServerEndpoint> endpoints = new HashMap<>();
    /** Hosts that are removed from the list but still in this table, with the time of their removal. */
    private final Map<String, Double> removedHosts = new LinkedHashMap<>();

    private final Map<String, Double> cutoffsMs = new HashMap<>();
    private final CurrentSettings settings;

    EndpointTable(CurrentSettings settings) {
        this.settings = settings;
    }

    /** The id by which the balancer identifies this host. */
    long idOf(String host) {
        return ids.idOf(host);
    }

    /** The endpoint with this id; null if it is unknown. */
    ServerEndpoint find(long endpointId) {
        return endpoints.get(endpointId);
    }

    /** The number of known hosts, including those that are removed from the list but still in use. */
    int size() {
        return endpoints.size();
    }

    /** The number of hosts in the list. */
    int listedCount() {
        return endpoints.size() - removedHosts.size();
    }

    boolean isAnyUp() {
        return endpoints.values().stream().anyMatch(endpoint -> endpoint.state() == EndpointState.UP);
    }

    /** The endpoints in the list. */
    List<ServerEndpoint> listedEndpoints() {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.state() != EndpointState.REMOVED)
                .toList();
    }

    /** The number of endpoints that are up, by zone and weight. */
    Map<TrafficObserver.PoolKey, Integer> upEndpointsByPool() {
        Map<TrafficObserver.PoolKey, Integer> counts = new HashMap<>();
        for (ServerEndpoint endpoint : endpoints.values()) {
            if (endpoint.state() == EndpointState.UP) {
                counts.merge(new TrafficObserver.PoolKey(endpoint.zone(), endpoint.weight(), ""), 1, Integer::sum);
            }
        }
        return counts;
    }

    /**
     * The received entries, and the known entries of hosts whose received ones are malformed. Guards healthy servers
     * against a malformed entry: if it were left out of a complete list, its host would count as removed.
     */
    List<ServerEndpoint> withMalformedHostsUnchanged(EndpointList list) {
        List<ServerEndpoint> entries = new ArrayList<>(list.endpoints());
        for (String host : Set.copyOf(list.malformedHosts())) {
            if (ids.isKnown(host)) {
                entries.add(endpoints.get(ids.idOf(host)));
            }
        }
        return entries;
    }

    /** Marks all endpoints that a complete list does not contain as removed. */
    void markUnlistedAsRemoved(ReducerContext context, List<ServerEndpoint> listed) {
        Set<String> hosts = new HashSet<>();
        listed.forEach(endpoint -> hosts.add(endpoint.host()));
        for (ServerEndpoint endpoint : List.copyOf(endpoints.values())) {
            if (!hosts.contains(endpoint.host()) && endpoint.state() != EndpointState.REMOVED) {
                put(context, asRemoved(endpoint));
            }
        }
    }

    private static ServerEndpoint asRemoved(ServerEndpoint endpoint) {
        return new ServerEndpoint(
                endpoint.host(),
                endpoint.address(),
                endpoint.zone(),
                endpoint.cell(),
                endpoint.weight(),
                endpoint.startedAtMs(),
                EndpointState.REMOVED);
    }

    /** Stores an entry of a list and sets the cut-off of a host that is not up any more. */
    void put(ReducerContext context, ServerEndpoint endpoint) {
        String host = endpoint.host();
        boolean removed = endpoint.state() == EndpointState.REMOVED;
        ServerEndpoint before = endpoints.put(ids.idOf(host), endpoint);
        if (before != null && (removed || !before.address().equals(endpoint.address()))) {
            context.addEffect(new Effect.CloseIdleConnections(before.host(), before.address()));
        }
        if (removed) {
            removedHosts.putIfAbsent(host, context.nowMs());
        } else {
            removedHosts.remove(host);
        }
        if (endpoint.state() == EndpointState.UP) {
            cutoffsMs.remove(host);
        } else if (!cutoffsMs.containsKey(host)) {
            setCutoff(context, host);
        }
    }

    /**
     * Sets the cut-off so that the drain grace covers two stalls of the node: one before it reads the change, which
     * arrived earlier, and one between allowing a write and performing it.
     */
    private void setCutoff(ReducerContext context, String host) {
        double graceMs = Microseconds.toMs(settings.get().network().drainGrace());
        double cutoffMs = context.nowMs() + Math.max(0, graceMs - 2 * Attempt.MAX_STALL_MS);
        cutoffsMs.put(host, cutoffMs);
        context.setTimer(cutoffMs, new TimerKey.DrainCutoff(host));
    }

    /** Sets the cut-off of this host to the present time. */
    void cutOffNow(String host, double nowMs) {
        cutoffsMs.put(host, nowMs);
    }

    /** Whether nothing may be sent to this host at this time. */
    boolean isCutOff(String host, double nowMs) {
        Double cutoffMs = cutoffsMs.get(host);
        return cutoffMs != null && nowMs >= cutoffMs;
    }

    boolean hasRemovedHosts() {
        return !removedHosts.isEmpty();
    }

    /**
     * Forgets hosts that were removed at least {@link BalancerSettings#removedRetention} ago and to which no attempt is
     * in flight. Guards against unbounded memory where each new server has a new name. The balancer forgets a host by
     * the same rule and at the same time.
     */
    void forgetRemoved(ReducerContext context, Set<String> hostsInUse) {
        double retentionMs = Microseconds.toMs(settings.get().removedRetention());
        for (Map.Entry<String, Double> removal : List.copyOf(removedHosts.entrySet())) {
            String host = removal.getKey();
            if (!hostsInUse.contains(host) && context.nowMs() - removal.getValue() >= retentionMs) {
                ServerEndpoint forgotten = endpoints.remove(ids.idOf(host));
                ids.forget(host);
                cutoffsMs.remove(host);
                removedHosts.remove(host);
                context.addEffect(new Effect.CloseIdleConnections(host, forgotten.address()));
            }
        }
    }
}

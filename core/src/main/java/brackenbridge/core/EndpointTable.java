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
 * The known endpoints by the numbers that the balancer knows them by, with the cut-off of each draining host: from
 * then on nothing is sent to it. Times are in milliseconds.
 */
final class EndpointTable {
    private final HostIds ids = new HostIds();
    private final Map<Long, ServerEndpoint> endpoints = new HashMap<>();
    /** Hosts in the table that are removed from the list and not forgotten yet, with the time of their removal. */
    private final Map<String, Double> removedHosts = new LinkedHashMap<>();

    private final Map<String, Double> cutoffsMs = new HashMap<>();
    private final CurrentSettings settings;

    EndpointTable(CurrentSettings settings) {
        this.settings = settings;
    }

    /** The number by which the balancer knows this host. */
    long idOf(String host) {
        return ids.of(host);
    }

    /** The endpoint of this number; null if it is not known. */
    ServerEndpoint find(long endpointId) {
        return endpoints.get(endpointId);
    }

    /** How many hosts are known, including those that are removed from the list but still in use. */
    int size() {
        return endpoints.size();
    }

    /** How many hosts the list names. */
    int listedCount() {
        return endpoints.size() - removedHosts.size();
    }

    boolean isAnyUp() {
        return endpoints.values().stream().anyMatch(endpoint -> endpoint.state() == EndpointState.UP);
    }

    /** All endpoints that the list names. */
    List<ServerEndpoint> listedEndpoints() {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.state() != EndpointState.REMOVED)
                .toList();
    }

    /** How many endpoints of each zone and weight are up. */
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
     * The received entries, with the known entries of hosts whose new ones were unreadable. Guards a healthy server
     * against one unreadable entry: left out of a complete list, it would count as removed.
     */
    List<ServerEndpoint> withUnreadableHosts(EndpointList list) {
        List<ServerEndpoint> entries = new ArrayList<>(list.endpoints());
        for (String host : Set.copyOf(list.malformedHosts())) {
            if (ids.isKnown(host)) {
                entries.add(endpoints.get(ids.of(host)));
            }
        }
        return entries;
    }

    /** A complete list names these endpoints only: all others are marked as removed. */
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

    /** Stores an entry of a list; a host that is not up any more gets its cut-off. */
    void put(ReducerContext context, ServerEndpoint endpoint) {
        String host = endpoint.host();
        boolean removed = endpoint.state() == EndpointState.REMOVED;
        ServerEndpoint before = endpoints.put(ids.of(host), endpoint);
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
     * The cut-off leaves room in the drain grace for two stalls of the node: before it has read the change, which was
     * received earlier, and before a write that was allowed.
     */
    private void setCutoff(ReducerContext context, String host) {
        double graceMs = Microseconds.toMs(settings.get().network().drainGrace());
        double cutoffMs = context.nowMs() + Math.max(0, graceMs - 2 * Attempt.MAX_STALL_MS);
        cutoffsMs.put(host, cutoffMs);
        context.setTimer(cutoffMs, new TimerKey.DrainCutoff(host));
    }

    /** From now on nothing is sent to this host. */
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
     * Forgets hosts that were removed longer ago than {@link BalancerSettings#removedRetention} and to which no attempt
     * is in flight. Guards memory: servers come and go under ever new names. The balancer forgets a host by the same
     * rule and at the same time.
     */
    void forgetRemoved(ReducerContext context, Set<String> hostsInUse) {
        double retentionMs = Microseconds.toMs(settings.get().removedRetention());
        for (Map.Entry<String, Double> removal : List.copyOf(removedHosts.entrySet())) {
            String host = removal.getKey();
            if (!hostsInUse.contains(host) && context.nowMs() - removal.getValue() >= retentionMs) {
                ServerEndpoint forgotten = endpoints.remove(ids.of(host));
                ids.forget(host);
                cutoffsMs.remove(host);
                removedHosts.remove(host);
                context.addEffect(new Effect.CloseIdleConnections(host, forgotten.address()));
            }
        }
    }
}

package brackenbridge.core;

import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.Endpoint;
import brackenbridge.core.balancing.EndpointListKind;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.share.ZoneWeights;
import java.util.ArrayList;
import java.util.List;

/** Applies endpoint lists and zone weights, and passes the endpoints with their effective weights to the balancer. */
final class EndpointUpdates {
    private final EndpointTable endpoints;
    private final OpenRequests requests;
    private final BalancerApi balancer;
    private ZoneWeights zoneWeights = ZoneWeights.FULL_WEIGHTS;

    EndpointUpdates(EndpointTable endpoints, OpenRequests requests, BalancerApi balancer) {
        this.endpoints = endpoints;
        this.requests = requests;
        this.balancer = balancer;
    }

    void applyList(ReducerContext context, EndpointListKind kind, List<ServerEndpoint> listed) {
        if (kind != EndpointListKind.CHANGES) {
            endpoints.markUnlistedAsRemoved(context, listed);
        }
        List<Endpoint> entries = new ArrayList<>();
        for (ServerEndpoint endpoint : listed) {
            endpoints.put(context, endpoint);
            entries.add(toBalancerEndpoint(endpoint, context.nowMs()));
        }
        balancer.onEndpointList(context.nowMicros(), kind, entries);
        if (endpoints.hasRemovedHosts()) {
            endpoints.forgetRemoved(context, requests.hostsInUse());
        }
    }

    void applyZoneWeights(ReducerContext context, ZoneWeights received) {
        if (!received.supersedes(zoneWeights)) {
            return;
        }
        // Unchanged weights are not sent to the balancer again, unless the previous ones have expired meanwhile.
        boolean changed =
                !received.weights().equals(zoneWeights.weights()) || context.nowMs() >= zoneWeights.expiresAtMs();
        zoneWeights = received;
        if (changed) {
            sendWeights(context);
        }
        context.setTimer(received.expiresAtMs(), new TimerKey.ZoneWeightsExpired());
    }

    /** Sends the endpoints to the balancer with the weights now in force. */
    void sendWeights(ReducerContext context) {
        List<Endpoint> entries = endpoints.listedEndpoints().stream()
                .map(endpoint -> toBalancerEndpoint(endpoint, context.nowMs()))
                .toList();
        balancer.onEndpointList(context.nowMicros(), EndpointListKind.CHANGES, entries);
    }

    /**
     * Converts an endpoint for the balancer: a weight can't be 0, so endpoints of a zone with weight 0 are draining.
     */
    private Endpoint toBalancerEndpoint(ServerEndpoint endpoint, double nowMs) {
        double zoneWeight = zoneWeights.weightOf(endpoint.zone(), nowMs);
        boolean zoneHasLoad = zoneWeight > 0;
        boolean up = endpoint.state() == EndpointState.UP;
        return new Endpoint(
                endpoints.idOf(endpoint.host()),
                endpoint.cell(),
                endpoint.zone(),
                endpoint.weight() * (zoneHasLoad ? zoneWeight : 1),
                Microseconds.ofMs(endpoint.startedAtMs()),
                up && !zoneHasLoad ? EndpointState.DRAINING : endpoint.state());
    }
}

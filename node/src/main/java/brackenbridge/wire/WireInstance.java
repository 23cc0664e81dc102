package brackenbridge.wire;

import brackenbridge.core.balancing.Balancer;
import brackenbridge.core.balancing.Endpoint;
import brackenbridge.core.balancing.EndpointListKind;
import brackenbridge.core.membership.DiscoveryCommand;
import brackenbridge.core.membership.DiscoveryWatch;
import java.util.List;
import java.util.function.Consumer;

/**
 * One hosted instance: a balancer and, if the instance polls discovery, the state of its polls. If lists are pushed,
 * the simulator sends them without a request and there are no polls.
 */
final class WireInstance {
    /** Prefix of the token of a timer that belongs to discovery and not to the balancer. */
    private static final String DISCOVERY_TIMER_PREFIX = "discovery ";

    private static final double MICROSECONDS_PER_MS = 1000.0;
    private static final long NO_CALL = -1;
    private static final long UNKNOWN_TIMER = -1;

    private final long id;
    private final Balancer balancer;
    private final DiscoveryWatch discoveryWatch;
    private final WireWriter writer;
    private long discoveryCall = NO_CALL;

    /** Creates an instance; {@code discoveryWatch} is null if lists are pushed. */
    WireInstance(long id, Balancer balancer, DiscoveryWatch discoveryWatch, WireWriter writer) {
        this.id = id;
        this.balancer = balancer;
        this.discoveryWatch = discoveryWatch;
        this.writer = writer;
    }

    /** Runs a decision of the balancer; an exception is reported to the simulator with its cause. */
    void decide(Consumer<Balancer> decision) {
        try {
            decision.accept(balancer);
        } catch (RuntimeException fault) {
            writer.writeFault(id, fault);
        }
    }

    /** Handles a timer of the instance that is due. */
    void onTimer(long nowUs, String token) {
        if (discoveryWatch != null && token.startsWith(DISCOVERY_TIMER_PREFIX)) {
            execute(discoveryWatch.onTimer(nowUs / MICROSECONDS_PER_MS, discoveryTimer(token)));
        } else {
            decide(target -> target.onTimer(nowUs, token));
        }
    }

    /** Handles an endpoint list of this kind. */
    void onEndpointList(long nowUs, EndpointListKind kind, List<Endpoint> endpoints, long version) {
        decide(target -> target.onEndpointList(nowUs, kind, endpoints));
        if (discoveryWatch == null) {
            return;
        }
        double nowMs = nowUs / MICROSECONDS_PER_MS;
        if (kind == EndpointListKind.CACHED) {
            execute(discoveryWatch.start(nowMs, version));
        } else {
            // The simulator sends lists in order, so that no list is stale.
            discoveryWatch.onEndpointList(nowMs, discoveryCall, version, kind == EndpointListKind.FULL);
        }
    }

    /** Handles the failure of a call to discovery. */
    void onDiscoveryFailed(long nowUs) {
        if (discoveryWatch != null) {
            execute(discoveryWatch.onCallEnded(nowUs / MICROSECONDS_PER_MS, discoveryCall));
        }
    }

    private void execute(List<DiscoveryCommand> commands) {
        for (DiscoveryCommand command : commands) {
            if (command instanceof DiscoveryCommand.OpenWatch open) {
                discoveryCall = open.call();
                writer.writeWatch(id);
            } else if (command instanceof DiscoveryCommand.Wake wake) {
                long dueUs = (long) Math.ceil(wake.atMs() * MICROSECONDS_PER_MS);
                writer.actionsOf(id).setTimer(dueUs, DISCOVERY_TIMER_PREFIX + wake.timer());
            }
        }
    }

    private static long discoveryTimer(String token) {
        try {
            return Long.parseLong(token.substring(DISCOVERY_TIMER_PREFIX.length()));
        } catch (NumberFormatException e) {
            return UNKNOWN_TIMER;
        }
    }
}

package brackenbridge.core;

import brackenbridge.core.balancing.EndpointListKind;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.membership.DiscoveryCommand;
import brackenbridge.core.membership.DiscoveryWatch;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;
import java.util.List;
import java.util.SplittableRandom;

/** Keeps the watch at discovery open and applies the accepted endpoint lists: received, configured or inherited. */
final class EndpointDiscovery implements Event.DiscoveryEvent.Handler<ReducerContext> {
    /** Discovery sends a heartbeat every 2 s: a call without a message for this long has failed. */
    static final double MAX_SILENCE_MS = 3000;

    private final CurrentSettings settings;
    private final EndpointTable endpoints;
    private final EndpointUpdates updates;
    private final Counters counters;
    private final DiscoveryWatch watch;

    EndpointDiscovery(CurrentSettings settings, EndpointTable endpoints, EndpointUpdates updates, Counters counters) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.updates = updates;
        this.counters = counters;
        // Separate from the balancer's random numbers: its choices must not depend on the number of discovery calls.
        SplittableRandom random = new SplittableRandom(~settings.get().seed());
        this.watch = new DiscoveryWatch(settings.discoverySource(), MAX_SILENCE_MS, random);
    }

    /** Starts with the cached endpoint list. */
    void start(ReducerContext context, EndpointList cached) {
        updates.applyList(context, EndpointListKind.CACHED, cached.endpoints());
        runCommands(context, watch.start(context.nowMs(), cached.version()));
    }

    /** Applies the endpoint list of a new configuration if it is newer, and a change of the discovery source. */
    void onReconfigured(ReducerContext context, EndpointList configured, boolean discoveryMoved) {
        runCommands(context, watch.changeSource(context.nowMs(), settings.discoverySource()));
        if (watch.acceptVersion(configured.version(), false)) {
            updates.applyList(context, EndpointListKind.CACHED, configured.endpoints());
        }
        if (discoveryMoved) {
            // Guards against the backoff after a failed call: the node counts as notified of the new address's changes
            // soon.
            runCommands(context, watch.reopen(context.nowMs(), true));
        }
    }

    @Override
    public void onEndpointListInherited(ReducerContext context, Event.EndpointListInherited event) {
        EndpointList list = event.endpoints();
        if (watch.acceptVersion(list.version(), true)) {
            updates.applyList(context, EndpointListKind.CACHED, list.endpoints());
            for (ServerEndpoint endpoint : list.endpoints()) {
                if (endpoint.state() != EndpointState.UP) {
                    // Its drain grace began when the other process was notified, no later than now.
                    endpoints.cutOffNow(endpoint.host(), context.nowMs());
                }
            }
        }
        // Discovery sends changes from now on to both processes, and the first scheduled call may be seconds away.
        runCommands(context, watch.reopen(context.nowMs(), false));
    }

    @Override
    public void onEndpointListReceived(ReducerContext context, Event.EndpointListReceived event) {
        EndpointList list = event.endpoints();
        if (watch.onEndpointList(context.nowMs(), event.call(), list.version(), list.complete())) {
            counters.count(Counter.ENDPOINT_LISTS);
            EndpointListKind kind = list.complete() ? EndpointListKind.FULL : EndpointListKind.CHANGES;
            updates.applyList(context, kind, endpoints.withMalformedHostsUnchanged(list));
        }
    }

    @Override
    public void onDiscoveryHeartbeat(ReducerContext context, Event.DiscoveryHeartbeat event) {
        watch.onHeartbeat(context.nowMs(), event.call());
    }

    @Override
    public void onDiscoveryCallEnded(ReducerContext context, Event.DiscoveryCallEnded event) {
        if (watch.isOpen(event.call())) {
            counters.count(Counter.DISCOVERY_FAILED);
        }
        runCommands(context, watch.onCallEnded(context.nowMs(), event.call()));
    }

    void onTimer(ReducerContext context, TimerKey.DiscoveryTimer timer) {
        runCommands(context, watch.onTimer(context.nowMs(), timer.timerId()));
    }

    /** The time since the last message of discovery, in milliseconds; infinite if there was none. */
    double silentMs(double nowMs) {
        return watch.silentMs(nowMs);
    }

    /** The endpoint list for a process that replaces this one. */
    EndpointList endpointList() {
        return new EndpointList(watch.version(), true, endpoints.listedEndpoints());
    }

    private void runCommands(ReducerContext context, List<DiscoveryCommand> commands) {
        for (DiscoveryCommand command : commands) {
            if (command instanceof DiscoveryCommand.OpenWatch open) {
                counters.count(Counter.DISCOVERY_CALLS);
                context.addEffect(new Effect.WatchDiscovery(open.call(), open.afterVersion()));
            } else if (command instanceof DiscoveryCommand.EndCall end) {
                if (end.silent()) {
                    counters.count(Counter.DISCOVERY_FAILED);
                }
                context.addEffect(new Effect.CancelDiscoveryCall(end.call()));
            } else if (command instanceof DiscoveryCommand.Wake wake) {
                context.setTimer(wake.atMs(), new TimerKey.DiscoveryTimer(wake.timer()));
            }
        }
    }
}

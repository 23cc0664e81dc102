package brackenbridge.core;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.core.share.TenantQuotas;
import brackenbridge.core.share.ZoneWeights;

/**
 * What happens to the node: all that the reducer ever receives. The events are grouped by concern; each group has a
 * handler with a method for each of its events, so that an event that nobody handles does not compile.
 */
public sealed interface Event {
    /** Passes the event with this context to the handler of its group. */
    <C> void dispatch(C context, EventHandlers<C> handlers);

    /**
     * The handler of each group of events.
     *
     * @param <C> the context that each event is handled in
     */
    record EventHandlers<C>(
            RequestEvent.Handler<C> requests,
            AttemptEvent.Handler<C> attempts,
            DiscoveryEvent.Handler<C> discovery,
            HealthCheckEvent.Handler<C> healthChecks,
            FleetEvent.Handler<C> fleet,
            LifeCycleEvent.Handler<C> lifeCycle,
            TimerKey.Handler<C> timers) {}

    /** What happens to a client request, apart from its attempts. */
    sealed interface RequestEvent extends Event {
        /** Passes the event with this context to its method of the handler. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.requests());
        }

        /**
         * Handles each event of the group.
         *
         * @param <C> the context that each event is handled in
         */
        interface Handler<C> {
            /** A request was received. */
            void onRequestReceived(C context, RequestReceived event);

            /** A request's last byte was received. */
            void onRequestCompleted(C context, RequestCompleted event);

            /** A request is not replayable any more. */
            void onRequestBodyReleased(C context, RequestBodyReleased event);

            /** The writing of a response has ended. */
            void onResponseFinished(C context, ResponseFinished event);

            /** A client has disconnected. */
            void onClientDisconnected(C context, ClientDisconnected event);

            /** A client may have disconnected. */
            void onClientPresenceUnknown(C context, ClientPresenceUnknown event);
        }
    }

    /** A listener has received a request and given it an id of the node's own. */
    record RequestReceived(long requestId, ClientRequest request) implements RequestEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onRequestReceived(context, this);
        }
    }

    /** The last byte of a request has come that was received before it. */
    record RequestCompleted(long requestId) implements RequestEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onRequestCompleted(context, this);
        }
    }

    /** Part of the request's body was sent to a server and is not buffered any more: it is not replayable. */
    record RequestBodyReleased(long requestId) implements RequestEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onRequestBodyReleased(context, this);
        }
    }

    /** How the writing of a response ended. */
    enum ResponseEnd {
        /** The last byte was sent. */
        COMPLETE,
        /** Its server could not finish it, so it was truncated. */
        TRUNCATED,
        /** Its client disconnected. */
        ABANDONED
    }

    /** The response is written, or never will be. */
    record ResponseFinished(long requestId, ResponseEnd end) implements RequestEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onResponseFinished(context, this);
        }
    }

    /** The request's client has disconnected. */
    record ClientDisconnected(long requestId) implements RequestEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onClientDisconnected(context, this);
        }
    }

    /** Unread bytes hide whether the request's client is still connected: no attempt may start for it any more. */
    record ClientPresenceUnknown(long requestId) implements RequestEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onClientPresenceUnknown(context, this);
        }
    }

    /** What happens to an attempt of a request. */
    sealed interface AttemptEvent extends Event {
        /** Passes the event with this context to its method of the handler. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.attempts());
        }

        /**
         * Handles each event of the group.
         *
         * @param <C> the context that each event is handled in
         */
        interface Handler<C> {
            /** An attempt was written completely. */
            void onAttemptWritten(C context, AttemptWritten event);

            /** A server has answered an attempt. */
            void onResponseReceived(C context, ResponseReceived event);

            /** An attempt's connection was lost. */
            void onAttemptConnectionLost(C context, AttemptConnectionLost event);

            /** An attempt was not started. */
            void onAttemptNotStarted(C context, AttemptNotStarted event);

            /** An attempt failed on this machine. */
            void onAttemptFailedLocally(C context, AttemptFailedLocally event);
        }
    }

    /** The attempt's last byte has been written: from now on it may run. */
    record AttemptWritten(long requestId, int attempt) implements AttemptEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onAttemptWritten(context, this);
        }
    }

    /** What a server's answer means. */
    enum ResponseKind {
        /** Served. */
        SERVED,
        /** An error; the request may have run. */
        ERROR,
        /** Rejected without running the request. */
        SERVER_FULL,
        /** The request itself is invalid, whichever server it is sent to. */
        INVALID_REQUEST
    }

    /** The server has answered the attempt; the report is null if none came. */
    record ResponseReceived(long requestId, int attempt, ResponseKind kind, Object message, LoadReport report)
            implements AttemptEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onResponseReceived(context, this);
        }
    }

    /** The attempt's connection could not be established, or was lost. */
    record AttemptConnectionLost(long requestId, int attempt) implements AttemptEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onAttemptConnectionLost(context, this);
        }
    }

    /** The node has no room for another connection: nothing was sent, through no fault of the server. */
    record AttemptNotStarted(long requestId, int attempt) implements AttemptEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onAttemptNotStarted(context, this);
        }
    }

    /** A system call of the node failed before the attempt was written: it never ran, through no server's fault. */
    record AttemptFailedLocally(long requestId, int attempt) implements AttemptEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onAttemptFailedLocally(context, this);
        }
    }

    /** What discovery, or another process of the node, says of the endpoint list. */
    sealed interface DiscoveryEvent extends Event {
        /** Passes the event with this context to its method of the handler. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.discovery());
        }

        /**
         * Handles each event of the group.
         *
         * @param <C> the context that each event is handled in
         */
        interface Handler<C> {
            /** A list of another process was received. */
            void onEndpointListInherited(C context, EndpointListInherited event);

            /** A list or a change was received. */
            void onEndpointListReceived(C context, EndpointListReceived event);

            /** A heartbeat was received. */
            void onDiscoveryHeartbeat(C context, DiscoveryHeartbeat event);

            /** A call has ended. */
            void onDiscoveryCallEnded(C context, DiscoveryCallEnded event);
        }
    }

    /** Another process of this node hands over its endpoint list. */
    record EndpointListInherited(EndpointList endpoints) implements DiscoveryEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onEndpointListInherited(context, this);
        }
    }

    /** A list or a change was received on a call to discovery. */
    record EndpointListReceived(long call, EndpointList endpoints) implements DiscoveryEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onEndpointListReceived(context, this);
        }
    }

    /** Discovery has said on a watch that nothing has changed. */
    record DiscoveryHeartbeat(long call) implements DiscoveryEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onDiscoveryHeartbeat(context, this);
        }
    }

    /** A call to discovery has ended or failed. */
    record DiscoveryCallEnded(long call) implements DiscoveryEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onDiscoveryCallEnded(context, this);
        }
    }

    /** What happens to a health check. */
    sealed interface HealthCheckEvent extends Event {
        /** Passes the event with this context to its method of the handler. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.healthChecks());
        }

        /**
         * Handles each event of the group.
         *
         * @param <C> the context that each event is handled in
         */
        interface Handler<C> {
            /** A health check has ended. */
            void onHealthCheckEnded(C context, HealthCheckEnded event);
        }
    }

    /** A health check was answered, or failed if neither passed nor answered; the report is null if none came. */
    record HealthCheckEnded(long healthCheckId, boolean responded, boolean passed, LoadReport report)
            implements HealthCheckEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onHealthCheckEnded(context, this);
        }
    }

    /** What the fleet sets for this node. */
    sealed interface FleetEvent extends Event {
        /** Passes the event with this context to its method of the handler. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.fleet());
        }

        /**
         * Handles each event of the group.
         *
         * @param <C> the context that each event is handled in
         */
        interface Handler<C> {
            /** Tenant quotas were received. */
            void onTenantQuotasReceived(C context, TenantQuotasReceived event);

            /** Zone weights were received. */
            void onZoneWeightsReceived(C context, ZoneWeightsReceived event);
        }
    }

    /** How many connections each tenant may hold at this node. */
    record TenantQuotasReceived(TenantQuotas quotas) implements FleetEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onTenantQuotasReceived(context, this);
        }
    }

    /** How much of its usual load each zone's servers are to get. */
    record ZoneWeightsReceived(ZoneWeights weights) implements FleetEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onZoneWeightsReceived(context, this);
        }
    }

    /** What the node's operators and its platform want of it. */
    sealed interface LifeCycleEvent extends Event {
        /** Passes the event with this context to its method of the handler. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.lifeCycle());
        }

        /**
         * Handles each event of the group.
         *
         * @param <C> the context that each event is handled in
         */
        interface Handler<C> {
            /** The node starts. */
            void onStarted(C context, Started event);

            /** Another process serves, or no more. */
            void onSuccessorChanged(C context, SuccessorChanged event);

            /** The configuration was read again. */
            void onReconfigured(C context, Reconfigured event);

            /** A drain, or its end, was requested. */
            void onDrainRequested(C context, DrainRequested event);

            /** A stop was requested. */
            void onStopRequested(C context, StopRequested event);
        }
    }

    /** The node starts, with the endpoint list as it was last cached. */
    record Started(EndpointList cachedEndpoints) implements LifeCycleEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onStarted(context, this);
        }
    }

    /** Another process of this node serves clients as well and is to replace this one, or does so no more. */
    record SuccessorChanged(boolean serving) implements LifeCycleEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onSuccessorChanged(context, this);
        }
    }

    /**
     * The configuration was read again.
     *
     * @param settings the settings of requests that are received from now on
     * @param configuredEndpoints the endpoint list that it contains, perhaps out of date
     * @param discoveryMoved whether it names another address for discovery
     */
    record Reconfigured(BalancerSettings settings, EndpointList configuredEndpoints, boolean discoveryMoved)
            implements LifeCycleEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onReconfigured(context, this);
        }
    }

    /** The node is to be drained, or to serve again after that. */
    record DrainRequested(boolean enabled) implements LifeCycleEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onDrainRequested(context, this);
        }
    }

    /** The node is to stop. */
    record StopRequested() implements LifeCycleEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onStopRequested(context, this);
        }
    }

    /** A timer is due. */
    record TimerFired(TimerKey key) implements Event {
        @Override
        public <C> void dispatch(C context, EventHandlers<C> handlers) {
            key.accept(context, handlers.timers());
        }
    }
}

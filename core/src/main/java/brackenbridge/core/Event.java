package brackenbridge.core;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.core.share.TenantQuotas;
import brackenbridge.core.share.ZoneWeights;

/**
 * An input of the reducer. Events are grouped by concern; each group has a handler interface with one method for each
 * event, so that an unhandled event is a compile error.
 */
public sealed interface Event {
    /** Passes the event and this context to the handler of its group. */
    <C> void dispatch(C context, EventHandlers<C> handlers);

    /**
     * The handlers of all groups of events.
     *
     * @param <C> the type of the context passed with each event
     */
    record EventHandlers<C>(
            RequestEvent.Handler<C> requests,
            AttemptEvent.Handler<C> attempts,
            DiscoveryEvent.Handler<C> discovery,
            HealthCheckEvent.Handler<C> healthChecks,
            FleetEvent.Handler<C> fleet,
            LifeCycleEvent.Handler<C> lifeCycle,
            TimerKey.Handler<C> timers) {}

    /** An event of a client request, except for its attempts. */
    sealed interface RequestEvent extends Event {
        /** Calls the handler's method for this event. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.requests());
        }

        /**
         * Handles the events of the group.
         *
         * @param <C> the type of the context passed with each event
         */
        interface Handler<C> {
            /** A request was received. */
            void onRequestReceived(C context, RequestReceived event);

            /** A request's last byte was received. */
            void onRequestCompleted(C context, RequestCompleted event);

            /** It is known when a request's last byte may have been sent at the earliest. */
            void onLastByteBound(C context, LastByteBound event);

            /** A request can't be replayed any more. */
            void onRequestBodyReleased(C context, RequestBodyReleased event);

            /** The writing of a response has ended. */
            void onResponseFinished(C context, ResponseFinished event);

            /** A client has disconnected. */
            void onClientDisconnected(C context, ClientDisconnected event);

            /** It is unknown whether a client is still connected. */
            void onClientPresenceUnknown(C context, ClientPresenceUnknown event);
        }
    }

    /** A listener has received a request and assigned an id to it. */
    record RequestReceived(long requestId, ClientRequest request) implements RequestEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onRequestReceived(context, this);
        }
    }

    /** The last byte of a request that was incomplete when it was received has arrived. */
    record RequestCompleted(long requestId) implements RequestEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onRequestCompleted(context, this);
        }
    }

    /**
     * The last byte of an incomplete request may have been sent at this time, and is not read yet, or not forwarded;
     * infinite if all that has arrived was read, without the last byte.
     */
    record LastByteBound(long requestId, double earliestMs) implements RequestEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onLastByteBound(context, this);
        }
    }

    /**
     * Part of the request's body was sent to a server and is not buffered any more, so the request can't be replayed.
     */
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
        /** The server did not complete it, so it was truncated. */
        TRUNCATED,
        /** The client disconnected. */
        ABANDONED
    }

    /** The writing of a response has ended, completely or not. */
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

    /** Unread bytes hide whether the request's client is still connected: no further attempt may start. */
    record ClientPresenceUnknown(long requestId) implements RequestEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onClientPresenceUnknown(context, this);
        }
    }

    /** An event of an attempt. */
    sealed interface AttemptEvent extends Event {
        /** Calls the handler's method for this event. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.attempts());
        }

        /**
         * Handles the events of the group.
         *
         * @param <C> the type of the context passed with each event
         */
        interface Handler<C> {
            /** An attempt was written completely. */
            void onAttemptWritten(C context, AttemptWritten event);

            /** A response that may be long is being received. */
            void onResponseStarted(C context, ResponseStarted event);

            /** A response can't be streamed. */
            void onResponseNotStreamable(C context, ResponseNotStreamable event);

            /** A server has responded to an attempt. */
            void onResponseReceived(C context, ResponseReceived event);

            /** An attempt's connection was lost. */
            void onAttemptConnectionLost(C context, AttemptConnectionLost event);

            /** An attempt was not started. */
            void onAttemptNotStarted(C context, AttemptNotStarted event);

            /** An attempt failed on this machine. */
            void onAttemptFailedLocally(C context, AttemptFailedLocally event);
        }
    }

    /** The attempt's last byte has been written: from now on the server may run it. */
    record AttemptWritten(long requestId, int attempt) implements AttemptEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onAttemptWritten(context, this);
        }
    }

    /** The classification of a server's response. */
    enum ResponseKind {
        /** The request was served. */
        SERVED,
        /** An error; the request may have run. */
        ERROR,
        /** The server is full and rejected the request without running it. */
        SERVER_FULL,
        /** The request itself is invalid, regardless of the server. */
        INVALID_REQUEST
    }

    /**
     * The head of a successful response has been received whose body is too long to be buffered, or of unknown length;
     * raised again when a body of unknown length turns out to be too long.
     */
    record ResponseStarted(long requestId, int attempt, boolean knownLong) implements AttemptEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onResponseStarted(context, this);
        }
    }

    /** The response that was to be streamed can't be: its server does not write it as one writes a long response. */
    record ResponseNotStreamable(long requestId, int attempt) implements AttemptEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onResponseNotStreamable(context, this);
        }
    }

    /** The server has responded to the attempt; the report is null if the response has none. */
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

    /** No byte of the attempt was sent, for example for lack of connections; this is not the server's fault. */
    record AttemptNotStarted(long requestId, int attempt) implements AttemptEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onAttemptNotStarted(context, this);
        }
    }

    /** A system call of the node failed before the attempt was written: it never ran, and no server is at fault. */
    record AttemptFailedLocally(long requestId, int attempt) implements AttemptEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onAttemptFailedLocally(context, this);
        }
    }

    /** An event of the endpoint list, from discovery or from another process of the node. */
    sealed interface DiscoveryEvent extends Event {
        /** Calls the handler's method for this event. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.discovery());
        }

        /**
         * Handles the events of the group.
         *
         * @param <C> the type of the context passed with each event
         */
        interface Handler<C> {
            /** The list of another process was received. */
            void onEndpointListInherited(C context, EndpointListInherited event);

            /** A list or a change was received. */
            void onEndpointListReceived(C context, EndpointListReceived event);

            /** A heartbeat was received. */
            void onDiscoveryHeartbeat(C context, DiscoveryHeartbeat event);

            /** A call has ended. */
            void onDiscoveryCallEnded(C context, DiscoveryCallEnded event);
        }
    }

    /** Another process of this node has handed over its endpoint list. */
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

    /** Discovery has reported on a watch that nothing has changed. */
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

    /** An event of a health check. */
    sealed interface HealthCheckEvent extends Event {
        /** Calls the handler's method for this event. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.healthChecks());
        }

        /**
         * Handles the events of the group.
         *
         * @param <C> the type of the context passed with each event
         */
        interface Handler<C> {
            /** A health check has ended. */
            void onHealthCheckEnded(C context, HealthCheckEnded event);
        }
    }

    /**
     * A health check has ended; {@code responded} is false if the server could not be reached. The report is null if
     * the response has none.
     */
    record HealthCheckEnded(long healthCheckId, boolean responded, boolean passed, LoadReport report)
            implements HealthCheckEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onHealthCheckEnded(context, this);
        }
    }

    /** A value that the fleet sets for this node. */
    sealed interface FleetEvent extends Event {
        /** Calls the handler's method for this event. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.fleet());
        }

        /**
         * Handles the events of the group.
         *
         * @param <C> the type of the context passed with each event
         */
        interface Handler<C> {
            /** Tenant quotas were received. */
            void onTenantQuotasReceived(C context, TenantQuotasReceived event);

            /** Zone weights were received. */
            void onZoneWeightsReceived(C context, ZoneWeightsReceived event);
        }
    }

    /** The number of connections that each tenant may hold at this node. */
    record TenantQuotasReceived(TenantQuotas quotas) implements FleetEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onTenantQuotasReceived(context, this);
        }
    }

    /** The fraction of their usual load that the servers of each zone get. */
    record ZoneWeightsReceived(ZoneWeights weights) implements FleetEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onZoneWeightsReceived(context, this);
        }
    }

    /** A request of the node's operators or of its platform, or a change of the node's own processes. */
    sealed interface LifeCycleEvent extends Event {
        /** Calls the handler's method for this event. */
        <C> void accept(C context, Handler<C> handler);

        @Override
        default <C> void dispatch(C context, EventHandlers<C> handlers) {
            accept(context, handlers.lifeCycle());
        }

        /**
         * Handles the events of the group.
         *
         * @param <C> the type of the context passed with each event
         */
        interface Handler<C> {
            /** The node starts. */
            void onStarted(C context, Started event);

            /** A successor process has started or stopped serving. */
            void onSuccessorChanged(C context, SuccessorChanged event);

            /** The configuration was reloaded. */
            void onReconfigured(C context, Reconfigured event);

            /** A drain or its cancellation was requested. */
            void onDrainRequested(C context, DrainRequested event);

            /** A stop was requested. */
            void onStopRequested(C context, StopRequested event);
        }
    }

    /** The node starts with the cached endpoint list. */
    record Started(EndpointList cachedEndpoints) implements LifeCycleEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onStarted(context, this);
        }
    }

    /** Another process of this node, which will replace this one, has started or stopped serving clients. */
    record SuccessorChanged(boolean serving) implements LifeCycleEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onSuccessorChanged(context, this);
        }
    }

    /**
     * The configuration was reloaded.
     *
     * @param settings the settings for requests that are received from now on
     * @param configuredEndpoints the endpoint list that it contains, which may be out of date
     * @param discoveryMoved whether the address of discovery has changed
     */
    record Reconfigured(BalancerSettings settings, EndpointList configuredEndpoints, boolean discoveryMoved)
            implements LifeCycleEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onReconfigured(context, this);
        }
    }

    /** Start a drain, or cancel it. */
    record DrainRequested(boolean enabled) implements LifeCycleEvent {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onDrainRequested(context, this);
        }
    }

    /**
     * Stop the node.
     *
     * @param waitedMs how long the request has waited for this event
     */
    record StopRequested(double waitedMs) implements LifeCycleEvent {
        /** A request that has not waited. */
        public StopRequested() {
            this(0);
        }

        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onStopRequested(context, this);
        }
    }

    /** A timer has fired. */
    record TimerFired(TimerKey key) implements Event {
        @Override
        public <C> void dispatch(C context, EventHandlers<C> handlers) {
            key.accept(context, handlers.timers());
        }
    }
}

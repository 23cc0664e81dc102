package brackenbridge.core;

/**
 * Identifies a timer by its purpose. An obsolete timer is ignored when it fires; only request deadlines are cancelled.
 */
public sealed interface TimerKey {
    /** Calls the handler's method for this timer. */
    <C> void accept(C context, Handler<C> handler);

    /**
     * Handles all kinds of timers.
     *
     * @param <C> the type of the context passed with each timer
     */
    interface Handler<C> {
        /** A timer that the balancer has set. */
        void onBalancerTimer(C context, BalancerTimer timer);

        /** A request has reached its deadline. */
        void onRequestDeadline(C context, RequestDeadline timer);

        /** An attempt has timed out before its request's deadline. */
        void onAttemptTimeout(C context, AttemptTimeout timer);

        /** A response that is being received is to be streamed. */
        void onStreamingDue(C context, StreamingDue timer);

        /** A draining host has reached its cut-off: nothing may be sent to it any more. */
        void onDrainCutoff(C context, DrainCutoff timer);

        /** The discovery watch has a step due. */
        void onDiscoveryTimer(C context, DiscoveryTimer timer);

        /** A health check has timed out. */
        void onHealthCheckTimeout(C context, HealthCheckTimeout timer);

        /** The tenant scheduler has a step due. */
        void onTenantSchedulerTimer(C context, TenantSchedulerTimer timer);

        /** The zone weights received from the fleet have expired. */
        void onZoneWeightsExpired(C context, ZoneWeightsExpired timer);

        /** A step of a drain is due. */
        void onDrainStep(C context, DrainStep timer);

        /** A stopping process with a successor starts closing idle connections. */
        void onCloseIdleClients(C context, CloseIdleClients timer);

        /** A stopping node stops accepting connections. */
        void onStopAccepting(C context, StopAccepting timer);

        /** A stopping node closes idle connections and exits once no request is open. */
        void onStopServing(C context, StopServing timer);

        /** A stopping node answers all open requests. */
        void onAnswerAll(C context, AnswerAll timer);

        /** A stopping node must exit now. */
        void onExitNow(C context, ExitNow timer);
    }

    /** A timer that the balancer has set. */
    record BalancerTimer(String token) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onBalancerTimer(context, this);
        }
    }

    /** A request has reached its deadline. */
    record RequestDeadline(long requestId) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onRequestDeadline(context, this);
        }
    }

    /** An attempt has timed out before its request's deadline. */
    record AttemptTimeout(long requestId, int attempt) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onAttemptTimeout(context, this);
        }
    }

    /** A response that is being received is to be streamed. */
    record StreamingDue(long requestId, int attempt) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onStreamingDue(context, this);
        }
    }

    /** A draining host has reached its cut-off: nothing may be sent to it any more. */
    record DrainCutoff(String host) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onDrainCutoff(context, this);
        }
    }

    /** The discovery watch has a step due. */
    record DiscoveryTimer(long timerId) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onDiscoveryTimer(context, this);
        }
    }

    /** A health check has timed out. */
    record HealthCheckTimeout(long healthCheckId) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onHealthCheckTimeout(context, this);
        }
    }

    /** The tenant scheduler has a step due. */
    record TenantSchedulerTimer() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onTenantSchedulerTimer(context, this);
        }
    }

    /** The zone weights received from the fleet have expired. */
    record ZoneWeightsExpired() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onZoneWeightsExpired(context, this);
        }
    }

    /** A step of a drain is due. */
    record DrainStep(long drainNumber, LifeCycle.DrainStep step) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onDrainStep(context, this);
        }
    }

    /** A stopping process with a successor starts closing idle connections. */
    record CloseIdleClients() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onCloseIdleClients(context, this);
        }
    }

    /** A stopping node stops accepting connections. */
    record StopAccepting() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onStopAccepting(context, this);
        }
    }

    /** A stopping node closes idle connections and exits once no request is open. */
    record StopServing() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onStopServing(context, this);
        }
    }

    /** A stopping node answers all open requests. */
    record AnswerAll() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onAnswerAll(context, this);
        }
    }

    /** A stopping node must exit now. */
    record ExitNow() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onExitNow(context, this);
        }
    }
}

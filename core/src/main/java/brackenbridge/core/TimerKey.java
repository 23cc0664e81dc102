package brackenbridge.core;

/** What a timer was set for. One that has lost its purpose does nothing; only deadlines are ever cancelled. */
public sealed interface TimerKey {
    /** Passes the timer with this context to its method of the handler. */
    <C> void accept(C context, Handler<C> handler);

    /**
     * Handles each kind of timer.
     *
     * @param <C> the context that each timer is handled in
     */
    interface Handler<C> {
        /** A timer of the balancer's own. */
        void onBalancerTimer(C context, BalancerTimer timer);

        /** A request's client gives up. */
        void onRequestDeadline(C context, RequestDeadline timer);

        /** An attempt is given up before its request's deadline. */
        void onAttemptTimeout(C context, AttemptTimeout timer);

        /** No attempt may start at this draining host any more. */
        void onDrainCutoff(C context, DrainCutoff timer);

        /** The watch at discovery has something to do. */
        void onDiscoveryTimer(C context, DiscoveryTimer timer);

        /** A health check has taken too long. */
        void onHealthCheckTimeout(C context, HealthCheckTimeout timer);

        /** The tenants' scheduler has something to do. */
        void onTenantSchedulerTimer(C context, TenantSchedulerTimer timer);

        /** The zone weights of the fleet have expired. */
        void onZoneWeightsExpired(C context, ZoneWeightsExpired timer);

        /** A drain reaches its next step. */
        void onDrainStep(C context, DrainStep timer);

        /** A stopping process with a successor closes idle connections from now on. */
        void onCloseIdleClients(C context, CloseIdleClients timer);

        /** A stopping node accepts no more connections. */
        void onStopAccepting(C context, StopAccepting timer);

        /** A stopping node accepts no more requests. */
        void onStopServing(C context, StopServing timer);

        /** A stopping node must have answered every request. */
        void onAnswerAll(C context, AnswerAll timer);

        /** A stopping node must have exited. */
        void onExitNow(C context, ExitNow timer);
    }

    /** A timer of the balancer's own. */
    record BalancerTimer(String token) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onBalancerTimer(context, this);
        }
    }

    /** A request's client gives up. */
    record RequestDeadline(long requestId) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onRequestDeadline(context, this);
        }
    }

    /** An attempt is given up before its request's deadline. */
    record AttemptTimeout(long requestId, int attempt) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onAttemptTimeout(context, this);
        }
    }

    /** No attempt may start at this draining host any more. */
    record DrainCutoff(String host) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onDrainCutoff(context, this);
        }
    }

    /** The watch at discovery has something to do. */
    record DiscoveryTimer(long timerId) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onDiscoveryTimer(context, this);
        }
    }

    /** A health check has taken too long. */
    record HealthCheckTimeout(long healthCheckId) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onHealthCheckTimeout(context, this);
        }
    }

    /** The tenants' scheduler has something to do. */
    record TenantSchedulerTimer() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onTenantSchedulerTimer(context, this);
        }
    }

    /** The zone weights of the fleet have expired. */
    record ZoneWeightsExpired() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onZoneWeightsExpired(context, this);
        }
    }

    /** A drain reaches its next step. */
    record DrainStep(long drainNumber, LifeCycle.DrainStep step) implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onDrainStep(context, this);
        }
    }

    /** A stopping process with a successor closes idle connections from now on. */
    record CloseIdleClients() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onCloseIdleClients(context, this);
        }
    }

    /** A stopping node accepts no more connections. */
    record StopAccepting() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onStopAccepting(context, this);
        }
    }

    /** A stopping node accepts no more requests. */
    record StopServing() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onStopServing(context, this);
        }
    }

    /** A stopping node must have answered every request. */
    record AnswerAll() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onAnswerAll(context, this);
        }
    }

    /** A stopping node must have exited. */
    record ExitNow() implements TimerKey {
        @Override
        public <C> void accept(C context, Handler<C> handler) {
            handler.onExitNow(context, this);
        }
    }
}

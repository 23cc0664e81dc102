package brackenbridge.core;

import brackenbridge.core.balancing.BalancerApi;

/** Passes each timer that fires to the part that set it. */
final class TimerDispatch implements TimerKey.Handler<ReducerContext> {
    private final BalancerApi balancer;
    private final RequestLifecycle requests;
    private final AttemptLifecycle attempts;
    private final TenantAdmission admission;
    private final EndpointDiscovery discovery;
    private final EndpointUpdates endpoints;
    private final HealthChecks healthChecks;
    private final LifeCycle lifeCycle;
    private final DrainAndShutdown shutdown;

    TimerDispatch(
            BalancerApi balancer,
            RequestLifecycle requests,
            AttemptLifecycle attempts,
            TenantAdmission admission,
            EndpointDiscovery discovery,
            EndpointUpdates endpoints,
            HealthChecks healthChecks,
            LifeCycle lifeCycle,
            DrainAndShutdown shutdown) {
        this.balancer = balancer;
        this.requests = requests;
        this.attempts = attempts;
        this.admission = admission;
        this.discovery = discovery;
        this.endpoints = endpoints;
        this.healthChecks = healthChecks;
        this.lifeCycle = lifeCycle;
        this.shutdown = shutdown;
    }

    @Override
    public void onBalancerTimer(ReducerContext context, TimerKey.BalancerTimer timer) {
        balancer.onTimer(context.nowMicros(), timer.token());
    }

    @Override
    public void onRequestDeadline(ReducerContext context, TimerKey.RequestDeadline timer) {
        requests.onDeadline(context, timer);
    }

    @Override
    public void onAttemptTimeout(ReducerContext context, TimerKey.AttemptTimeout timer) {
        attempts.onTimeout(context, timer);
    }

    @Override
    public void onStreamingDue(ReducerContext context, TimerKey.StreamingDue timer) {
        attempts.onStreamingDue(context, timer);
    }

    @Override
    public void onDrainCutoff(ReducerContext context, TimerKey.DrainCutoff timer) {
        attempts.stopSendingTo(context, timer.host());
    }

    @Override
    public void onDiscoveryTimer(ReducerContext context, TimerKey.DiscoveryTimer timer) {
        discovery.onTimer(context, timer);
    }

    @Override
    public void onHealthCheckTimeout(ReducerContext context, TimerKey.HealthCheckTimeout timer) {
        healthChecks.onTimeout(context, timer);
    }

    @Override
    public void onTenantSchedulerTimer(ReducerContext context, TimerKey.TenantSchedulerTimer timer) {
        admission.onTimer(context);
    }

    @Override
    public void onZoneWeightsExpired(ReducerContext context, TimerKey.ZoneWeightsExpired timer) {
        endpoints.sendWeights(context);
    }

    @Override
    public void onDrainStep(ReducerContext context, TimerKey.DrainStep timer) {
        shutdown.runDrainStep(context, timer);
    }

    @Override
    public void onCloseIdleClients(ReducerContext context, TimerKey.CloseIdleClients timer) {
        context.addEffect(new Effect.CloseClientsWhenIdle(true));
    }

    @Override
    public void onStopAccepting(ReducerContext context, TimerKey.StopAccepting timer) {
        context.addEffect(new Effect.StopAccepting());
    }

    @Override
    public void onStopServing(ReducerContext context, TimerKey.StopServing timer) {
        shutdown.stopServing(context);
    }

    @Override
    public void onAnswerAll(ReducerContext context, TimerKey.AnswerAll timer) {
        // Guards requests that are complete only after the final responses: if started now, they would end with the
        // process.
        lifeCycle.startRejecting();
        requests.answerAll(context);
    }

    @Override
    public void onExitNow(ReducerContext context, TimerKey.ExitNow timer) {
        context.addEffect(new Effect.Exit(true));
    }
}

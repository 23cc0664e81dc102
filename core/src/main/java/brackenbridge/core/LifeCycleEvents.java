package brackenbridge.core;

import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;

/** Handles the node's start, changes of its settings, drains and the shutdown. */
final class LifeCycleEvents implements Event.LifeCycleEvent.Handler<ReducerContext> {
    private final CurrentSettings settings;
    private final LifeCycle lifeCycle;
    private final DrainAndShutdown shutdown;
    private final EndpointDiscovery discovery;
    private final RequestLifecycle requests;
    private final Counters counters;
    private final BalancerApi balancer;

    LifeCycleEvents(
            CurrentSettings settings,
            LifeCycle lifeCycle,
            DrainAndShutdown shutdown,
            EndpointDiscovery discovery,
            RequestLifecycle requests,
            Counters counters,
            BalancerApi balancer) {
        this.settings = settings;
        this.lifeCycle = lifeCycle;
        this.shutdown = shutdown;
        this.discovery = discovery;
        this.requests = requests;
        this.counters = counters;
        this.balancer = balancer;
    }

    @Override
    public void onStarted(ReducerContext context, Event.Started event) {
        lifeCycle.start();
        discovery.start(context, event.cachedEndpoints());
    }

    @Override
    public void onSuccessorChanged(ReducerContext context, Event.SuccessorChanged event) {
        shutdown.setHasSuccessor(event.serving());
    }

    @Override
    public void onReconfigured(ReducerContext context, Event.Reconfigured event) {
        counters.count(Counter.RECONFIGURED);
        if (settings.differFrom(event.settings())) {
            settings.apply(event.settings());
            shutdown.onSettingsChanged(context);
            requests.rejectWaitingWithChangedClass(context);
            context.runGuarded(() -> balancer.onSettings(context.nowMicros(), event.settings()));
        }
        discovery.onReconfigured(context, event.configuredEndpoints(), event.discoveryMoved());
    }

    @Override
    public void onDrainRequested(ReducerContext context, Event.DrainRequested event) {
        shutdown.drain(context, event.enabled());
    }

    @Override
    public void onStopRequested(ReducerContext context, Event.StopRequested event) {
        shutdown.stop(context, event.waitedMs());
    }
}

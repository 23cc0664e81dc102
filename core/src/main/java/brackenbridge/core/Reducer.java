package brackenbridge.core;

import brackenbridge.core.balancing.Balancer;
import brackenbridge.core.balancing.BalancerActions;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.observe.TrafficObserver;
import brackenbridge.core.share.TenantUsage;
import brackenbridge.counters.Counters;
import brackenbridge.counters.OperatorMetrics;
import java.util.List;
import java.util.function.BiFunction;

/**
 * Owns all decision state of a node and turns each event into effects. It dispatches each event to its handler, turns
 * the balancer's actions into effects, and enforces the node's own guarantees: one final response for each request, one
 * outcome for each attempt, nothing sent to a host after its drain grace. It makes no balancing decision.
 *
 * <p>Not thread-safe: it is confined to one thread.
 */
public final class Reducer {
    private final ReducerContext context = new ReducerContext();
    private final Counters counters;
    private final CurrentSettings settings;
    private final BalancerApi balancer;
    private final LifeCycle lifeCycle = new LifeCycle();
    private final OpenRequests openRequests = new OpenRequests();
    private final ResponsesInProgress responses;
    private final TrafficObservation observation = new TrafficObservation();
    private final EndpointTable endpoints;
    private final EndpointDiscovery discovery;
    private final AttemptLifecycle attempts;
    private final TenantAdmission admission;
    private final DrainAndShutdown shutdown;
    private final Event.EventHandlers<ReducerContext> handlers;

    /** Creates the reducer of a node; the settings' seed determines the balancer's random numbers. */
    public Reducer(BalancerSettings settings, Counters counters) {
        this(settings, counters, Balancer::new);
    }

    /**
     * Creates a reducer with another balancer, so that the laboratory can compare balancers under the same guarantees;
     * a running node always uses {@link Balancer}.
     */
    public Reducer(
            BalancerSettings settings,
            Counters counters,
            BiFunction<BalancerSettings, BalancerActions, BalancerApi> balancerFactory) {
        this.counters = counters;
        this.settings = new CurrentSettings(settings);
        this.responses = new ResponsesInProgress(counters);
        this.endpoints = new EndpointTable(this.settings);
        this.shutdown = new DrainAndShutdown(this.settings, lifeCycle, counters);
        LocalReplies localReplies = new LocalReplies(openRequests, responses, observation, this::suggestedRetryAfter);
        HealthChecks.Pending pendingHealthChecks = new HealthChecks.Pending();
        this.balancer = balancerFactory.apply(settings, balancerActions(localReplies, pendingHealthChecks));
        EndpointUpdates endpointUpdates = new EndpointUpdates(endpoints, openRequests, balancer);
        this.discovery = new EndpointDiscovery(this.settings, endpoints, endpointUpdates, counters);
        this.attempts =
                new AttemptLifecycle(openRequests, endpoints, localReplies, responses, observation, counters, balancer);
        this.admission =
                new TenantAdmission(openRequests, new RequestDispatch(balancer), localReplies, attempts, counters);
        RequestLifecycle requests = new RequestLifecycle(
                this.settings,
                openRequests,
                attempts,
                admission,
                localReplies,
                responses,
                lifeCycle,
                counters,
                balancer);
        this.handlers = eventHandlers(requests, endpointUpdates, new HealthChecks(pendingHealthChecks, balancer));
    }

    private BalancerActions balancerActions(LocalReplies localReplies, HealthChecks.Pending healthChecks) {
        AttemptStarter attemptStarter = new AttemptStarter(openRequests, endpoints, counters, observation);
        return new ReducerBalancerActions(
                context, settings, openRequests, endpoints, attemptStarter, localReplies, healthChecks, counters);
    }

    private Event.EventHandlers<ReducerContext> eventHandlers(
            RequestLifecycle requests, EndpointUpdates endpointUpdates, HealthChecks healthChecks) {
        TimerDispatch timers = new TimerDispatch(
                balancer, requests, attempts, admission, discovery, endpointUpdates, healthChecks, lifeCycle, shutdown);
        return new Event.EventHandlers<>(
                requests,
                attempts,
                discovery,
                healthChecks,
                new FleetEvents(admission, endpointUpdates),
                new LifeCycleEvents(settings, lifeCycle, shutdown, discovery, requests, counters, balancer),
                timers);
    }

    /** Called lazily, because local replies and the balancer need each other. */
    private long suggestedRetryAfter() {
        return balancer.suggestedRetryAfter();
    }

    /** Handles an event; the returned effects must be run in order. */
    public List<Effect> reduce(double nowMs, Event event) {
        context.startEvent(nowMs);
        // Guards the node against a fault in a decision: every request is still answered by its deadline timer.
        try {
            event.dispatch(context, handlers);
            attempts.deliverPendingOutcomes(context);
            admission.admitWaitingTenants(context);
        } catch (RuntimeException fault) {
            context.reportFault(fault);
        }
        shutdown.exitIfDone(context, openRequests.unanswered());
        return context.effects();
    }

    /** Whether a request could be served: an endpoint is up, and the node neither drains nor stops. */
    public boolean isReady() {
        return lifeCycle.phase() == LifeCycle.LifeCyclePhase.SERVING && endpoints.isAnyUp();
    }

    /** Whether the node has begun to stop. */
    public boolean isStopping() {
        return lifeCycle.phase() == LifeCycle.LifeCyclePhase.STOPPING;
    }

    /** Starts counting the traffic to each pool. */
    public void startObserving() {
        observation.enable();
    }

    /** The traffic to each pool up to the last event; empty before {@link #startObserving}. */
    public TrafficObserver.TrafficSnapshot observation() {
        return observation.snapshot(context.nowMs(), endpoints);
    }

    /** The operators' metrics as of the last event. */
    public String metricsText() {
        return OperatorMetrics.format(
                counters,
                settings.classNames(),
                new OperatorMetrics.Gauges(
                        openRequests.unanswered() + responses.count(),
                        endpoints.listedCount(),
                        balancer.ejectedEndpoints(),
                        discovery.silentMs(context.nowMs())));
    }

    /** The demand and usage of each tenant since the last call; empty without quotas. */
    public List<TenantUsage> takeTenantUsage(double nowMs) {
        return admission.takeUsage(nowMs);
    }

    /**
     * The client's remaining time to send to an attempt's server, in milliseconds; 0 if the attempt must not start any
     * more. Call this just before its first byte is written: it may have waited long for its connection.
     */
    public double timeLeftMs(double nowMs, long requestId, int attempt) {
        return attempts.timeLeftMs(nowMs, requestId, attempt);
    }

    /** The endpoint list for a process that replaces this one. */
    public EndpointList endpointList() {
        return discovery.endpointList();
    }

    /** The number of known hosts, including those that are removed from the list but still in use. */
    int hostCount() {
        return endpoints.size();
    }
}

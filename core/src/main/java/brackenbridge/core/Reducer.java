package brackenbridge.core;

import brackenbridge.core.balancing.Balancer;
import brackenbridge.core.balancing.BalancerActions;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.observe.TrafficObserver;
import brackenbridge.core.share.TenantUse;
import brackenbridge.counters.Counters;
import brackenbridge.counters.OperatorMetrics;
import java.util.List;
import java.util.function.BiFunction;

/**
 * Owns all decision state of a node: an event goes in, its effects come out. It passes each event to the part that
 * handles it, turns the balancer's actions into effects, and keeps the node's own guarantees: one final answer for each
 * request, one outcome for each attempt, nothing sent to a host after its drain grace. It takes no balancing decision.
 *
 * <p>It is confined to one thread.
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

    /** Starts a node; the balancer draws its random numbers from the settings' seed. */
    public Reducer(BalancerSettings settings, Counters counters) {
        this(settings, counters, Balancer::new);
    }

    /**
     * Starts a node with another balancer, so that a laboratory can compare others with the node's own under the same
     * guarantees; a running node always has its own.
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

    /** The replies need the balancer's advice, and the balancer's actions need the replies. */
    private long suggestedRetryAfter() {
        return balancer.suggestedRetryAfter();
    }

    /** Handles an event; the effects are to be run in order. */
    public List<Effect> reduce(double nowMs, Event event) {
        context.startEvent(nowMs);
        // Guards the node against a fault in a decision: each request's own deadline still answers it.
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

    /** From now on the traffic to each pool is counted. */
    public void startObserving() {
        observation.enable();
    }

    /** The traffic to each pool until the last event; nothing before {@link #startObserving}. */
    public TrafficObserver.TrafficSnapshot observation() {
        return observation.snapshot(context.nowMs(), endpoints);
    }

    /** The operators' metrics at the last event. */
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

    /** What each tenant wanted and used since the last call; nothing without quotas. */
    public List<TenantUse> tenantUse(double nowMs) {
        return admission.takeUse(nowMs);
    }

    /**
     * The client's time left that an attempt may send to its server, in milliseconds; 0 if it must not begin any more.
     * To be called when its first byte is about to be written: it may have waited long for its connection.
     */
    public double timeLeftMs(double nowMs, long requestId, int attempt) {
        return attempts.timeLeftMs(nowMs, requestId, attempt);
    }

    /** The endpoint list for a process that replaces this one. */
    public EndpointList endpointList() {
        return discovery.endpointList();
    }

    /** How many hosts are known, including those that are removed from the list but still in use. */
    int hostCount() {
        return endpoints.size();
    }
}

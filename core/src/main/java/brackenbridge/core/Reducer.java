package brackenbridge.core;

import brackenbridge.core.Event.ServerReply;
import brackenbridge.core.balancing.AttemptOutcome;
import brackenbridge.core.balancing.Balancer;
import brackenbridge.core.balancing.BalancerActions;
import brackenbridge.core.balancing.BalancerApi;
import brackenbridge.core.balancing.BalancerRequest;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.Endpoint;
import brackenbridge.core.balancing.EndpointListKind;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.core.balancing.RequestClass;
import brackenbridge.core.membership.DiscoveryCommand;
import brackenbridge.core.membership.DiscoverySource;
import brackenbridge.core.membership.DiscoveryWatch;
import brackenbridge.core.observe.TrafficObserver;
import brackenbridge.core.share.SchedulingResult;
import brackenbridge.core.share.TenantQuotas;
import brackenbridge.core.share.TenantScheduler;
import brackenbridge.core.share.TenantUse;
import brackenbridge.core.share.ZoneWeights;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;
import brackenbridge.counters.OperatorMetrics;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/**
 * Owns all state of a node: an event goes in, the effects it calls for come out. It tells the module of each
 * event, turns the module's actions into effects, and keeps the promises that are the node's own: one final
 * answer a flow, one outcome a forward, nothing sent after a drain's grace. It chooses nothing itself.
 */
public final class Reducer {
    /** A flow ends this long before its client gives up, so that the answer is still in time on the way. */
    static final double MARGIN_MS = 5;
    /** And earlier by as much as the node is late with its own deadlines of late, up to this part of the time. */
    static final double LATE_PART = 0.25;
    /**
     * And up to this: a node with half a core notices 97 of 100 deadlines within 19 ms. What is later is a cold start,
     * which no margin covers and which would only cost calls their time.
     */
    static final double MOST_LATE_MS = 20;
    /** A node may be held up for so long between reading its clock and writing: limits of writes allow for it. */
    static final double HELD_UP_MS = 150;
    /** Least time that a server is told. */
    private static final double LEAST_TOLD_MS = 1;
    /** Discovery says something every 2 s: a call without a word for so long has failed. */
    static final double SILENCE_MS = 3000;
    /** Longest time that a probe may take. */
    static final double PROBE_MS = 1000;

    private static final class OpenFlow {
        final long id;
        final String className;
        /** Its class by the settings under which it opened. */
        final RequestClass rules;
        /** As many forwards as were allowed when it opened. */
        final int maxAttempts;

        final Object message;
        /** Its tenant; null if none. */
        final String tenant;

        final boolean repeat;
        /** How long its client waits, from its last byte on. */
        final double left;
        /** It may have waited for so long before the node could see it. */
        final double unseen;
        /** The module knows of it: it waits for no turn among the tenants. */
        boolean begun;
        /** Infinite until its last byte has come. */
        double deadline;
        /** It can't be sent again. */
        boolean spent;

        int attempts;
        Out out;
        boolean ended;
        boolean timedOut;
        boolean mayHaveRun;
        /** When the first forward was sent that may have run. */
        double ranSinceMs;

        OpenFlow(long id, ClientRequest request, RequestClass rules, int maxAttempts, double left, double deadline) {
            this.id = id;
            this.className = request.className();
            this.rules = rules;
            this.maxAttempts = maxAttempts;
            this.message = request.message();
            this.tenant = request.tenant();
            this.repeat = request.clientRetry();
            this.left = left;
            this.unseen = request.maxUnseenWaitMs();
            this.deadline = deadline;
        }

        boolean isWhole() {
            return deadline < Double.POSITIVE_INFINITY;
        }
    }

    /** The one forward that a flow has out. */
    private static final class Out {
        final int number;
        final String host;
        final double sentMs;
        /** The module gives it up then, before its flow's deadline; infinite if not. */
        double limitMs = Double.POSITIVE_INFINITY;
        /** Its server is told no more of its client's time than until then. */
        double tellUntilMs = Double.POSITIVE_INFINITY;

        double since;
        boolean written;
        /** As what it is counted; null where nobody counts. */
        TrafficObserver.PoolKey seen;

        Out(int number, String host, double sentMs) {
            this.number = number;
            this.host = host;
            this.sentMs = sentMs;
            this.since = sentMs;
        }
    }

    private record Owed(long flow, int attempt, AttemptOutcome outcome) {}

    /** A flow whose answer is on its way out, and what it will count as. */
    private record Leaving(String className, Counter kind) {}

    private record PendingProbe(long endpoint, double since) {}

    private BalancerSettings settings;
    private final Counters counters;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final BalancerApi balancer;
    private final HostIds ids = new HostIds();
    private final Map<Long, ServerEndpoint> targets = new HashMap<>();
    /** Hosts among them that are gone and not forgotten yet. */
    private final Set<String> removed = new LinkedHashSet<>();

    private final Map<String, Double> noSendAfter = new HashMap<>();
    private final Map<Long, OpenFlow> flows = new HashMap<>();
    private final Map<Long, Leaving> leaving = new HashMap<>();
    private final Map<Long, PendingProbe> probes = new HashMap<>();
    private final ArrayDeque<Owed> owed = new ArrayDeque<>();
    private List<Effect> effects = new ArrayList<>();
    private double now;
    private int unanswered;
    private final TimerLateness lateness = new TimerLateness();
    private final DiscoveryWatch membership;
    private long probeCount;
    private final LifeCycle life = new LifeCycle();
    private final double longestDeadlineAtStartMs;
    private boolean succeeded;
    /** When the node was told to stop, and how it stood then. */
    private double stopAskedMs;

    private ShutdownSchedule.Situation situation;
    private boolean closed;
    private boolean exiting;
    private ZoneWeights zones = ZoneWeights.USUAL;
    /** Null until the fleet has told what tenants may hold: then each flow begins when it comes. */
    private TenantScheduler tenants;
    /** Flows that have ended and whose place nobody has yet. */
    private final ArrayDeque<Long> freed = new ArrayDeque<>();

    private double sharesWakeMs = Double.POSITIVE_INFINITY;
    /** Null where nobody wants to know. */
    private TrafficObserver observer;

    /** Starts a node; the module draws its random numbers from the settings' seed. */
    public Reducer(BalancerSettings settings, Counters counters) {
        this(settings, counters, Balancer::new);
    }

    /**
     * Starts a node whose decisions another maker makes, so that a laboratory can hold others against the module's
     * under the same promises; a running node always has the module's.
     */
    public Reducer(
            BalancerSettings settings,
            Counters counters,
            BiFunction<BalancerSettings, BalancerActions, BalancerApi> decisions) {
        this.settings = settings;
        this.counters = counters;
        this.longestDeadlineAtStartMs = ShutdownSchedule.longestDeadlineMs(settings);
        settings.classes().forEach(c -> classes.put(c.name(), c));
        this.balancer = decisions.apply(settings, new Acts());
        // Not the module's own draws: its choices must not hang on how often discovery was asked.
        this.membership = new DiscoveryWatch(source(settings), SILENCE_MS, new SplittableRandom(~settings.seed()));
    }

    /** Takes an event in; the effects are to be run in order. */
    public List<Effect> reduce(double nowMs, Event event) {
        now = nowMs;
        effects = new ArrayList<>();
        try {
            apply(event);
            settle();
            shareOut();
        } catch (RuntimeException e) {
            // Guards the node against a fault in a decision: each flow's own deadline still answers it.
            fault(e);
        }
        if (closed && unanswered == 0 && !exiting) {
            exiting = true;
            effects.add(new Effect.Exit(false));
        }
        return effects;
    }

    private void fault(RuntimeException e) {
        owed.clear();
        effects.add(new Effect.Fault(e));
    }

    /** Runs what a fault in a decision must not keep from what comes after it. */
    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            fault(e);
        }
    }

    /** Whether a flow could be served: some server is known to run, and the node neither drains nor stops. */
    public boolean isReady() {
        return life.phase() == LifeCycle.LifeCyclePhase.SERVING
                && targets.values().stream().anyMatch(t -> t.state() == EndpointState.UP);
    }

    /** Whether the node has begun to stop. */
    public boolean isStopping() {
        return life.phase() == LifeCycle.LifeCyclePhase.STOPPING;
    }

    /** From now on it is counted what goes to each pool. */
    public void startObserving() {
        observer = new TrafficObserver();
    }

    /** What was seen so far of each pool; nothing where nobody asked for it. */
    public TrafficObserver.TrafficSnapshot observation() {
        if (observer == null) {
            return TrafficObserver.TrafficSnapshot.NONE;
        }
        Map<TrafficObserver.PoolKey, Integer> servers = new HashMap<>();
        targets.values().stream()
                .filter(t -> t.state() == EndpointState.UP)
                .forEach(t -> servers.merge(new TrafficObserver.PoolKey(t.zone(), t.weight(), ""), 1, Integer::sum));
        return observer.snapshot(now, servers);
    }

    /** The operators' figures by now. */
    public String metricsText() {
        int listed = targets.size() - removed.size();
        return OperatorMetrics.lines(
                counters,
                classes.keySet(),
                new OperatorMetrics.Gauges(
                        unanswered + leaving.size(), listed, balancer.ejectedEndpoints(), membership.silentMs(now)));
    }

    private void apply(Event event) {
        if (event instanceof Event.Started e) {
            life.started();
            list(EndpointListKind.CACHED, e.cachedEndpoints().endpoints());
            follow(membership.start(now, e.cachedEndpoints().version()));
        } else if (event instanceof Event.EndpointListInherited e) {
            inherited(e.endpoints());
        } else if (event instanceof Event.SuccessorServes e) {
            succeeded = e.on();
        } else if (event instanceof Event.RequestReceived e) {
            open(e.requestId(), e.request());
        } else if (event instanceof Event.ClientDisconnected e) {
            gone(e.requestId());
        } else if (event instanceof Event.ClientPresenceUnknown e) {
            withdraw(e.requestId());
        } else if (event instanceof Event.ResponseFinished e) {
            Leaving l = leaving.remove(e.requestId());
            if (l != null) {
                counters.count(
                        switch (e.end()) {
                            case COMPLETE -> l.kind();
                            case TRUNCATED -> Counter.ANSWERED_FAILED;
                            case ABANDONED -> Counter.CLIENTS_DISCONNECTED;
                        },
                        l.className());
            }
        } else if (event instanceof Event.RequestCompleted e) {
            whole(e.requestId());
        } else if (event instanceof Event.RequestBodyReleased e) {
            OpenFlow f = flows.get(e.requestId());
            if (f != null) {
                f.spent = true;
            }
        } else if (event instanceof Event.AttemptWritten e) {
            OpenFlow f = withOut(e.requestId(), e.attempt());
            if (f != null) {
                f.out.written = true;
                // A server begins with the last byte: what came before is the client's time, not the server's.
                f.out.since = f.spent ? now : f.out.since;
                counters.count(Counter.ATTEMPTS_WRITTEN);
                balancer.onAttemptWritten(Microseconds.ofMs(now), e.requestId(), e.attempt());
            }
        } else if (event instanceof Event.AttemptAnswered e) {
            answered(e);
        } else if (event instanceof Event.AttemptConnectionLost e) {
            OpenFlow f = withOut(e.requestId(), e.attempt());
            if (f != null) {
                outcome(f, f.out.written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, f.ended, null);
            }
        } else if (event instanceof Event.AttemptNotStarted e) {
            OpenFlow f = withOut(e.requestId(), e.attempt());
            if (f != null) {
                // As at the cut-off itself: another host may take it.
                outcome(
                        f,
                        isCutOff(f.out.host, now) ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NEVER_STARTED,
                        f.ended,
                        null);
            }
        } else if (event instanceof Event.AttemptFailedLocally e) {
            OpenFlow f = withOut(e.requestId(), e.attempt());
            if (f != null) {
                outcome(f, AttemptOutcome.FAILED_LOCALLY, f.ended, null);
            }
        } else if (event instanceof Event.TimerFired e) {
            fired(e.key());
        } else if (event instanceof Event.HealthCheckEnded e) {
            probed(
                    e.healthCheckId(),
                    e.passed()
                            ? AttemptOutcome.OK
                            : e.answered() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED,
                    e.report());
        } else if (event instanceof Event.Reconfigured e) {
            reconfigured(e);
        } else if (event instanceof Event.TenantQuotasReceived e) {
            shared(e.quotas());
        } else if (event instanceof Event.ZoneWeightsReceived e) {
            weighed(e.weights());
        } else if (event instanceof Event.DrainRequested e) {
            drain(e.on());
        } else if (event instanceof Event.StopRequested) {
            stop();
        } else {
            discovery(event);
        }
    }

    // ---- Flows ----

    private void open(long id, ClientRequest request) {
        counters.count(Counter.REQUESTS_RECEIVED, request.className());
        if (request.clientRetry()) {
            counters.count(Counter.REQUESTS_RETRIED_BY_CLIENT);
        }
        RequestClass rules = classes.get(request.className());
        double waits = request.timeLeftMs() >= 0 ? request.timeLeftMs() : Microseconds.toMs(rules.deadline());
        double left = Math.max(0, waits - MARGIN_MS - lateMs(waits));
        OpenFlow f = new OpenFlow(
                id,
                request,
                rules,
                settings.maxAttempts(),
                left,
                request.complete() ? now + left : Double.POSITIVE_INFINITY);
        flows.put(id, f);
        unanswered++;
        if (life.isRejecting()) {
            // Guards the operators' word that the node is empty: what comes after the front has gone elsewhere has
            // never run and is not begun here any more.
            fixedResponse(f, Effect.LocalReply.REJECTED, 0);
            return;
        }
        effects.add(new Effect.SetTimer(now + left, new TimerKey.RequestDeadline(id)));
        if (tenants == null) {
            begin(f);
            return;
        }
        TenantScheduler.AdmissionDecision d = tenants.onRequest(now, id, f.tenant, now + left, 0);
        if (d.verdict() == TenantScheduler.AdmissionVerdict.ADMIT) {
            begin(f);
        } else if (d.verdict() == TenantScheduler.AdmissionVerdict.REJECT) {
            counters.count(Counter.REQUESTS_OVER_QUOTA);
            fixedResponse(f, Effect.LocalReply.REJECTED, d.retryAfterMs());
        }
    }

    /** How much earlier than usual a flow that waits so long is to end. */
    private double lateMs(double waits) {
        return Math.min(lateness.ms(now), Math.min(MOST_LATE_MS, waits * LATE_PART));
    }

    /** The module hears of a flow: at once, or when its tenant's turn has come. */
    private void begin(OpenFlow f) {
        f.begun = true;
        double left = f.isWhole() ? f.deadline - now : f.left;
        BalancerRequest told =
                new BalancerRequest(f.id, f.className, f.tenant, -1, Microseconds.ofMs(left), -1, f.repeat);
        if (f.isWhole()) {
            balancer.onRequest(Microseconds.ofMs(now), told);
        } else {
            balancer.onStreamedRequest(Microseconds.ofMs(now), told);
        }
    }

    // ---- Tenants ----

    /** From now on tenants have what they are told here. */
    private void shared(TenantQuotas told) {
        if (tenants == null) {
            tenants = new TenantScheduler(TenantScheduler.SchedulerLimits.USUAL);
            // What is open already holds connections too.
            for (OpenFlow f : flows.values()) {
                tenants.onRequest(now, f.id, f.tenant, f.isWhole() ? f.deadline : now + f.left, 0);
            }
        }
        turn(tenants.applyQuotas(now, told));
    }

    private void turn(SchedulingResult t) {
        for (SchedulingResult.Rejection r : t.rejected()) {
            OpenFlow f = flows.get(r.requestId());
            if (f != null && !f.ended) {
                counters.count(Counter.REQUESTS_OVER_QUOTA);
                fixedResponse(f, Effect.LocalReply.REJECTED, r.retryAfterMs());
            }
        }
        for (long id : t.admitted()) {
            OpenFlow f = flows.get(id);
            if (f != null && !f.ended && !f.begun) {
                begin(f);
            }
        }
    }

    /**
     * Flows that hold nothing any more give their places to others. Only once the module has finished its own event:
     * one that begins would be told in the midst of it.
     */
    private void shareOut() {
        while (!freed.isEmpty()) {
            turn(tenants.onRequestEnded(now, freed.poll()));
            settle();
        }
        if (tenants != null && tenants.nextTimerMs() < sharesWakeMs) {
            sharesWakeMs = tenants.nextTimerMs();
            effects.add(new Effect.SetTimer(sharesWakeMs, new TimerKey.TenantSchedulerTimer()));
        }
    }

    /** What each tenant wanted and used since the last reading; nothing where they have no shares. */
    public List<TenantUse> tenantUse(double nowMs) {
        return tenants == null ? List.of() : tenants.takeUse(nowMs);
    }

    /** From now on the client waits. */
    private void whole(long id) {
        OpenFlow f = flows.get(id);
        if (f != null && !f.isWhole()) {
            f.deadline = now + f.left;
            effects.add(new Effect.SetTimer(f.deadline, new TimerKey.RequestDeadline(id)));
            if (f.begun) {
                balancer.onRequestCompleted(Microseconds.ofMs(now), id);
            }
        }
    }

    private void gone(long id) {
        OpenFlow f = flows.get(id);
        if (f == null || f.ended) {
            return;
        }
        counters.count(Counter.CLIENTS_DISCONNECTED, f.className);
        end(f);
        if (f.begun) {
            guarded(() -> balancer.onClientDisconnected(Microseconds.ofMs(now), id));
        }
        // What is not written whole is no attempt yet and is withdrawn whatever the settings say of those that are.
        if (f.out != null && (settings.mayCancel() || !f.out.written)) {
            cancelOut(f, AttemptOutcome.CANCELLED);
        }
    }

    /** Nothing may begin for this flow any more: unless a forward of it has been written, it is answered at once. */
    private void withdraw(long id) {
        OpenFlow f = flows.get(id);
        if (f == null || f.ended || f.out != null && f.out.written) {
            return;
        }
        fixedResponse(f, f.mayHaveRun ? Effect.LocalReply.FAILED : Effect.LocalReply.REJECTED, 0);
        if (f.begun) {
            guarded(() -> balancer.onClientDisconnected(Microseconds.ofMs(now), id));
        }
        if (f.out != null) {
            cancelOut(f, AttemptOutcome.CANCELLED);
        }
    }

    private void answered(Event.AttemptAnswered e) {
        OpenFlow f = withOut(e.requestId(), e.attempt());
        if (f == null) {
            return;
        }
        if (e.reply() == ServerReply.INVALID_REQUEST) {
            // Guards the servers' standing against clients that ask for nonsense: the answer is the request's own
            // fault, so it is final, is not tried elsewhere and counts against no server.
            if (!f.ended) {
                fixedResponse(f, Effect.LocalReply.INVALID_REQUEST, 0);
            }
            counters.count(Counter.ATTEMPTS_INVALID_REQUEST);
            conclude(f, AttemptOutcome.CANCELLED, true, e.report());
            return;
        }
        AttemptOutcome outcome = switch (e.reply()) {
            case SERVED -> AttemptOutcome.OK;
            case ERROR -> AttemptOutcome.ERROR;
            default -> AttemptOutcome.FULL;
        };
        if (outcome == AttemptOutcome.OK && !f.ended) {
            leaving.put(f.id, new Leaving(f.className, Counter.ANSWERED_SERVED));
            effects.add(new Effect.SendResponse(f.id, e.message()));
            end(f);
        }
        outcome(f, outcome, f.ended, e.report());
    }

    /** The flow if this is the forward it has out; an event of any other forward comes too late. */
    private OpenFlow withOut(long id, int forward) {
        OpenFlow f = flows.get(id);
        return f != null && f.out != null && f.out.number == forward ? f : null;
    }

    private void end(OpenFlow f) {
        f.ended = true;
        unanswered--;
        if (f.out == null) {
            forget(f);
        }
    }

    /** Guards memory: a client may name any time it likes, and its timer must not outlive its flow. */
    private void forget(OpenFlow f) {
        if (flows.remove(f.id, f)) {
            if (tenants != null) {
                freed.add(f.id);
            }
            effects.add(new Effect.CancelTimer(new TimerKey.RequestDeadline(f.id)));
        }
    }

    /** The forward that is out has ended: the module hears of it, this once. */
    private void outcome(OpenFlow f, AttemptOutcome outcome, boolean ended, LoadReport report) {
        counters.count(kind(outcome));
        conclude(f, outcome, ended, report);
    }

    private void conclude(OpenFlow f, AttemptOutcome outcome, boolean endedBefore, LoadReport report) {
        Out o = f.out;
        f.out = null;
        if (!outcome.neverRan && !f.mayHaveRun) {
            f.mayHaveRun = true;
            f.ranSinceMs = o.sentMs;
        }
        if (o.seen != null) {
            observer.onAttemptEnded(o.seen, outcome == AttemptOutcome.OK, !outcome.neverRan, now - o.since);
        }
        f.timedOut = outcome == AttemptOutcome.TIMEOUT;
        if (f.spent && !f.ended) {
            // Nobody has its body any more, so the module has nothing to decide: the flow ends at once and truly.
            fixedResponse(
                    f,
                    f.timedOut
                            ? Effect.LocalReply.TIMED_OUT
                            : f.mayHaveRun ? Effect.LocalReply.FAILED : Effect.LocalReply.REJECTED,
                    0);
        }
        boolean ended = endedBefore || f.ended;
        if (f.ended) {
            forget(f);
        }
        balancer.onAttemptEnded(
                Microseconds.ofMs(now), f.id, o.number, ended, outcome, Microseconds.ofMs(now - o.since), report);
    }

    /**
     * What a forward may tell its server of its client's time, in milliseconds; 0 if it must not begin any more. To be
     * asked when its first byte is about to be written: it may have waited long for its connection.
     */
    public double timeLeftMs(double nowMs, long flow, int forward) {
        OpenFlow f = withOut(flow, forward);
        if (f == null || f.ended || isCutOff(f.out.host, nowMs) || isRepeatedTooLate(f, nowMs)) {
            return 0;
        }
        // The first attempt is made beyond what is surely left: its client may not have waited unseen at all.
        double end = f.out.number == 0 ? f.deadline : f.deadline - f.unseen;
        if (nowMs >= Math.min(end, f.out.limitMs)) {
            return 0;
        }
        // The last byte of a request that was not whole when it was sent may have come long before it was read.
        double surely = Math.min(f.deadline - f.unseen, f.out.tellUntilMs);
        return Math.max(LEAST_TOLD_MS, surely - nowMs);
    }

    /** Whether nothing may be sent to this host any more. */
    private boolean isCutOff(String host, double nowMs) {
        Double cutoff = noSendAfter.get(host);
        return cutoff != null && nowMs >= cutoff;
    }

    /** Whether servers may have forgotten that they have run it when another forward of it reaches them. */
    private static boolean isRepeatedTooLate(OpenFlow f, double nowMs) {
        return f.mayHaveRun
                && f.rules.idempotence() == Idempotence.IDEMPOTENCY_KEY
                && nowMs >= f.ranSinceMs + Microseconds.toMs(f.rules.idempotencyKeyTtl()) - HELD_UP_MS;
    }

    private static Counter kind(AttemptOutcome outcome) {
        return switch (outcome) {
            case OK -> Counter.ATTEMPTS_SERVED;
            case ERROR -> Counter.ATTEMPTS_FAILED;
            case FULL -> Counter.ATTEMPTS_SERVER_FULL;
            case TIMEOUT -> Counter.ATTEMPTS_TIMED_OUT;
            case CONNECT_FAILED, FAILED_LOCALLY -> Counter.ATTEMPTS_UNCONNECTED;
            case RESET -> Counter.ATTEMPTS_RESET;
            case CANCELLED -> Counter.ATTEMPTS_CANCELLED;
            case NEVER_STARTED -> Counter.ATTEMPTS_NEVER_STARTED;
        };
    }

    /** Calls off the forward that is out; one that was never written whole has never run. */
    private void cancelOut(OpenFlow f, AttemptOutcome ifWritten) {
        effects.add(new Effect.CancelAttempt(f.id, f.out.number));
        outcome(f, f.out.written ? ifWritten : AttemptOutcome.NEVER_STARTED, f.ended, null);
    }

    /** Forwards that could not be begun get their outcome once the module has finished its own event. */
    private void settle() {
        while (!owed.isEmpty()) {
            Owed o = owed.poll();
            OpenFlow f = flows.get(o.flow());
            counters.count(kind(o.outcome()));
            balancer.onAttemptEnded(
                    Microseconds.ofMs(now), o.flow(), o.attempt(), f == null || f.ended, o.outcome(), 0, null);
        }
    }

    private void fixedResponse(OpenFlow f, Effect.LocalReply kind, double retryAfterMs) {
        if (observer != null && kind == Effect.LocalReply.REJECTED) {
            observer.onRejected(f.className);
        }
        leaving.put(
                f.id,
                new Leaving(
                        f.className,
                        kind == Effect.LocalReply.REJECTED
                                ? Counter.ANSWERED_REJECTED
                                : kind == Effect.LocalReply.INVALID_REQUEST
                                        ? Counter.ANSWERED_INVALID_REQUEST
                                        : Counter.ANSWERED_FAILED));
        // A refusal says when to come back, whoever decided it.
        double advice = kind == Effect.LocalReply.REJECTED && retryAfterMs == 0 ? retryAdviceMs() : retryAfterMs;
        effects.add(new Effect.SendLocalReply(f.id, kind, advice));
        end(f);
    }

    /** When the module wants refused clients back; none if it can't say. */
    private double retryAdviceMs() {
        try {
            return Microseconds.toMs(balancer.suggestedRetryAfter());
        } catch (RuntimeException e) {
            fault(e);
            return 0;
        }
    }

    private void fired(TimerKey key) {
        if (key instanceof TimerKey.BalancerTimer k) {
            balancer.onTimer(Microseconds.ofMs(now), k.token());
        } else if (key instanceof TimerKey.RequestDeadline k) {
            deadline(k.requestId());
        } else if (key instanceof TimerKey.AttemptTimeout k) {
            OpenFlow f = withOut(k.requestId(), k.attempt());
            if (f != null) {
                cancelOut(f, AttemptOutcome.TIMEOUT);
            }
        } else if (key instanceof TimerKey.DrainCutoff k) {
            cutOff(k.host());
        } else if (key instanceof TimerKey.DiscoveryTimer k) {
            follow(membership.wake(now, k.turn()));
        } else if (key instanceof TimerKey.HealthCheckTimeout k) {
            if (probes.containsKey(k.healthCheckId())) {
                effects.add(new Effect.CancelHealthCheck(k.healthCheckId()));
                probed(k.healthCheckId(), AttemptOutcome.TIMEOUT, null);
            }
        } else if (key instanceof TimerKey.TenantSchedulerTimer) {
            sharesWakeMs = Double.POSITIVE_INFINITY;
            turn(tenants.onTimer(now));
        } else if (key instanceof TimerKey.ZoneWeightsExpired) {
            tellWeights();
        } else if (key instanceof TimerKey.DrainStep k) {
            drainStep(k);
        } else if (key instanceof TimerKey.CloseIdleClients) {
            effects.add(new Effect.CloseClientsWhenIdle(true));
        } else if (key instanceof TimerKey.StopAccepting) {
            effects.add(new Effect.StopAccepting());
        } else if (key instanceof TimerKey.StopServing) {
            closed = true;
            effects.add(new Effect.AnnounceClose(true));
            effects.add(new Effect.CloseIdleClients());
        } else if (key instanceof TimerKey.AnswerAll) {
            // Guards what is whole only behind the last answers: begun now, it would die with the process.
            life.startRejecting();
            answerAll();
        } else if (key instanceof TimerKey.ExitNow) {
            effects.add(new Effect.Exit(true));
        }
    }

    /** The client is about to give up: the forward has timed out, and an answer goes out whatever happens. */
    private void deadline(long id) {
        OpenFlow f = flows.get(id);
        // A flow whose body is still on its way to a server has all its time before it.
        if (f == null || (f.isWhole() ? now < f.deadline : f.out != null)) {
            return;
        }
        if (f.isWhole() && f.out != null) {
            lateness.noticed(now, f.deadline);
        }
        answerNow(f);
    }

    private void answerNow(OpenFlow f) {
        if (f.out != null) {
            // No further timer answers this flow: it is answered whatever the module does with the outcome.
            guarded(() -> {
                cancelOut(f, AttemptOutcome.TIMEOUT);
                settle();
            });
        }
        if (!f.ended) {
            // Guards against a flow that the module still holds: the client must not be left without an answer.
            counters.count(Counter.ANSWERED_AT_DEADLINE);
            fixedResponse(f, f.mayHaveRun ? Effect.LocalReply.TIMED_OUT : Effect.LocalReply.REJECTED, 0);
            if (f.begun) {
                guarded(() -> balancer.onClientDisconnected(Microseconds.ofMs(now), f.id));
            }
        }
    }

    // ---- Discovery ----

    private void discovery(Event event) {
        if (event instanceof Event.EndpointListReceived e) {
            if (membership.onEndpointList(
                    now, e.call(), e.endpoints().version(), e.endpoints().complete())) {
                told(e.endpoints());
            }
        } else if (event instanceof Event.DiscoveryHeartbeat e) {
            membership.onHeartbeat(now, e.call());
        } else if (event instanceof Event.DiscoveryEnded e) {
            if (membership.isOpen(e.call())) {
                counters.count(Counter.DISCOVERY_FAILED);
            }
            follow(membership.onCallEnded(now, e.call()));
        }
    }

    private void told(EndpointList group) {
        counters.count(Counter.ENDPOINT_LISTS);
        List<ServerEndpoint> told = new ArrayList<>(group.endpoints());
        // Guards a server that serves against one unreadable word of it: left out, it would count as gone.
        for (String host : Set.copyOf(group.unreadableHosts())) {
            if (ids.isKnown(host)) {
                told.add(targets.get(ids.of(host)));
            }
        }
        list(group.complete() ? EndpointListKind.FULL : EndpointListKind.CHANGES, told);
    }

    private static DiscoverySource source(BalancerSettings s) {
        return new DiscoverySource(s.polledDiscovery(), Microseconds.toMs(s.maxPollInterval()));
    }

    private void follow(List<DiscoveryCommand> steps) {
        for (DiscoveryCommand step : steps) {
            if (step instanceof DiscoveryCommand.OpenWatch o) {
                counters.count(Counter.DISCOVERY_CALLS);
                effects.add(new Effect.WatchDiscovery(o.call(), o.afterVersion()));
            } else if (step instanceof DiscoveryCommand.EndCall e) {
                if (e.silent()) {
                    counters.count(Counter.DISCOVERY_FAILED);
                }
                effects.add(new Effect.EndDiscoveryCall(e.call()));
            } else if (step instanceof DiscoveryCommand.Wake w) {
                effects.add(new Effect.SetTimer(w.atMs(), new TimerKey.DiscoveryTimer(w.timer())));
            }
        }
    }

    /** The target group as the process before this one holds it: what it was told binds this one too. */
    private void inherited(EndpointList list) {
        if (membership.acceptVersion(list.version(), true)) {
            list(EndpointListKind.CACHED, list.endpoints());
            for (ServerEndpoint t : list.endpoints()) {
                if (t.state() != EndpointState.UP) {
                    // Its grace began when the other process was told, no later than now.
                    noSendAfter.put(t.host(), now);
                }
            }
        }
        // What changes from now on is told to both; the first question of its own may be seconds away.
        follow(membership.reopen(now, false));
    }

    /** What is known of the target group, for a process that takes this one's place. */
    public EndpointList endpointList() {
        return new EndpointList(
                membership.version(),
                true,
                targets.values().stream()
                        .filter(t -> t.state() != EndpointState.REMOVED)
                        .toList());
    }

    /** Another configuration: a newer list in it is taken over, and a moved discovery is asked at once. */
    private void reconfigured(Event.Reconfigured e) {
        counters.count(Counter.RECONFIGURED);
        if (!e.settings().withSeed(settings.seed()).equals(settings)) {
            settings = e.settings();
            classes.clear();
            settings.classes().forEach(c -> classes.put(c.name(), c));
            if (isStopping()) {
                scheduleStop();
            }
            refuseChanged();
            guarded(() -> balancer.onSettings(Microseconds.ofMs(now), settings));
        }
        follow(membership.changeSource(now, source(settings)));
        if (membership.acceptVersion(e.configuredEndpoints().version(), false)) {
            list(EndpointListKind.CACHED, e.configuredEndpoints().endpoints());
        }
        if (e.discoveryMoved()) {
            // Guards the list against the gap that a pause after a failed call would leave: what the new address
            // has to tell counts as told soon.
            follow(membership.reopen(now, true));
        }
    }

    /**
     * Guards flows that wait for their tenant's turn against the rules of another time: the module takes the class by
     * its name when it hears of them, and by then it may be gone, or safe to repeat where it was not.
     */
    private void refuseChanged() {
        for (OpenFlow f : List.copyOf(flows.values())) {
            if (!f.begun && !f.ended && !f.rules.equals(classes.get(f.className))) {
                fixedResponse(f, Effect.LocalReply.REJECTED, 0);
            }
        }
    }

    private void list(EndpointListKind kind, List<ServerEndpoint> told) {
        if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
            Set<String> named = new HashSet<>();
            told.forEach(t -> named.add(t.host()));
            for (ServerEndpoint t : List.copyOf(targets.values())) {
                if (!named.contains(t.host()) && t.state() != EndpointState.REMOVED) {
                    keep(new ServerEndpoint(
                            t.host(),
                            t.address(),
                            t.zone(),
                            t.cell(),
                            t.weight(),
                            t.startedAtMs(),
                            EndpointState.REMOVED));
                }
            }
        }
        List<Endpoint> entries = new ArrayList<>();
        for (ServerEndpoint t : told) {
            keep(t);
            entries.add(weighed(t));
        }
        balancer.onEndpointList(Microseconds.ofMs(now), kind, entries);
        forgetRemoved();
    }

    /** A server as the module is told of it. */
    private Endpoint weighed(ServerEndpoint t) {
        double part = zones.weightOf(t.zone(), now);
        // One that is to get nothing is told as one that takes nothing new: its weight could only be small.
        return new Endpoint(
                ids.of(t.host()),
                t.cell(),
                t.zone(),
                t.weight() * (part > 0 ? part : 1),
                Microseconds.ofMs(t.startedAtMs()),
                part > 0 || t.state() != EndpointState.UP ? t.state() : EndpointState.DRAINING);
    }

    private void weighed(ZoneWeights told) {
        if (told.supersedes(zones)) {
            // What is only said again need not reach the module, unless it has run out meanwhile.
            boolean anew = !told.weights().equals(zones.weights()) || now >= zones.untilMs();
            zones = told;
            if (anew) {
                tellWeights();
            }
            effects.add(new Effect.SetTimer(told.untilMs(), new TimerKey.ZoneWeightsExpired()));
        }
    }

    private void tellWeights() {
        balancer.onEndpointList(
                Microseconds.ofMs(now),
                EndpointListKind.CHANGES,
                targets.values().stream()
                        .filter(t -> t.state() != EndpointState.REMOVED)
                        .map(this::weighed)
                        .toList());
    }

    /**
     * Guards memory: over a long day servers come and go under ever new names. One that is gone is forgotten as
     * soon as no forward is out to it; the module lets go of it by the same rule and at the same moment.
     */
    private void forgetRemoved() {
        if (removed.isEmpty()) {
            return;
        }
        Set<String> inUse = new HashSet<>();
        for (OpenFlow f : flows.values()) {
            if (f.out != null) {
                inUse.add(f.out.host);
            }
        }
        for (String host : List.copyOf(removed)) {
            if (!inUse.contains(host)) {
                ServerEndpoint gone = targets.remove(ids.of(host));
                ids.forget(host);
                noSendAfter.remove(host);
                removed.remove(host);
                effects.add(new Effect.CloseIdleConnections(host, gone.address()));
            }
        }
    }

    /** How many hosts are known, those that are gone but still in use included. */
    int hostCount() {
        return targets.size();
    }

    private void keep(ServerEndpoint t) {
        ServerEndpoint before = targets.put(ids.of(t.host()), t);
        if (before != null && (!before.address().equals(t.address()) || t.state() == EndpointState.REMOVED)) {
            effects.add(new Effect.CloseIdleConnections(before.host(), before.address()));
        }
        if (t.state() == EndpointState.REMOVED) {
            removed.add(t.host());
        } else {
            removed.remove(t.host());
        }
        if (t.state() == EndpointState.UP) {
            noSendAfter.remove(t.host());
        } else if (!noSendAfter.containsKey(t.host())) {
            // Half of the grace: the word was under way before it came, and a send takes a moment to leave. Where the
            // grace is short, what a node may be held up for is more than the other half.
            double grace = Microseconds.toMs(settings.network().drainGrace());
            double cutoff = now + Math.max(0, Math.min(grace / 2, grace - HELD_UP_MS));
            noSendAfter.put(t.host(), cutoff);
            effects.add(new Effect.SetTimer(cutoff, new TimerKey.DrainCutoff(t.host())));
        }
    }

    /** Forwards that still wait for a connection to a draining host must not begin after the grace. */
    private void cutOff(String host) {
        if (!isCutOff(host, now)) {
            return;
        }
        for (OpenFlow f : List.copyOf(flows.values())) {
            if (f.out != null && f.out.host.equals(host) && !f.out.written) {
                effects.add(new Effect.CancelAttempt(f.id, f.out.number));
                outcome(f, AttemptOutcome.CONNECT_FAILED, f.ended, null);
            }
        }
    }

    // ---- Probes and stopping ----

    private void probed(long probe, AttemptOutcome outcome, LoadReport report) {
        PendingProbe p = probes.remove(probe);
        if (p != null) {
            balancer.onHealthCheckEnded(
                    Microseconds.ofMs(now), p.endpoint(), outcome, Microseconds.ofMs(now - p.since()), report);
        }
    }

    private void drain(boolean on) {
        if (!(on ? life.drain() : life.cancelDrain())) {
            return;
        }
        counters.count(on ? Counter.DRAINS : Counter.DRAINS_CANCELLED);
        effects.add(new Effect.AnnounceClose(on));
        if (on) {
            for (LifeCycle.DrainStep step : LifeCycle.DrainStep.values()) {
                effects.add(new Effect.SetTimer(now + step.afterMs, new TimerKey.DrainStep(life.drainCount(), step)));
            }
        } else {
            effects.add(new Effect.CloseClientsWhenIdle(false));
        }
    }

    private void drainStep(TimerKey.DrainStep due) {
        if (!life.isCurrent(due.drain())) {
            return;
        }
        switch (due.step()) {
            case CLOSE_IDLE_CLIENTS -> effects.add(new Effect.CloseClientsWhenIdle(true));
            case REJECT_NEW_REQUESTS -> life.startRejecting();
            default -> effects.add(new Effect.RejectIncompleteRequests());
        }
    }

    private void stop() {
        boolean emptied = life.phase() == LifeCycle.LifeCyclePhase.DRAINING;
        if (!life.stop()) {
            return;
        }
        stopAskedMs = now;
        situation = succeeded
                ? ShutdownSchedule.Situation.REPLACED
                : emptied ? ShutdownSchedule.Situation.EMPTIED : ShutdownSchedule.Situation.RESTARTED;
        if (succeeded) {
            // Another process serves: no new connection is for this one, and the old ones end as gently as they can.
            effects.add(new Effect.StopAccepting());
            effects.add(new Effect.AnnounceClose(true));
        }
        scheduleStop();
    }

    /** Sets the timers of a stop; a step that is due twice does nothing the second time. */
    private void scheduleStop() {
        // The platform may go by the settings that it started the node with or by the newest: safe under both.
        double longest = Math.min(longestDeadlineAtStartMs, ShutdownSchedule.longestDeadlineMs(settings));
        ShutdownSchedule schedule = ShutdownSchedule.of(situation, longest);
        if (situation == ShutdownSchedule.Situation.REPLACED) {
            effects.add(new Effect.SetTimer(stopAskedMs + schedule.endIdleMs(), new TimerKey.CloseIdleClients()));
        } else {
            effects.add(new Effect.SetTimer(stopAskedMs + schedule.acceptMs(), new TimerKey.StopAccepting()));
        }
        effects.add(new Effect.SetTimer(stopAskedMs + schedule.serveMs(), new TimerKey.StopServing()));
        effects.add(new Effect.SetTimer(stopAskedMs + schedule.answerMs(), new TimerKey.AnswerAll()));
        effects.add(new Effect.SetTimer(stopAskedMs + schedule.exitMs(), new TimerKey.ExitNow()));
    }

    /** Time is up before some deadlines: what is open is answered now, since the process will not live longer. */
    private void answerAll() {
        List.copyOf(flows.values()).forEach(this::answerNow);
    }

    /** What the module does, as effects. */
    private final class Acts implements BalancerActions {
        @Override
        public void startAttempt(long request, long endpoint, long timeout) {
            OpenFlow f = flows.get(request);
            if (f == null) {
                return;
            }
            int number = f.attempts++;
            ServerEndpoint t = targets.get(endpoint);
            // A further attempt must not outlast a client that has waited longer than the node could see.
            double end = number == 0 ? f.deadline : f.deadline - f.unseen;
            if (f.ended
                    || f.out != null
                    || number >= f.maxAttempts
                    || t == null
                    || now >= end
                    || isCutOff(t.host(), now)
                    || isRepeatedTooLate(f, now)) {
                owed.add(new Owed(request, number, AttemptOutcome.NEVER_STARTED));
                return;
            }
            f.out = new Out(number, t.host(), now);
            counters.count(Counter.ATTEMPTS_STARTED);
            if (observer != null) {
                f.out.seen = new TrafficObserver.PoolKey(t.zone(), t.weight(), f.className);
                observer.onAttemptStarted(f.out.seen, number == 0);
            }
            double last = f.isWhole() ? end : now + f.left;
            double giveUp = Math.min(last, timeout > 0 && f.isWhole() ? now + Microseconds.toMs(timeout) : last);
            effects.add(new Effect.StartAttempt(f.id, number, t.host(), t.address(), giveUp, f.message));
            f.out.tellUntilMs = giveUp;
            if (giveUp < last) {
                f.out.limitMs = giveUp;
                effects.add(new Effect.SetTimer(giveUp, new TimerKey.AttemptTimeout(f.id, number)));
            }
        }

        @Override
        public boolean reportsWritten() {
            return true;
        }

        @Override
        public void reject(long request, long retryAfter) {
            OpenFlow f = flows.get(request);
            if (f != null && !f.ended) {
                fixedResponse(f, Effect.LocalReply.REJECTED, Microseconds.toMs(retryAfter));
            }
        }

        @Override
        public void fail(long request) {
            OpenFlow f = flows.get(request);
            if (f != null && !f.ended) {
                fixedResponse(f, f.timedOut ? Effect.LocalReply.TIMED_OUT : Effect.LocalReply.FAILED, 0);
            }
        }

        @Override
        public void setTimer(long at, String token) {
            effects.add(new Effect.SetTimer(Microseconds.toMs(at), new TimerKey.BalancerTimer(token)));
        }

        @Override
        public void startHealthCheck(long endpoint) {
            ServerEndpoint t = targets.get(endpoint);
            if (t == null || !settings.mayHealthCheck()) {
                return;
            }
            long probe = probeCount++;
            counters.count(Counter.HEALTH_CHECKS);
            probes.put(probe, new PendingProbe(endpoint, now));
            effects.add(new Effect.StartHealthCheck(probe, t.address()));
            effects.add(new Effect.SetTimer(now + PROBE_MS, new TimerKey.HealthCheckTimeout(probe)));
        }
    }
}

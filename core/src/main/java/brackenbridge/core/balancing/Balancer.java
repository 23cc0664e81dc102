package brackenbridge.core.balancing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The decision module: the controller of Andersson and Kihl for an application server, with one instance per node. Its
 * interface is {@link BalancerApi}; docs/DESIGN.md describes which parts of the paper were kept and which were changed.
 * An instance runs on one thread and knows only what its events contain. Times are in microseconds.
 *
 * <p>The mechanisms, in the order in which a request passes through them:
 *
 * <ol>
 *   <li>{@link RequestClasses}: token buckets of rate d raise a request to the top priority;
 *   <li>{@link AdmissionControl}: equation 1, A = tau r, bounds the open requests;
 *   <li>{@link WeightedRoundRobin}: binds the request to a server of the {@link ServerSubset};
 *   <li>{@link RequestQueues}: equations 3 and 4, which compare times with tau f, drop and release queued requests;
 *   <li>{@link SlowStart}, {@link OutlierDetection}, {@link RetryBudget}: limit the requests to servers that are
 *       warming up, eject failing servers and limit retries.
 * </ol>
 */
public final class Balancer implements BalancerApi {
    private static final long SECOND_US = 1_000_000;
    /** Time between two ticks. A tick updates the measured rates and adjusts the subset and the window. */
    private static final long TICK_INTERVAL = SECOND_US / 4;

    private static final String TICK_TIMER = "tick";
    /** How many turns of the round robin are tried for one request. */
    private static final int MAX_TURNS_PER_REQUEST = 4;

    private BalancerSettings settings;
    private final BalancerActions actions;
    private final SplittableRandom random;
    private final SlowStart slowStart;
    private final RequestClasses classes = new RequestClasses();
    private final AdmissionControl admission = new AdmissionControl(classes);
    private final ServerSubset subset = new ServerSubset();
    private final WeightedRoundRobin roundRobin;
    private final RequestQueues queues;
    private final OutlierDetection outliers;
    private final IdleServers idleServers = new IdleServers();
    private final RetryBudget retryBudget = new RetryBudget();
    private final ServerRegistry servers;
    private final Map<Long, QueuedRequest> requests = new HashMap<>();
    private int inFlight;
    /** Queued requests dropped since the last tick. */
    private int droppedSinceTick;

    private long lastTick;
    private boolean started;

    /** Creates an instance; it begins to work with its first event. */
    public Balancer(BalancerSettings settings, BalancerActions actions) {
        this.actions = actions;
        this.random = new SplittableRandom(settings.seed());
        this.slowStart = new SlowStart(settings, actions, random);
        this.roundRobin = new WeightedRoundRobin(slowStart, random);
        this.queues = new RequestQueues(actions);
        this.outliers = new OutlierDetection(classes, subset.order(), random);
        this.servers = new ServerRegistry(classes, subset.order(), outliers, idleServers);
        applySettings(settings);
    }

    @Override
    public void onSettings(long now, BalancerSettings next) {
        slowStart.applySettings(now, next);
        applySettings(next);
        // Open requests keep the rules of their class; only their priority level is limited to the new levels.
        requests.values().forEach(request -> request.level = Math.min(request.level, classes.levels() - 1));
        servers.rebuildQueues();
        rebuildSubset(now);
    }

    private void applySettings(BalancerSettings next) {
        settings = next;
        classes.applySettings(next);
        admission.applySettings(next);
        subset.applySettings(next);
    }

    @Override
    public void onEndpointList(long now, EndpointListKind kind, List<Endpoint> entries) {
        ensureStarted(now);
        slowStart.recordCapacity(now, subset.order(), subset.size());
        servers.applyList(now, kind, entries);
        rebuildSubset(now);
        servers.forgetRemoved(now, settings.removedRetention());
    }

    private void rebuildSubset(long now) {
        List<ServerState> before = subset.rebuildMembers();
        // Removes all of them from the rotation before any request is rebound, as it could go to another server that
        // leaves.
        before.stream().filter(server -> !server.inSubset).forEach(roundRobin::remove);
        List<ServerState> removed = queues.serversWithQueueOutsideSubset();
        for (ServerState server : subset.members()) {
            addToRotation(now, server);
        }
        removed.forEach(server -> removeFromRotation(now, server));
    }

    private void addToRotation(long now, ServerState server) {
        subset.addMember(server);
        if (server.inRotation || server.ejected) {
            return;
        }
        roundRobin.add(now, server);
        fillFreeSlot(now, server);
    }

    /** Stops new requests to the server and rebinds those that are queued for it. */
    private void removeFromRotation(long now, ServerState server) {
        roundRobin.remove(server);
        // All are removed from the queue first, because a request that a joining server takes over must not be placed
        // again.
        queues.removeAll(server).forEach(request -> placeRequest(now, request));
    }

    @Override
    public void onRequest(long now, BalancerRequest incoming) {
        QueuedRequest request = admitRequest(now, incoming, false);
        if (request != null) {
            placeRequest(now, request);
        }
    }

    /** Binds the request by the round robin and sends it at once, since it occupies no server until it is complete. */
    @Override
    public void onStreamedRequest(long now, BalancerRequest incoming) {
        QueuedRequest request = admitRequest(now, incoming, true);
        ServerState server = request == null ? null : bindToServer(now, request);
        if (server != null && canAdmit(now, server)) {
            sendRequest(now, request, server);
        } else if (request != null) {
            queues.add(now, request, null);
        }
    }

    @Override
    public void onRequestCompleted(long now, long id) {
        QueuedRequest request = requests.get(id);
        if (request != null && request.incomplete) {
            request.incomplete = false;
            if (!request.finished) {
                admission.onOpened();
            }
            request.attempts.stream().filter(attempt -> !attempt.ended).forEach(this::countInFlight);
        }
    }

    /** Returns the request, or null if {@link AdmissionControl#admits} rejected it. */
    private QueuedRequest admitRequest(long now, BalancerRequest incoming, boolean incomplete) {
        ensureStarted(now);
        RequestClassState requestClass = classes.require(incoming.className());
        long timeLeft = Math.max(0, incoming.timeLeft());
        // A response after the latency objective has little or no value, so the objective bounds tau.
        long tau = Math.min(timeLeft, requestClass.rules.latencyObjective());
        QueuedRequest request = new QueuedRequest(incoming, requestClass, settings.maxAttempts(), now, tau, timeLeft);
        requests.put(request.id, request);
        request.incomplete = incomplete;
        if (!incomplete) {
            admission.onOpened();
        }
        admission.onArrival(now);
        request.level = classes.assignLevel(now, requestClass, incoming.tenant());
        if (!admission.admits(now, request)) {
            finishRequest(request, now);
            return null;
        }
        request.expiresAt = now + (request.level == 0 ? tau : (long) (tau * RequestQueues.DEADLINE_MARGIN));
        return request;
    }

    /** Binds a request by the round robin; sends it at once if the server is free, else queues it. */
    private void placeRequest(long now, QueuedRequest request) {
        if (sendTrial(now, request)) {
            return;
        }
        ServerState server = bindToServer(now, request);
        if (server != null && (server.inFlight > 0 || !canAdmit(now, server))) {
            ServerState idle = findIdle(now, request);
            server = idle == null ? server : idle;
        }
        if (server != null && server.inFlight < subset.windowSize() && canAdmit(now, server)) {
            sendRequest(now, request, server);
        } else {
            queues.add(now, request, server);
        }
    }

    private ServerState bindToServer(long now, QueuedRequest request) {
        ServerState allowed = null;
        for (int i = 0; i < MAX_TURNS_PER_REQUEST && !roundRobin.isEmpty(); i++) {
            ServerState server = roundRobin.next(now);
            if (IdempotencyRules.allowsAttempt(now, request, server)) {
                if (!request.wasSentTo(server)
                        && OutlierDetection.isSuitable(now, request, server)
                        && canAdmit(now, server)) {
                    return server;
                }
                allowed = allowed == null ? server : allowed;
            }
        }
        ServerState firstRun = request.firstRunServer;
        if (allowed == null
                && request.mayHaveRun
                && IdempotencyRules.allowsAttempt(now, request, firstRun)
                && !firstRun.ejected
                && firstRun.endpoint.state() == EndpointState.UP) {
            return firstRun;
        }
        return allowed;
    }

    /**
     * Returns an idle server for this request, growing the subset within the own zone if necessary; null if there is
     * none.
     */
    private ServerState findIdle(long now, QueuedRequest request) {
        ServerState idle = idleServers.pollSuitable(now, request);
        if (idle == null) {
            ServerState next = subset.growInOwnZone();
            if (next != null) {
                addToRotation(now, next);
                idle = idleServers.pollSuitable(now, request);
            }
        }
        return idle;
    }

    /** Sends the request as the trial of an ejected server if a trial is due. */
    private boolean sendTrial(long now, QueuedRequest request) {
        ServerState server = outliers.pollTrial(now, request, roundRobin.isEmpty());
        if (server == null || !canAdmit(now, server)) {
            return false;
        }
        outliers.onTrialSent(server);
        sendRequest(now, request, server);
        return true;
    }

    /**
     * Returns whether a server may be sent a request now: always if it is warm, within its budget while it warms up.
     */
    private boolean canAdmit(long now, ServerState server) {
        return slowStart.isUnbounded(now, server)
                || server.inFlight < subset.windowSize()
                        && slowStart.canAdmit(now, server, subset.order(), subset.size(), classes.meanResponseTime());
    }

    /** Uses a slot that may have become free: drops requests that can't be served in time, then sends the next one. */
    private void fillFreeSlot(long now, ServerState server) {
        if (!server.inRotation || server.inFlight >= subset.windowSize()) {
            return;
        }
        for (ArrayDeque<QueuedRequest> queue : server.queues) {
            while (!queue.isEmpty() && RequestQueues.cannotFinishInTime(now, queue.peek(), server)) {
                dropRequest(now, queue.peek());
            }
        }
        QueuedRequest next = RequestQueues.selectNext(now, server);
        if (next != null) {
            if (canAdmit(now, server)) {
                queues.remove(next);
                sendRequest(now, next, server);
            }
        } else if (slowStart.capacityRatio(now, server) >= 1) {
            QueuedRequest takenOver = queues.takeOverOldest(now, server);
            if (takenOver != null) {
                sendRequest(now, takenOver, server);
            } else {
                idleServers.add(server);
            }
        }
    }

    private void dropRequest(long now, QueuedRequest request) {
        droppedSinceTick++;
        finishRequest(request, now);
    }

    private void sendRequest(long now, QueuedRequest request, ServerState server) {
        Attempt attempt = new Attempt(server, now);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        if (!request.incomplete) {
            countInFlight(attempt);
        }
        if (request.attempts.size() == 1) {
            retryBudget.onFirstAttempt();
        }
        slowStart.chargeAttempt(now, attempt);
        actions.startAttempt(request.id, server.id, Math.max(1, request.deadline - now));
    }

    @Override
    public void onAttemptWritten(long now, long id, int attempt) {
        QueuedRequest request = requests.get(id);
        if (request != null && attempt >= 0 && attempt < request.attempts.size()) {
            slowStart.settleCharge(now, request.attempts.get(attempt));
        }
    }

    private void countInFlight(Attempt attempt) {
        attempt.countsInFlight = true;
        attempt.server.inFlight++;
        inFlight++;
    }

    @Override
    public void onResponseStarted(long now, long id, int attempt) {
        QueuedRequest request = requests.get(id);
        if (request != null) {
            request.mayHaveRun = true;
            closeRequest(request);
        }
    }

    @Override
    public void onAttemptEnded(
            long now,
            long id,
            int attemptIndex,
            boolean ended,
            AttemptOutcome outcome,
            long latency,
            LoadReport report) {
        QueuedRequest request = requests.get(id);
        Attempt attempt = request == null ? null : request.runningAttempt(attemptIndex);
        if (attempt == null) {
            return;
        }
        ServerState server = attempt.server;
        endAttempt(now, request, attempt);
        if (!outcome.neverRan && !request.mayHaveRun) {
            request.mayHaveRun = true;
            request.firstRunAt = attempt.sentAt;
            request.firstRunServer = server;
        }
        // Ignores the outcome at a server that has been removed and is known only until its last request ends.
        if (servers.contains(server)) {
            learnFromOutcome(now, request, attempt, outcome, Math.max(1, latency));
        }
        if (ended || request.finished) {
            closeRequest(request);
        } else if (request.attemptsInFlight == 0) {
            retryOrFinish(now, request, outcome);
        }
        fillFreeSlot(now, server);
    }

    private void endAttempt(long now, QueuedRequest request, Attempt attempt) {
        attempt.ended = true;
        slowStart.settleCharge(now, attempt);
        request.attemptsInFlight--;
        if (attempt.countsInFlight) {
            attempt.server.inFlight--;
            inFlight--;
        }
    }

    private void learnFromOutcome(
            long now, QueuedRequest request, Attempt attempt, AttemptOutcome outcome, long latency) {
        ServerState server = attempt.server;
        if (outcome == AttemptOutcome.OK) {
            admission.onServed();
        }
        OutlierDetection.Change change = outliers.onOutcome(now, request, attempt, outcome, latency);
        if (change == OutlierDetection.Change.EJECTED) {
            removeFromRotation(now, server);
        } else if (change == OutlierDetection.Change.READMITTED && server.inSubset) {
            addToRotation(now, server);
        }
        outliers.onTrialEnded(now, server);
    }

    /**
     * Makes another attempt if idempotence, the remaining time and the retry budget allow it; else finishes the
     * request.
     */
    private void retryOrFinish(long now, QueuedRequest request, AttemptOutcome outcome) {
        if (retryBudget.trySpend(now, request, outcome)) {
            request.expiresAt = Math.max(
                    request.expiresAt, request.arrival + (long) (request.timeBudget * RequestQueues.DEADLINE_MARGIN));
            placeRequest(now, request);
        } else {
            finishRequest(request, now);
        }
    }

    @Override
    public void onClientDisconnected(long now, long id) {
        QueuedRequest request = requests.get(id);
        if (request != null) {
            closeRequest(request);
        }
    }

    /**
     * Ends the request without a server's response: with a rejection if a retry is known to be safe, else with a
     * failure.
     */
    private void finishRequest(QueuedRequest request, long now) {
        closeRequest(request);
        if (IdempotencyRules.allowsRejection(now, request)) {
            actions.reject(request.id, suggestedRetryAfter());
        } else {
            actions.fail(request.id);
        }
    }

    /** Marks the request as no longer open; it is forgotten when its last attempt ends. */
    private void closeRequest(QueuedRequest request) {
        if (!request.finished) {
            request.finished = true;
            if (!request.incomplete) {
                admission.onClosed();
            }
        }
        if (request.queued) {
            queues.remove(request);
        }
        if (request.attemptsInFlight == 0) {
            requests.remove(request.id);
        }
    }

    /** The number of entries for requests in all collections; lets tests check that requests are forgotten. */
    int openRequestCount() {
        return requests.size() + queues.entryCount();
    }

    @Override
    public int ejectedEndpoints() {
        return outliers.ejected();
    }

    @Override
    public long suggestedRetryAfter() {
        return Math.min(settings.maxRetryAfter(), (long) classes.meanResponseTime());
    }

    private void ensureStarted(long now) {
        if (started) {
            return;
        }
        started = true;
        lastTick = now;
        slowStart.startCounting(now);
        actions.setTimer(now + (long) (random.nextDouble() * TICK_INTERVAL), TICK_TIMER);
    }

    @Override
    public void onTimer(long now, String token) {
        if (token.equals(RequestQueues.EXPIRY_TIMER)) {
            queues.expire(now, expired -> dropRequest(now, expired));
        } else if (token.equals(TICK_TIMER)) {
            runTick(now);
            actions.setTimer(now + TICK_INTERVAL, TICK_TIMER);
        }
    }

    /** Updates the measured rates, schedules trials and adjusts the subset and the window. */
    private void runTick(long now) {
        double elapsed = Math.max(1, now - lastTick) / (double) SECOND_US;
        lastTick = now;
        int answered = admission.updateRates(elapsed, inFlight);
        slowStart.updateResponseRate(now, elapsed, answered, subset.order(), subset.size());
        outliers.scheduleTrials(now, subset.usedSize());
        subset.recordOutstanding(inFlight + queues.size());
        resizeSubset(now);
        subset.adjustWindow(queues.size() > 0, outliers.ejected(), roundRobin.size(), admission);
        droppedSinceTick = 0;
        // The window may have been widened, and the budget of a server that warms up recovers with time, without a
        // response.
        for (int i = 0; i < subset.usedSize(); i++) {
            fillFreeSlot(now, subset.order().get(i));
        }
    }

    /** Grows the subset beyond the own zone only if requests are queued or were dropped. */
    private void resizeSubset(long now) {
        boolean shortOfServers = queues.size() > 0 || droppedSinceTick > 0;
        if (shortOfServers && subset.canGrow(roundRobin.size(), admission.hasSpareCapacity())) {
            ServerState next = null;
            for (int left = subset.growthPerTick(); left > 0 && (next = subset.growByServer()) != null; left--) {
                addToRotation(now, next);
            }
        } else if (subset.canShrink()) {
            ServerState last = subset.shrinkByServer();
            if (last != null) {
                removeFromRotation(now, last);
            }
        }
    }
}

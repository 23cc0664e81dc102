package brackenbridge.core.balancing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The decision module: the controller of Andersson and Kihl for an application server, as one instance for each node.
 * Its interface is {@link BalancerApi}; docs/DESIGN.md says what was kept of the paper and what was changed. An
 * instance runs on one thread and knows only what its events contain. Times are in microseconds.
 *
 * <p>The mechanism, in the order in which a request meets it:
 *
 * <ol>
 *   <li>{@link RequestClasses}: token buckets of rate d lift a request to the top priority;
 *   <li>{@link AdmissionControl}: equation 1, A = tau r, bounds the open requests;
 *   <li>{@link WeightedRoundRobin}: binds the request to a server of the {@link ServerSubset};
 *   <li>{@link RequestQueues}: equations 3 and 4, the tests of tau f, drop and release queued requests;
 *   <li>{@link SlowStart}, {@link OutlierDetection}, {@link RetryBudget}: bound what goes to servers that warm up, keep
 *       failing servers out and bound the retries.
 * </ol>
 */
public final class Balancer implements BalancerApi {
    private static final long SECOND_US = 1_000_000;
    /** Time between two ticks, at which the slow decisions are made. */
    private static final long TICK_INTERVAL = SECOND_US / 4;

    private static final String TICK_TIMER = "tick";
    /** Turns of the round robin that a request looks at. */
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
    /** Queued requests given up since the last tick. */
    private int droppedSinceTick;

    private long lastTick;
    private boolean started;

    /** Starts an instance. */
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
        // Requests keep their class's rules; they are only ranked among the new levels.
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
        // All are taken out of the rotation before any request is bound anew: it could go to one that leaves as well.
        before.stream().filter(server -> !server.inSubset).forEach(roundRobin::remove);
        List<ServerState> left = queues.serversWithQueueOutsideSubset();
        for (ServerState server : subset.members()) {
            addToRotation(now, server);
        }
        left.forEach(server -> removeFromRotation(now, server));
    }

    private void addToRotation(long now, ServerState server) {
        subset.addMember(server);
        if (server.inRotation || server.ejected) {
            return;
        }
        roundRobin.add(now, server);
        fillFreeSlot(now, server);
    }

    /** The server takes no new requests; those queued for it are bound anew. */
    private void removeFromRotation(long now, ServerState server) {
        roundRobin.remove(server);
        // All are taken out first: one that a joining server takes over must not be placed again.
        queues.removeAll(server).forEach(request -> placeRequest(now, request));
    }

    @Override
    public void onRequest(long now, BalancerRequest arrived) {
        QueuedRequest request = admitRequest(now, arrived, false);
        if (request != null) {
            placeRequest(now, request);
        }
    }

    /** Bound by the round robin and sent at once: until it is complete it occupies no server. */
    @Override
    public void onStreamedRequest(long now, BalancerRequest arrived) {
        QueuedRequest request = admitRequest(now, arrived, true);
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

    /** The request, or null if it was rejected by {@link AdmissionControl#admits}. */
    private QueuedRequest admitRequest(long now, BalancerRequest arrived, boolean incomplete) {
        ensureStarted(now);
        RequestClassState requestClass = classes.require(arrived.className());
        long timeLeft = Math.max(0, arrived.timeLeft());
        // A response after the latency objective has little or no value: the objective bounds tau.
        long tau = Math.min(timeLeft, requestClass.rules.latencyObjective());
        QueuedRequest request = new QueuedRequest(arrived, requestClass, settings.maxAttempts(), now, tau, timeLeft);
        requests.put(request.id, request);
        request.incomplete = incomplete;
        if (!incomplete) {
            admission.onOpened();
        }
        admission.onArrival(now);
        request.level = classes.assignLevel(now, requestClass, arrived.tenant());
        if (!admission.admits(now, request)) {
            finishRequest(request, now);
            return null;
        }
        request.expiresAt = now + (request.level == 0 ? tau : (long) (tau * RequestQueues.DEADLINE_MARGIN));
        return request;
    }

    /** Binds a request by the round robin; a free server takes it at once, else it is queued. */
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

    /** An idle server for this request, if need be one of the own zone by which the subset grows; null if none. */
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

    /** Sends the request as the trial of an ejected server, if one is due. */
    private boolean sendTrial(long now, QueuedRequest request) {
        ServerState server = outliers.pollTrial(now, request, roundRobin.isEmpty());
        if (server == null || !canAdmit(now, server)) {
            return false;
        }
        outliers.onTrialSent(server);
        sendRequest(now, request, server);
        return true;
    }

    /** Whether a server may be sent a request now: any warm one, and one that warms up within its budget. */
    private boolean canAdmit(long now, ServerState server) {
        return slowStart.isUnbounded(now, server)
                || server.inFlight < subset.windowSize()
                        && slowStart.canAdmit(now, server, subset.order(), subset.size(), classes.meanResponseTime());
    }

    /** A server may have a free slot: drops what is hopeless, then sends the next request. */
    private void fillFreeSlot(long now, ServerState server) {
        if (!server.inRotation || server.inFlight >= subset.windowSize()) {
            return;
        }
        for (ArrayDeque<QueuedRequest> queue : server.queues) {
            while (!queue.isEmpty() && RequestQueues.isHopeless(now, queue.peek(), server)) {
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
        // Nothing is learned of a server that has left and was known only for the sake of a long request.
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
            admission.onAnswered();
        }
        OutlierDetection.Change change = outliers.onOutcome(now, request, attempt, outcome, latency);
        if (change == OutlierDetection.Change.EJECTED) {
            removeFromRotation(now, server);
        } else if (change == OutlierDetection.Change.READMITTED && server.inSubset) {
            addToRotation(now, server);
        }
        outliers.onTrialEnded(now, server);
    }

    /** Another attempt where idempotence allows it, the time suffices and the retry budget is not used up. */
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

    /** The final answer of the balancer's own: a rejection where that is true, else a failure. */
    private void finishRequest(QueuedRequest request, long now) {
        closeRequest(request);
        if (IdempotencyRules.allowsRejection(now, request)) {
            actions.reject(request.id, suggestedRetryAfter());
        } else {
            actions.fail(request.id);
        }
    }

    /** The request is no longer open; it is forgotten with its last attempt. */
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

    /** How many requests it holds, in all its collections; for tests of what it forgets. */
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

    /** Updates the measured rates, readies trials and adjusts the subset and the window. */
    private void runTick(long now) {
        double elapsed = Math.max(1, now - lastTick) / (double) SECOND_US;
        lastTick = now;
        int answered = admission.updateRates(elapsed, inFlight);
        slowStart.updateAnswerRate(now, elapsed, answered, subset.order(), subset.size());
        outliers.scheduleTrials(now, subset.usedSize());
        subset.recordOutstanding(inFlight + queues.size());
        resizeSubset(now);
        subset.adjustWindow(queues.size() > 0, outliers.ejected(), roundRobin.size(), admission);
        droppedSinceTick = 0;
        // The window may be wider; and the budget of a server that warms up comes back with time, without an answer.
        for (int i = 0; i < subset.usedSize(); i++) {
            fillFreeSlot(now, subset.order().get(i));
        }
    }

    /** The subset grows past the own zone only when requests had to wait there or were dropped. */
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

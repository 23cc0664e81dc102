package brackenbridge.core.balancing;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * Passive health checks: evaluates the outcomes of attempts, ejects servers that are outliers, for longer each time,
 * and readmits each after a successful trial with one request. At most half of the servers are ejected.
 */
final class OutlierDetection {
    private static final long SECOND_US = 1_000_000;
    /** Weight of the newest outcome in a server's moving averages. */
    private static final double SERVER_GAIN = 0.3;
    /** Weight of the newest outcome in a class's error ratio. */
    private static final double CLASS_ERROR_GAIN = SERVER_GAIN / 10;
    /** Weight of the newest response in a class's response time. */
    private static final double CLASS_TIME_GAIN = 0.02;
    /** Error ratio of a server above which an error ejects it. */
    private static final double OUTLIER_ERROR_RATIO = 0.6;
    /** Error ratio of a server above which a broken connection ejects it; reached by the second one in a row. */
    private static final double OUTLIER_RESET_RATIO = 0.4;
    /** Error ratio of a server below which its ejections are forgotten. */
    private static final double RECOVERED_ERROR_RATIO = 0.1;
    /** Error ratio of a class up to which each error is attributed to the server. */
    private static final double CLASS_ERROR_RATIO = 0.2;
    /**
     * A server may drop a request with less time left than this, in microseconds; such an outcome says nothing about
     * it.
     */
    private static final long MIN_INFORMATIVE_TIME = SECOND_US / 40;
    /** Ejection time of the first ejection, in microseconds, on average; it doubles with each further one. */
    private static final long BASE_EJECTION_TIME = SECOND_US / 2;

    private static final int MAX_EJECTION_DOUBLINGS = 4;
    /** Ejection time of a server that rejected a request for lack of capacity, in microseconds, on average. */
    private static final long FULL_EJECTION_TIME = SECOND_US / 10;
    /**
     * Time for which a class avoids a server after an error, in microseconds, on average; it doubles with each further
     * one.
     */
    private static final long BASE_AVOIDANCE_TIME = SECOND_US;

    private static final int MAX_AVOIDANCE_DOUBLINGS = 3;
    /** Time after the end of an ejection from which any request may be the trial, in microseconds. */
    private static final long MAX_TRIAL_DELAY = SECOND_US;

    /** How an outcome changed the state of its server. */
    enum Change {
        /** Nothing. */
        NONE,
        /** It was ejected: its queued requests have to be bound to other servers. */
        EJECTED,
        /** It was readmitted. */
        READMITTED
    }

    private final RequestClasses classes;
    private final ServerOrder order;
    private final SplittableRandom random;
    /** The ejected servers whose ejection time is over and that are due for a trial. */
    private final ArrayDeque<ServerState> trials = new ArrayDeque<>();

    private int ejected;

    OutlierDetection(RequestClasses classes, ServerOrder order, SplittableRandom random) {
        this.classes = classes;
        this.order = order;
        this.random = random;
    }

    /** The number of ejected servers. */
    int ejected() {
        return ejected;
    }

    /** Returns whether the request may be sent to the server and its class is not avoiding the server after errors. */
    static boolean isSuitable(long now, QueuedRequest request, ServerState server) {
        return now >= server.health(request.requestClass).avoidedUntil
                && IdempotencyRules.allowsAttempt(now, request, server);
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param latency microseconds since the attempt was started, at least 1
     */
    Change onOutcome(long now, QueuedRequest request, Attempt attempt, AttemptOutcome outcome, long latency) {
        boolean noResponse = outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.RESET;
        if (noResponse && request.deadline - attempt.sentAt < MIN_INFORMATIVE_TIME) {
            return Change.NONE;
        }
        ServerState server = attempt.server;
        RequestClassState requestClass = request.requestClass;
        boolean failed = outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.RESET;
        server.errorRatio += SERVER_GAIN * ((failed ? 1 : 0) - server.errorRatio);
        requestClass.errorRatio +=
                CLASS_ERROR_GAIN * ((outcome == AttemptOutcome.ERROR ? 1 : 0) - requestClass.errorRatio);
        if (outcome == AttemptOutcome.ERROR) {
            avoidForClass(now, requestClass, server.health(requestClass));
        }
        if (outcome == AttemptOutcome.OK) {
            return onSuccess(server, requestClass, latency);
        }
        if (outcome == AttemptOutcome.FULL) {
            // Keeps further requests from a server that has no capacity left.
            return eject(now, server, FULL_EJECTION_TIME);
        }
        if (failed
                && server.errorRatio > (outcome == AttemptOutcome.RESET ? OUTLIER_RESET_RATIO : OUTLIER_ERROR_RATIO)) {
            // A server that fails fast frees its slots fast and would attract more and more requests. One broken
            // connection may be a network fault; two in a row are attributed to the server.
            server.errorRatio = SERVER_GAIN;
            return ejectForLonger(now, server);
        }
        if (outcome == AttemptOutcome.CONNECT_FAILED
                || outcome == AttemptOutcome.TIMEOUT && latency >= requestClass.meanTime + requestClass.timeDeviation) {
            // The timeout of a request that arrived with less time than a response usually takes says nothing about the
            // server.
            return ejectForLonger(now, server);
        }
        return Change.NONE;
    }

    /** Makes the class avoid the server for a while. Where all servers fail the class, a single error doesn't count. */
    private void avoidForClass(long now, RequestClassState requestClass, EndpointHealth health) {
        if (++health.consecutiveErrors > (requestClass.errorRatio < CLASS_ERROR_RATIO ? 0 : 1)) {
            long avoidance = BASE_AVOIDANCE_TIME << Math.min(health.consecutiveErrors - 1, MAX_AVOIDANCE_DOUBLINGS);
            health.avoidedUntil = now + avoidance / 2 + (long) (random.nextDouble() * avoidance);
        }
    }

    private Change onSuccess(ServerState server, RequestClassState requestClass, long latency) {
        requestClass.timeDeviation +=
                CLASS_TIME_GAIN * (Math.abs(latency - requestClass.meanTime) - requestClass.timeDeviation);
        requestClass.meanTime = requestClass.meanTime == 0
                ? latency
                : requestClass.meanTime + CLASS_TIME_GAIN * (latency - requestClass.meanTime);
        server.measuredTime = server.measuredTime == 0
                ? latency
                : server.measuredTime + SERVER_GAIN * (latency - server.measuredTime);
        server.relativeTime += SERVER_GAIN * (latency / requestClass.meanTime - server.relativeTime);
        requestClass.responseCount++;
        // The count is reset only at a low error ratio, so that a server that fails part of its requests is ejected for
        // longer each time.
        server.consecutiveEjections = server.errorRatio < RECOVERED_ERROR_RATIO ? 0 : server.consecutiveEjections;
        server.health(requestClass).consecutiveErrors = 0;
        if (!server.ejected) {
            return Change.NONE;
        }
        readmit(server);
        return Change.READMITTED;
    }

    private Change ejectForLonger(long now, ServerState server) {
        if (server.ejected && server.ejectedUntil < Long.MAX_VALUE) {
            // Guards against counting one failure once per request that was in flight to the server.
            return Change.NONE;
        }
        server.consecutiveEjections++;
        return eject(
                now, server, BASE_EJECTION_TIME << Math.min(server.consecutiveEjections - 1, MAX_EJECTION_DOUBLINGS));
    }

    private Change eject(long now, ServerState server, long ejectionTime) {
        if (!server.ejected && ejected * 2 >= order.size()) {
            return Change.NONE;
        }
        if (!server.ejected) {
            server.ejected = true;
            ejected++;
        }
        server.ejectedUntil = now + ejectionTime / 2 + (long) (random.nextDouble() * ejectionTime);
        return Change.EJECTED;
    }

    /** Readmits a server if it is ejected. */
    void readmit(ServerState server) {
        if (server.ejected) {
            server.ejected = false;
            ejected--;
            trials.remove(server);
        }
    }

    /** Schedules a trial of each ejected server of the subset whose ejection time is over. */
    void scheduleTrials(long now, int subsetSize) {
        for (int i = 0; i < subsetSize; i++) {
            ServerState server = order.get(i);
            if (server.ejected
                    && server.inFlight == 0
                    && server.ejectedUntil <= now
                    && server.inSubset
                    && !trials.contains(server)) {
                trials.add(server);
            }
        }
    }

    /**
     * Removes and returns the server that this request is to be sent to as a trial; null if there is none. Its next
     * trial has to be scheduled again, whether this one is sent or not. The request has to be idempotent and of lower
     * urgency, unless there are no such requests or no other servers, since some request has to be the trial.
     */
    ServerState pollTrial(long now, QueuedRequest request, boolean noOtherServers) {
        if (trials.isEmpty()) {
            return null;
        }
        boolean anyRequestQualifies = noOtherServers || now >= trials.peek().ejectedUntil + MAX_TRIAL_DELAY;
        boolean repeatUnsafe =
                classes.anyIdempotent() && request.requestClass.rules.idempotence() != Idempotence.IDEMPOTENT;
        if (!anyRequestQualifies && (repeatUnsafe || request.level == 0 && classes.levels() > 1)) {
            return null;
        }
        ServerState server = trials.poll();
        boolean ready = server.endpoint.state() == EndpointState.UP && server.ejected && server.inFlight == 0;
        return ready && IdempotencyRules.allowsAttempt(now, request, server) ? server : null;
    }

    /** Records that the trial of a server is being sent. */
    void onTrialSent(ServerState server) {
        server.ejectedUntil = Long.MAX_VALUE;
    }

    /**
     * Permits another trial of a server whose trial had no result; without it the server would stay ejected forever.
     */
    void onTrialEnded(long now, ServerState server) {
        if (server.ejected && server.ejectedUntil == Long.MAX_VALUE) {
            server.ejectedUntil = now;
        }
    }
}

package brackenbridge.core;

import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.RequestClass;

/** A client request that has no final answer yet, or still has an attempt in flight. Times are in milliseconds. */
final class OpenRequest {
    final long id;
    final String className;
    /** Its class by the settings under which it was received. */
    final RequestClass rules;
    /** The number of attempts allowed by the settings under which it was received. */
    final int maxAttempts;

    final Object message;
    /** Its tenant; null if none. */
    final String tenant;

    final boolean clientRetry;
    /** How long its client waits, from the request's last byte on. */
    final double timeoutMs;
    /** It may have waited this long before the node could see it. */
    final double maxUnseenWaitMs;
    /** The balancer knows of it: it does not wait for its tenant's admission. */
    boolean started;
    /** Infinite until its last byte has been received. */
    double deadlineMs;
    /** Part of its body is not buffered any more, so it is not replayable. */
    boolean bodyReleased;

    int attemptCount;
    /** The attempt in flight; null if there is none. */
    Attempt attempt;
    /** It has its final answer, or its client has disconnected. */
    boolean ended;
    /** Its last attempt timed out. */
    boolean timedOut;

    boolean mayHaveRun;
    /** When the first attempt that may have run was sent. */
    double firstRunMs;

    OpenRequest(
            long id, ClientRequest request, RequestClass rules, int maxAttempts, double timeoutMs, double deadlineMs) {
        this.id = id;
        this.className = request.className();
        this.rules = rules;
        this.maxAttempts = maxAttempts;
        this.message = request.message();
        this.tenant = request.tenant();
        this.clientRetry = request.clientRetry();
        this.timeoutMs = timeoutMs;
        this.maxUnseenWaitMs = request.maxBacklogWaitMs();
        this.deadlineMs = deadlineMs;
    }

    /** Whether its last byte has been received. */
    boolean isComplete() {
        return deadlineMs < Double.POSITIVE_INFINITY;
    }

    /** Its deadline if its last byte has been received, else the deadline that it would have if that came now. */
    double expectedDeadlineMs(double nowMs) {
        return isComplete() ? deadlineMs : nowMs + timeoutMs;
    }

    /**
     * Until when this attempt may begin. The first one may use time that its client perhaps spent unseen, since the
     * client may not have waited at all; a further one must not outlast a client that has waited that long.
     */
    double attemptDeadlineMs(int number) {
        return number == 0 ? deadlineMs : deadlineMs - maxUnseenWaitMs;
    }

    /** Whether servers may have forgotten that they ran it by the time another attempt reaches them. */
    boolean isIdempotencyKeyExpired(double nowMs) {
        return mayHaveRun
                && rules.idempotence() == Idempotence.IDEMPOTENCY_KEY
                && nowMs >= firstRunMs + Microseconds.toMs(rules.idempotencyKeyTtl()) - Attempt.MAX_STALL_MS;
    }

    /** The local reply if it ends without a response: a rejection only if no attempt of it may have run. */
    Effect.LocalReply failureReply(Effect.LocalReply ifMayHaveRun) {
        return mayHaveRun ? ifMayHaveRun : Effect.LocalReply.REJECTED;
    }
}

package brackenbridge.core;

import brackenbridge.core.balancing.Idempotence;
import brackenbridge.core.balancing.RequestClass;

/** A client request that has no final response yet, or still has an attempt in flight. Times are in milliseconds. */
final class OpenRequest {
    final long id;
    final String className;
    /** Its request class, by the settings in force when it was received. */
    final RequestClass requestClass;
    /** The maximum number of attempts, by the settings in force when it was received. */
    final int maxAttempts;

    final Object message;
    /** Its tenant; null if none. */
    final String tenant;

    final boolean clientRetry;
    /** How long the node may take from the request's last byte on: the client's timeout less a margin. */
    final double timeoutMs;
    /** The longest that it may have waited in the backlog before the node read it. */
    final double maxBacklogWaitMs;
    /** It was passed to the balancer; until then it waits for its tenant's quota. */
    boolean dispatched;
    /** Until then it waits for an attempt at the longest, even while its body is incomplete. */
    final double waitDeadlineMs;
    /** Infinite while its last byte can't have been sent. */
    double deadlineMs;
    /** Its last byte has been received. */
    private boolean complete;
    /** Part of its body is not buffered any more, so it can't be replayed. */
    boolean bodyReleased;

    int attemptCount;
    /** The attempt in flight; null if there is none. */
    Attempt attempt;
    /** It has its final response, or its client has disconnected. */
    boolean ended;
    /** Its last attempt timed out. */
    boolean timedOut;

    boolean mayHaveRun;
    /** When the first attempt that may have run was sent. */
    double firstRunMs;

    OpenRequest(
            long id,
            ClientRequest request,
            RequestClass requestClass,
            int maxAttempts,
            double timeoutMs,
            double receivedMs) {
        this.id = id;
        this.className = request.className();
        this.requestClass = requestClass;
        this.maxAttempts = maxAttempts;
        this.message = request.message();
        this.tenant = request.tenant();
        this.clientRetry = request.clientRetry();
        this.timeoutMs = timeoutMs;
        this.maxBacklogWaitMs = request.maxBacklogWaitMs();
        this.complete = request.complete();
        this.waitDeadlineMs = receivedMs + timeoutMs;
        this.deadlineMs = complete ? waitDeadlineMs : Double.POSITIVE_INFINITY;
    }

    /** Whether its last byte has been received. */
    boolean isComplete() {
        return complete;
    }

    /** Sets the earliest time at which the last byte may have been sent; infinite if it can't have been sent yet. */
    void setLastByteBound(double earliestMs) {
        deadlineMs = earliestMs + timeoutMs;
    }

    /** Its last byte is received now; it may have been sent earlier. */
    void complete(double nowMs) {
        deadlineMs = expectedDeadlineMs(nowMs);
        complete = true;
    }

    /** Its deadline; without one, the deadline that it would have if its last byte arrived now. */
    double expectedDeadlineMs(double nowMs) {
        return Math.min(deadlineMs, nowMs + timeoutMs);
    }

    /** When it has to be answered, whatever happens; infinite if that is not known yet. */
    double dueMs() {
        boolean waiting = !complete && attempt == null;
        return waiting ? Math.min(deadlineMs, waitDeadlineMs) : deadlineMs;
    }

    /**
     * The latest start of this attempt. The first attempt ignores a possible wait in the backlog, since the request may
     * not have waited at all; a retry must not outlast a client that has waited as long as possible.
     */
    double attemptDeadlineMs(int number) {
        return number == 0 ? deadlineMs : deadlineMs - maxBacklogWaitMs;
    }

    /** Whether an attempt may have run, or may be running. */
    boolean mayRunNow() {
        return mayHaveRun || attempt != null && attempt.written;
    }

    /** Whether its idempotency key may have expired at the servers by the time another attempt reaches them. */
    boolean isIdempotencyKeyExpired(double nowMs) {
        return mayHaveRun
                && requestClass.idempotence() == Idempotence.IDEMPOTENCY_KEY
                && nowMs >= firstRunMs + Microseconds.toMs(requestClass.idempotencyKeyTtl()) - Attempt.MAX_STALL_MS;
    }

    /** The local reply if it ends without a response: a rejection only if no attempt may have run. */
    Effect.LocalReply failureReply(Effect.LocalReply ifMayHaveRun) {
        return mayHaveRun ? ifMayHaveRun : Effect.LocalReply.REJECTED;
    }
}

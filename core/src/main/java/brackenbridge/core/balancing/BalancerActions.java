package brackenbridge.core.balancing;

/** What an instance can do. */
public interface BalancerActions {
    /** Begins the request's next attempt, counted from 0; the attempt is given the timeout named. */
    void startAttempt(long request, long endpoint, long timeout);

    /** Final answer: rejected, a retry does no harm; retryAfter 0 gives no guidance. */
    void reject(long request, long retryAfter);

    /** Final answer: failed, with no promise about its effect. */
    void fail(long request);

    /** Asks for {@link #onTimer} at the given time or soon after. */
    void setTimer(long at, String token);

    /** Examines an endpoint, at some cost to it. */
    void startHealthCheck(long endpoint);

    /**
     * Whether {@link BalancerApi#onAttemptWritten} follows each send whose request is written; else a request counts as
     * written when it is sent.
     */
    default boolean reportsWritten() {
        return false;
    }
}

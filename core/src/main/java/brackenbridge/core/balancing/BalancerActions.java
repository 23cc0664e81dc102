package brackenbridge.core.balancing;

/** The actions of a {@link Balancer}, which its caller carries out. */
public interface BalancerActions {
    /** Starts the request's next attempt, with this timeout; attempts are numbered from 0. */
    void startAttempt(long request, long endpoint, long timeout);

    /** Ends the request with a rejection: a retry is safe. A retryAfter of 0 gives no guidance. */
    void reject(long request, long retryAfter);

    /** Ends the request with a failure: whether it took effect is unknown. */
    void fail(long request);

    /** Schedules a call of {@link BalancerApi#onTimer} at the given time or soon after. */
    void setTimer(long at, String token);

    /** Starts a health check of an endpoint, which costs the endpoint some work. */
    void startHealthCheck(long endpoint);

    /**
     * Whether {@link BalancerApi#onAttemptWritten} is called for each attempt once its request is written; otherwise a
     * request counts as written when the attempt starts.
     */
    default boolean reportsWritten() {
        return false;
    }
}

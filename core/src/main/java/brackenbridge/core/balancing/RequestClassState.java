package brackenbridge.core.balancing;

/** A request class with its measurements; times are in microseconds. */
final class RequestClassState {
    final RequestClass rules;
    /** Priority level; 0 is the most urgent. */
    int level;
    /** Priority level of a request beyond its tenant's quota. */
    int overShareLevel;
    /** Moving average of the response time; 0 before the first response. */
    double meanTime;
    /** Moving average of the absolute deviation of the response time from its mean. */
    double timeDeviation;
    /** Recent minimum of the mean response time; 0 until enough responses have been received. */
    double bestMeanTime;

    /** Successful responses so far. */
    long responseCount;
    /** Moving average of the error ratio over the outcomes at all servers. */
    double errorRatio;

    private RequestClassState(RequestClass rules) {
        this.rules = rules;
    }

    /**
     * Returns the state of a class under these rules, with the measurements of {@code before}; {@code before} itself if
     * the rules are equal.
     */
    static RequestClassState of(RequestClass rules, RequestClassState before) {
        if (before != null && before.rules.equals(rules)) {
            return before;
        }
        RequestClassState state = new RequestClassState(rules);
        if (before != null) {
            state.meanTime = before.meanTime;
            state.timeDeviation = before.timeDeviation;
            state.bestMeanTime = before.bestMeanTime;
            state.responseCount = before.responseCount;
            state.errorRatio = before.errorRatio;
        }
        return state;
    }
}

package brackenbridge.core.balancing;

/**
 * Admission control of Andersson and Kihl, equation 1: an arrival is rejected when more than A = tau r requests are
 * open, where r is the recent rate of responses ({@link #admissibleOpenRequests}). More open requests could not be
 * answered within their time.
 */
final class AdmissionControl {
    private static final double MICROSECONDS_PER_SECOND = 1_000_000;
    /** How long after the first request {@link #OPENING_FLOOR} holds, in microseconds. */
    private static final long OPENING_DURATION = 1_000_000;
    /** Open requests that are admitted in the opening phase whatever the rate of responses. */
    private static final int OPENING_FLOOR = 8;
    /**
     * Open requests that are admitted at any time whatever the rate of responses. Kept small, since many instances that
     * each use a larger floor would overload a fleet that has slowed down.
     */
    private static final int OPEN_FLOOR = 2;
    /** The fraction of the longest tolerable wait that the most urgent level may use. */
    private static final double MAX_WAIT_FRACTION = 0.75;
    /** The relative reduction of that fraction for the least urgent level. */
    private static final double LEVEL_WAIT_REDUCTION = 0.8;
    /**
     * Factor by which tiers above 0 admit more: the work that other tiers have done for a request is lost when it is
     * rejected here.
     */
    private static final double LOWER_TIER_FACTOR = 1.5;
    /** Responses of a class after which its mean response time is used. */
    private static final int MIN_RESPONSES = 30;
    /** Ratio of the response times to the best ones below which the servers have spare capacity. */
    private static final double SPARE_CAPACITY_CONGESTION = 2;
    /** Growth of the best mean response time per tick, so that an outdated best value fades within minutes. */
    private static final double BEST_TIME_RISE_PER_TICK = 1.001;

    private final RequestClasses classes;
    private BalancerSettings settings;
    private int openRequests;
    private int answeredSinceTick;
    private double answeredPerSecond;
    private double ratePerSecond;
    /** Whether any request was open or in flight since the last tick. */
    private boolean hadRequestsSinceTick;

    private double congestion = 1;
    private boolean congestionMeasured;
    /** When the first request arrived, in microseconds; a node may have been ready long before that. */
    private long firstRequestAt = Long.MIN_VALUE;

    AdmissionControl(RequestClasses classes) {
        this.classes = classes;
    }

    /** Applies new settings. */
    void applySettings(BalancerSettings next) {
        settings = next;
    }

    /** Records an arrival. The opening phase, in which no response rate is known yet, begins with the first one. */
    void onArrival(long now) {
        firstRequestAt = firstRequestAt == Long.MIN_VALUE ? now : firstRequestAt;
    }

    /** Records that a complete request is open from now on. */
    void onOpened() {
        openRequests++;
        hadRequestsSinceTick = true;
    }

    /** Records that a complete request is no longer open. */
    void onClosed() {
        openRequests--;
    }

    /** Records that a request was served. */
    void onServed() {
        answeredSinceTick++;
    }

    /** Returns whether this request, which is already counted as open, is admitted. */
    boolean admits(long now, QueuedRequest request) {
        return openRequests <= admissibleOpenRequests(now, request);
    }

    /**
     * A = tau r, the number of requests that may be open (equation 1). Here tau is the time that an open request may
     * take: the best mean response time plus the longest wait that this request and all that are at least as urgent can
     * tolerate, so that requests that can wait long don't crowd out a class with a short latency objective. The less
     * urgent a request, the smaller the fraction of that wait. While the servers respond nearly at their best they
     * could serve more than the measured rate, which lags, so A is raised.
     */
    private double admissibleOpenRequests(long now, QueuedRequest request) {
        int levels = classes.levels();
        double fraction =
                MAX_WAIT_FRACTION * (levels == 1 ? 1 : 1 - LEVEL_WAIT_REDUCTION * request.level / (levels - 1));
        double floor = now - firstRequestAt < OPENING_DURATION ? OPENING_FLOOR : OPEN_FLOOR;
        double wait = request.timeBudget * RequestQueues.DEADLINE_MARGIN - request.requestClass.bestMeanTime;
        double bestTimeSum = 0;
        double responses = 1;
        for (RequestClassState requestClass : classes.all()) {
            wait = requestClass.level <= request.level
                    ? Math.min(
                            wait,
                            requestClass.rules.latencyObjective() * RequestQueues.DEADLINE_MARGIN
                                    - requestClass.bestMeanTime)
                    : wait;
            bestTimeSum += requestClass.bestMeanTime * requestClass.responseCount;
            responses += requestClass.responseCount;
        }
        double tau = bestTimeSum / responses + fraction * Math.max(0, wait);
        tau *= settings.tier() > 0 ? LOWER_TIER_FACTOR : 1;
        return Math.min(
                settings.maxOpenRequests(),
                floor
                        + tau
                                * ratePerSecond
                                / MICROSECONDS_PER_SECOND
                                * Math.max(1, Math.pow(SPARE_CAPACITY_CONGESTION / congestion, 2)));
    }

    /**
     * Updates the rate of responses r and the congestion.
     *
     * @param elapsed seconds since the last tick
     * @param inFlight attempts that are in flight now
     * @return the number of requests that were served since the last tick
     */
    int updateRates(double elapsed, int inFlight) {
        int answered = answeredSinceTick;
        measureRate(elapsed, answered, inFlight);
        answeredSinceTick = 0;
        classes.updateGuaranteedRate(answeredPerSecond);
        updateCongestion();
        return answered;
    }

    private void updateCongestion() {
        double sum = 0;
        int measured = 0;
        for (RequestClassState requestClass : classes.all()) {
            if (requestClass.responseCount >= MIN_RESPONSES) {
                requestClass.bestMeanTime = requestClass.bestMeanTime == 0
                        ? requestClass.meanTime
                        : Math.min(requestClass.bestMeanTime * BEST_TIME_RISE_PER_TICK, requestClass.meanTime);
                sum += requestClass.meanTime / requestClass.bestMeanTime;
                measured++;
            }
        }
        congestionMeasured = measured > 0;
        congestion = measured == 0 ? 1 : sum / measured;
    }

    /**
     * Returns whether the servers respond nearly at their best, so that they could take more requests; also true before
     * anything is measured.
     */
    boolean hasSpareCapacity() {
        return congestion < SPARE_CAPACITY_CONGESTION;
    }

    /** Returns whether at least one class has enough responses for its response time to be used. */
    boolean isCongestionMeasured() {
        return congestionMeasured;
    }

    /**
     * Updates the rate only while there are requests to serve, since an idle period says nothing about what the servers
     * can do. Otherwise the rate would decay to zero, and most of a following burst would be rejected although the
     * servers are idle.
     */
    private void measureRate(double elapsed, int answered, int inFlight) {
        if (hadRequestsSinceTick || answered > 0) {
            answeredPerSecond += Math.min(1, elapsed) * (answered / elapsed - answeredPerSecond);
            ratePerSecond = Math.max(answeredPerSecond, answered / elapsed);
        }
        hadRequestsSinceTick = openRequests > 0 || inFlight > 0;
    }
}

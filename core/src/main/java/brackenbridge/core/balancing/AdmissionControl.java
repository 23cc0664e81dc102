package brackenbridge.core.balancing;

/**
 * Admission control of Andersson and Kihl, equation 1: an arrival is rejected when more than A = tau r requests are
 * open, where r is the recent rate of answers ({@link #admissible}). More open requests could not be answered in time.
 */
final class AdmissionControl {
    private static final double MICROSECONDS_PER_SECOND = 1_000_000;
    /** How long after the first request {@link #OPENING_FLOOR} holds, in microseconds. */
    private static final long OPENING_DURATION = 1_000_000;
    /** Open requests that are admitted in the opening whatever the rate of answers. */
    private static final int OPENING_FLOOR = 8;
    /**
     * Open requests that are admitted whatever the rate of responses; many instances at this floor overload a slowed
     * fleet.
     */
    private static final int OPEN_FLOOR = 2;
    /** The part of the bearable wait that the most urgent level may use. */
    private static final double MAX_WAIT_FRACTION = 0.75;
    /** How much of that part the least urgent level lacks. */
    private static final double LEVEL_WAIT_REDUCTION = 0.8;
    /** How many more requests a lower tier admits: what it rejects has cost the tiers above it already. */
    private static final double LOWER_TIER_FACTOR = 1.5;
    /** Responses of a class after which its mean response time is used. */
    private static final int MIN_RESPONSES = 30;
    /** Response times over their best, below which the servers have spare capacity. */
    private static final double SPARE_CAPACITY_CONGESTION = 2;
    /** Rise of the best mean response time in each tick, so that an old best fades within minutes. */
    private static final double BEST_TIME_RISE_PER_TICK = 1.001;

    private final RequestClasses classes;
    private BalancerSettings settings;
    private int openRequests;
    private int answeredSinceTick;
    private double answeredPerSecond;
    private double ratePerSecond;
    /** Whether a request was there to be answered at any time since the last tick. */
    private boolean hadRequestsSinceTick;

    private double congestion = 1;
    private boolean congestionMeasured;
    /** When the first request came, in microseconds; a node may be ready for long before. */
    private long firstRequestAt = Long.MIN_VALUE;

    AdmissionControl(RequestClasses classes) {
        this.classes = classes;
    }

    /** Takes over other settings. */
    void applySettings(BalancerSettings next) {
        settings = next;
    }

    /** A request has arrived. The opening begins with the first one, while no rate is known yet. */
    void onArrival(long now) {
        firstRequestAt = firstRequestAt == Long.MIN_VALUE ? now : firstRequestAt;
    }

    /** A complete request is open from now on. */
    void onOpened() {
        openRequests++;
        hadRequestsSinceTick = true;
    }

    /** A complete request is no longer open. */
    void onClosed() {
        openRequests--;
    }

    /** A request was served. */
    void onAnswered() {
        answeredSinceTick++;
    }

    /** Whether this request, which counts among the open ones, is admitted. */
    boolean admits(long now, QueuedRequest request) {
        return openRequests <= admissibleOpenRequests(now, request);
    }

    /**
     * A = tau r, the number of requests that may be open (equation 1). Here tau is the time that an open request may
     * take: a usual one at its best, and the wait that this request and all that are at least as urgent can bear; so a
     * class with a short latency objective isn't kept out by requests that can wait long. The less urgent a request,
     * the smaller the part of that wait. While the servers answer near their best they could do more, so A exceeds
     * what the lagging rate gives.
     */
    private double admissibleOpenRequests(long now, QueuedRequest request) {
        int levels = classes.levels();
        double part = MAX_WAIT_FRACTION * (levels == 1 ? 1 : 1 - LEVEL_WAIT_REDUCTION * request.level / (levels - 1));
        double floor = now - firstRequestAt < OPENING_DURATION ? OPENING_FLOOR : OPEN_FLOOR;
        double wait = request.timeBudget * RequestQueues.DEADLINE_MARGIN - request.requestClass.bestMeanTime;
        double best = 0;
        double answerCount = 1;
        for (RequestClassState requestClass : classes.all()) {
            wait = requestClass.level <= request.level
                    ? Math.min(
                            wait,
                            requestClass.rules.latencyObjective() * RequestQueues.DEADLINE_MARGIN
                                    - requestClass.bestMeanTime)
                    : wait;
            best += requestClass.bestMeanTime * requestClass.responseCount;
            answerCount += requestClass.responseCount;
        }
        double tau = best / answerCount + part * Math.max(0, wait);
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
     * Updates the rate of answers r and the congestion.
     *
     * @param elapsed seconds since the last tick
     * @param inFlight attempts that are out now
     * @return how many requests were answered since the last tick
     */
    int updateRates(double elapsed, int inFlight) {
        int counted = answeredSinceTick;
        measureRate(elapsed, counted, inFlight);
        answeredSinceTick = 0;
        classes.updateGuaranteedRate(answeredPerSecond);
        updateCongestion();
        return counted;
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

    /** Whether the servers answer so near their best that they could take more; so too before anything is measured. */
    boolean hasSpareCapacity() {
        return congestion < SPARE_CAPACITY_CONGESTION;
    }

    /** Whether the response times of some class are known well enough. */
    boolean isCongestionMeasured() {
        return congestionMeasured;
    }

    /**
     * What the servers can answer shows only while there is something to answer: an idle time leaves the rate as it
     * was. It would fade to nothing otherwise, and most of a burst that follows would be rejected before idle servers.
     */
    private void measureRate(double elapsed, int counted, int inFlight) {
        if (hadRequestsSinceTick || counted > 0) {
            answeredPerSecond += Math.min(1, elapsed) * (counted / elapsed - answeredPerSecond);
            ratePerSecond = Math.max(answeredPerSecond, counted / elapsed);
        }
        hadRequestsSinceTick = openRequests > 0 || inFlight > 0;
    }
}

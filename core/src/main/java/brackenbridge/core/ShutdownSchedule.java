package brackenbridge.core;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.RequestClass;

/**
 * The times of a stopping node's steps, in milliseconds after the stop was requested. The platform kills a node {@link
 * #KILL_AFTER_DEADLINE_MS} after the longest deadline, so all times are bounded by counting back from there.
 *
 * @param stopAcceptingMs until then new connections are accepted
 * @param closeIdleMs from then on a replaced node closes idle connections
 * @param stopServingMs until then open connections are served as usual
 * @param answerAllMs requests that are still open then are answered
 * @param exitMs requests that are still incomplete then are rejected; the process exits {@link #EXIT_LINGER_MS} later
 *     at the latest
 */
public record ShutdownSchedule(
        double stopAcceptingMs, double closeIdleMs, double stopServingMs, double answerAllMs, double exitMs) {
    /** How long the process waits before it exits, so that clients can read the final responses. */
    public static final long EXIT_LINGER_MS = 100;

    /** The platform caps each deadline at this. */
    static final double MAX_COUNTED_DEADLINE_MS = 3000;
    /** The platform kills a stopping node this long after the longest deadline at the earliest. */
    static final double KILL_AFTER_DEADLINE_MS = 700;
    /** Allowance for the signal's delivery, the last log lines and the exit itself. */
    static final double EXIT_SLACK_MS = 140;
    /** Time for sending the final responses before connections with an incomplete request are closed. */
    static final double FINAL_RESPONSES_MS = 30;
    /** How long new connections are accepted: the front end opens more until it notices the stop, after up to 0.4 s. */
    static final double ACCEPT_MS = 500;
    /**
     * How long a replaced node accepts handshakes that have begun: a lost SYN-ACK is retransmitted after one second.
     */
    static final double REPLACED_ACCEPT_MS = 1400;
    /** How long the clients that were accepted last have to send a request. */
    static final double FIRST_REQUEST_MS = 100;
    /** Lower bound of {@link #FIRST_REQUEST_MS} where deadlines are short. */
    static final double MIN_FIRST_REQUEST_MS = 25;
    /**
     * How long open connections are served if the longest deadline is {@link #MAX_COUNTED_DEADLINE_MS}; the time is
     * proportional to the deadline.
     */
    static final double SERVE_MS = 3100;
    /** How long the last requests may take, unless half of the longest deadline is less. */
    static final double LAST_REQUEST_TIMEOUT_MS = 300;
    /** A drained or replaced node answers all open requests this long after the longest deadline. */
    static final double ANSWER_AFTER_DEADLINE_MS = 400;
    /** How long a replaced node announces the close with its responses before it closes idle connections. */
    static final double REPLACED_CLOSE_IDLE_MS = 1000;
    /** From then on a replaced node exits as soon as no request is open. */
    static final double REPLACED_SERVE_MS = 1500;

    /** The kinds of shutdown, by what happens to the node's clients. */
    enum ShutdownKind {
        /** A planned restart: no process replaces the node until it is back. */
        RESTARTED,
        /** The operators have drained the node before. */
        DRAINED,
        /** Another process of the same node already serves. */
        REPLACED
    }

    /** The schedule of a node with this longest deadline. */
    static ShutdownSchedule of(ShutdownKind kind, double longestDeadlineMs) {
        double countedDeadlineMs = Math.min(longestDeadlineMs, MAX_COUNTED_DEADLINE_MS);
        double firstRequestEndMs = ACCEPT_MS + FIRST_REQUEST_MS;
        double afterDeadlineMs = Math.max(ACCEPT_MS, countedDeadlineMs) + ANSWER_AFTER_DEADLINE_MS;
        return switch (kind) {
            // Guards against clients without any node: the front end opens no new connections to a stopping node, but
            // open ones stay in use, whether the node has no peer or its peer is restarting for the same release. Late
            // requests have little time left: some of them fail, but not all.
            case RESTARTED -> {
                double stopServingMs =
                        Math.max(firstRequestEndMs, countedDeadlineMs * SERVE_MS / MAX_COUNTED_DEADLINE_MS);
                yield bounded(countedDeadlineMs, ACCEPT_MS, stopServingMs, stopServingMs + LAST_REQUEST_TIMEOUT_MS);
            }
            case DRAINED -> bounded(countedDeadlineMs, ACCEPT_MS, firstRequestEndMs, afterDeadlineMs);
            case REPLACED -> bounded(countedDeadlineMs, REPLACED_ACCEPT_MS, REPLACED_SERVE_MS, afterDeadlineMs);
        };
    }

    /** A schedule with these times, shortened so that the exit precedes the kill. */
    private static ShutdownSchedule bounded(
            double countedDeadlineMs,
            double wantedStopAcceptingMs,
            double wantedStopServingMs,
            double wantedAnswerAllMs) {
        double latestAnswerAllMs =
                countedDeadlineMs + KILL_AFTER_DEADLINE_MS - EXIT_SLACK_MS - EXIT_LINGER_MS - FINAL_RESPONSES_MS;
        double answerAllMs = Math.min(wantedAnswerAllMs, latestAnswerAllMs);
        double stopServingMs =
                Math.min(wantedStopServingMs, answerAllMs - Math.min(LAST_REQUEST_TIMEOUT_MS, countedDeadlineMs / 2));
        double stopAcceptingMs = Math.min(wantedStopAcceptingMs, stopServingMs - MIN_FIRST_REQUEST_MS);
        double closeIdleMs =
                Math.min(REPLACED_CLOSE_IDLE_MS, stopServingMs * REPLACED_CLOSE_IDLE_MS / REPLACED_SERVE_MS);
        return new ShutdownSchedule(
                stopAcceptingMs, closeIdleMs, stopServingMs, answerAllMs, answerAllMs + FINAL_RESPONSES_MS);
    }

    /** The longest deadline of all classes, in milliseconds. */
    static double longestDeadlineMs(BalancerSettings settings) {
        return settings.classes().stream()
                .mapToLong(RequestClass::deadline)
                .mapToDouble(Microseconds::toMs)
                .max()
                .orElse(0);
    }
}

package brackenbridge.core;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.RequestClass;

/**
 * When a stopping node takes each of its steps, in milliseconds after its stop was requested. The platform kills a node
 * {@link #KILL_AFTER_DEADLINE_MS} after the longest deadline, so all times are bounded by counting back from there.
 *
 * @param acceptMs until then new connections are accepted
 * @param endIdleMs from then on a replaced node closes idle connections
 * @param serveMs until then the connections that are open are served as usual
 * @param answerMs requests that are open by then are answered
 * @param exitMs requests that are incomplete by then are rejected; the process exits {@link #LAST_LINGER_MS} later at
 *     the latest
 */
public record ShutdownSchedule(
        double stopAcceptingMs, double closeIdleMs, double stopServingMs, double answerAllMs, double exitMs) {
    /** Clients have this long to read the last responses before the process exits. */
    public static final long EXIT_LINGER_MS = 100;

    /** The platform counts no deadline as longer than this. */
    static final double MAX_COUNTED_DEADLINE_MS = 3000;
    /** A stopping node is killed this long after the longest deadline at the earliest. */
    static final double KILL_AFTER_DEADLINE_MS = 700;
    /** Allowance for the signal's delivery, the log's last lines and the exit itself. */
    static final double EXIT_SLACK_MS = 140;
    /** The last responses have this long to be sent before connections with an incomplete request are closed. */
    static final double LAST_RESPONSES_MS = 30;
    /** The front end takes time to notice: new connections keep coming for up to 0.4 s. */
    static final double ACCEPT_MS = 500;
    /** A replaced node accepts handshakes that had begun; a lost SYN-ACK is sent again after one second. */
    static final double REPLACED_ACCEPT_MS = 1400;
    /** The clients that were accepted last have this long to send a request. */
    static final double LAST_ACCEPTED_MS = 100;
    /** And at least this long where deadlines are short. */
    static final double MIN_LAST_ACCEPTED_MS = 25;
    /** With the longest deadline that counts, open connections are served for this long. */
    static final double SERVE_MS = 3100;
    /** The last requests may take this long, or half of the longest deadline if that is less. */
    static final double LAST_REQUESTS_MS = 300;
    /** A drained or replaced node answers the open requests this long after the longest deadline. */
    static final double AFTER_DEADLINE_MS = 400;
    /** A replaced node announces the close with its responses for this long, then closes idle connections. */
    static final double REPLACED_IDLE_MS = 1000;
    /** A replaced node may exit from then on, once no request is open. */
    static final double REPLACED_SERVE_MS = 1500;

    /** What happens to a stopping node's clients. */
    enum Situation {
        /** A planned restart: no process replaces the node until it is back. */
        RESTARTED,
        /** Operators have drained it before. */
        EMPTIED,
        /** Another process of the same node serves already. */
        REPLACED
    }

    /** The schedule of a node whose longest deadline is this. */
    static ShutdownSchedule of(Situation situation, double longestDeadlineMs) {
        double countedDeadlineMs = Math.min(longestDeadlineMs, MAX_COUNTED_DEADLINE_MS);
        double acceptEndMs = ACCEPT_MS + LAST_ACCEPTED_MS;
        double afterDeadlineMs = Math.max(ACCEPT_MS, countedDeadlineMs) + AFTER_DEADLINE_MS;
        return switch (situation) {
            // Guards clients against finding no node: the front end sends no new connections to a stopping node, but
            // the open ones go on, whether the node has no peer or its peer is itself restarting for the same release.
            // Requests that come late have little time left: some of them fail, but not all.
            case RESTARTED -> {
                double serveMs = Math.max(acceptEndMs, countedDeadlineMs * SERVE_MS / MAX_COUNTED_DEADLINE_MS);
                yield bounded(countedDeadlineMs, ACCEPT_MS, serveMs, serveMs + LAST_REQUESTS_MS);
            }
            case EMPTIED -> bounded(countedDeadlineMs, ACCEPT_MS, acceptEndMs, afterDeadlineMs);
            case REPLACED -> bounded(countedDeadlineMs, REPLACED_ACCEPT_MS, REPLACED_SERVE_MS, afterDeadlineMs);
        };
    }

    /** These times, shortened so that the exit comes before the kill. */
    private static ShutdownSchedule bounded(
            double countedDeadlineMs, double wantedAcceptMs, double wantedServeMs, double wantedAnswerMs) {
        double latestAnswerMs =
                countedDeadlineMs + KILL_AFTER_DEADLINE_MS - EXIT_SLACK_MS - EXIT_LINGER_MS - LAST_RESPONSES_MS;
        double answerMs = Math.min(wantedAnswerMs, latestAnswerMs);
        double serveMs = Math.min(wantedServeMs, answerMs - Math.min(LAST_REQUESTS_MS, countedDeadlineMs / 2));
        double acceptMs = Math.min(wantedAcceptMs, serveMs - MIN_LAST_ACCEPTED_MS);
        double endIdleMs = Math.min(REPLACED_IDLE_MS, serveMs * REPLACED_IDLE_MS / REPLACED_SERVE_MS);
        return new ShutdownSchedule(acceptMs, endIdleMs, serveMs, answerMs, answerMs + LAST_RESPONSES_MS);
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

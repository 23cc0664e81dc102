package brackenbridge.core;

import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.balancing.RequestClass;

/**
 * When a stopping node takes each of its steps, in milliseconds after it was told to stop. The platform kills a node
 * {@link #KILL_AFTER_DEADLINE_MS} after the longest deadline, so all times are bounded by counting back from there.
 *
 * @param acceptMs until then new connections are accepted
 * @param endIdleMs from then on a replaced node ends connections that are idle
 * @param serveMs until then the connections that are open are served as usual
 * @param answerMs what is open by then is answered
 * @param exitMs what is not whole by then is refused; the process exits {@link #LAST_LINGER_MS} later at the latest
 */
public record ShutdownSchedule(double acceptMs, double endIdleMs, double serveMs, double answerMs, double exitMs) {
    /** Clients have so long to read the last answers before the process exits. */
    public static final long LAST_LINGER_MS = 100;

    /** The platform counts no deadline as longer than this. */
    static final double LONGEST_DEADLINE_MS = 3000;
    /** A stopping node is killed this long after the longest deadline at the earliest. */
    static final double KILL_AFTER_DEADLINE_MS = 700;
    /** Room for the signal's way to the node and for the exit itself, which took up to 120 ms on a crowded machine. */
    static final double EXIT_SLACK_MS = 140;
    /** The last answers have so long to leave, before connections are ended that carry half a request. */
    static final double UNFINISHED_MS = 30;
    /** The front needs a moment to notice: new connections keep coming for up to 0.4 s. */
    static final double ACCEPT_MS = 500;
    /** Clients that were accepted last have so long to bring a request. */
    static final double LAST_ACCEPTED_MS = 100;
    /** And where deadlines are short at least so long. */
    static final double LEAST_LAST_ACCEPTED_MS = 25;
    /** With the longest deadline that counts, the connections that are open are served for so long. */
    static final double SERVE_MS = 3100;
    /** The last requests may take so long, or half of the longest deadline if that is less. */
    static final double LAST_REQUESTS_MS = 300;
    /** An emptied or replaced node answers what is open this long after the longest deadline. */
    static final double AFTER_DEADLINE_MS = 400;
    /** A replaced node lets its clients be told by an answer for so long, then ends idle connections. */
    static final double REPLACED_IDLE_MS = 1000;
    /** A replaced node may exit from then on, once nothing is open. */
    static final double REPLACED_SERVE_MS = 1500;

    /** What a stopping node leaves behind. */
    enum Situation {
        /** A planned restart: nobody takes its place before it is back. */
        RESTARTED,
        /** Staff have drained it before. */
        EMPTIED,
        /** Another process of the same node serves already. */
        REPLACED
    }

    /** The schedule of a node whose longest deadline is this. */
    static ShutdownSchedule of(Situation situation, double longestDeadlineMs) {
        double longest = Math.min(longestDeadlineMs, LONGEST_DEADLINE_MS);
        double acceptEndMs = ACCEPT_MS + LAST_ACCEPTED_MS;
        double afterDeadlineMs = Math.max(ACCEPT_MS, longest) + AFTER_DEADLINE_MS;
        return switch (situation) {
            // Guards clients against finding nobody: the front sends no new connections to a node that stops, but
            // those that it has go on, whether it has no peer or its peer is only on its way back from the same
            // release. What comes late in that time has little left of it: better some of it fails than that all
            // finds nobody.
            case RESTARTED -> {
                double serve = Math.max(acceptEndMs, longest * SERVE_MS / LONGEST_DEADLINE_MS);
                yield bounded(longest, serve, serve + LAST_REQUESTS_MS);
            }
            case EMPTIED -> bounded(longest, acceptEndMs, afterDeadlineMs);
            case REPLACED -> bounded(longest, REPLACED_SERVE_MS, afterDeadlineMs);
        };
    }

    /** These times, cut so that the exit comes before the kill. */
    private static ShutdownSchedule bounded(double longest, double wantedServe, double wantedAnswer) {
        double lastAnswer = longest + KILL_AFTER_DEADLINE_MS - EXIT_SLACK_MS - LAST_LINGER_MS - UNFINISHED_MS;
        double answer = Math.min(wantedAnswer, lastAnswer);
        double serve = Math.min(wantedServe, answer - Math.min(LAST_REQUESTS_MS, longest / 2));
        double accept = Math.min(ACCEPT_MS, serve - LEAST_LAST_ACCEPTED_MS);
        double endIdle = Math.min(REPLACED_IDLE_MS, serve * REPLACED_IDLE_MS / REPLACED_SERVE_MS);
        return new ShutdownSchedule(accept, endIdle, serve, answer, answer + UNFINISHED_MS);
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

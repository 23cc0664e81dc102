package brackenbridge.lab.soak;

/**
 * Something that is done to the node.
 *
 * @param atMs when, in milliseconds from the first request
 * @param action what
 * @param amountMs for how long, where the action has a length; the pause before the next start, where it is a restart
 */
public record SoakStep(double atMs, Action action, double amountMs) implements Comparable<SoakStep> {
    /** What can be done. */
    public enum Action {
        /** SIGHUP with a valid file that has one class more. */
        RELOAD,
        /** SIGHUP with a file whose settings can't be used. */
        RELOAD_INVALID,
        /** SIGHUP with the first half of a file. */
        RELOAD_TRUNCATED,
        /** SIGHUP with an empty file. */
        RELOAD_EMPTY,
        /** SIGHUP with a valid file to a process that was told to stop. */
        RELOAD_STOPPING,
        /** SIGTERM, SIGKILL when the platform sends it, and a new start once the process has ended. */
        RESTART,
        /** SIGTERM again to a process that was told to stop. */
        TERMINATE_AGAIN,
        /** A second process, and SIGTERM to the first once the second serves. */
        REPLACE,
        /** The same as soon as the process before it serves. */
        REPLACE_AGAIN,
        /** LAMEDUCK to the newest process. */
        DRAIN_NODE,
        /** REJOIN to the newest process. */
        RETURN_NODE,
        /** SIGSTOP, and SIGCONT after the amount. */
        STALL
    }

    @Override
    public int compareTo(SoakStep other) {
        return Double.compare(atMs, other.atMs);
    }
}

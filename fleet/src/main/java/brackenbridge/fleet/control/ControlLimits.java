package brackenbridge.fleet.control;

/**
 * Limits and timeouts of the distribution, equal at control machines and nodes. All times are in milliseconds.
 *
 * @param heartbeatMs interval between heartbeats of each side
 * @param silenceTimeoutMs a connection on which nothing is received for this long is closed as lost
 * @param unconfirmedTimeoutMs a node leaves a machine that sends no confirmed heartbeat for this long, if there is
 *     another machine
 * @param coalesceMs changes of a resource within this time are sent as one update
 * @param slowReaderTimeoutMs a node that does not read what was sent to it for this long is disconnected
 * @param connectTimeoutMs a node's timeout for the connect and for the machine's welcome, each
 * @param retryBaseMs upper bound of a node's first backoff between two connections; doubles with each consecutive
 *     failure
 * @param retryMaxMs maximum of that upper bound
 * @param startSpreadMs a node connects first at a random moment within this time after its start
 * @param returnHomeMinMs minimum time after which a node served by another region's machine retries its own region
 * @param returnHomeMaxMs maximum of that time, which is drawn at random
 * @param admissionsPerSecond sustained rate at which a machine admits subscriptions
 * @param admissionBurst number of subscriptions that a machine admits at once
 * @param maxSubscribers maximum number of nodes per machine
 * @param maxUnsubscribedConnections maximum number of connections without a subscription per machine
 */
public record ControlLimits(
        double heartbeatMs,
        double silenceTimeoutMs,
        double unconfirmedTimeoutMs,
        double coalesceMs,
        double slowReaderTimeoutMs,
        double connectTimeoutMs,
        double retryBaseMs,
        double retryMaxMs,
        double startSpreadMs,
        double returnHomeMinMs,
        double returnHomeMaxMs,
        double admissionsPerSecond,
        int admissionBurst,
        int maxSubscribers,
        int maxUnsubscribedConnections) {

    /** Defaults for 1,600 nodes and nine machines; {@code docs/design/control.md} gives the reason for each. */
    public static final ControlLimits DEFAULTS =
            new ControlLimits(750, 2250, 2250, 50, 3000, 1000, 250, 4000, 1000, 30_000, 90_000, 200, 100, 800, 256);

    /** Throws an {@link IllegalArgumentException} if limits are out of range or contradict each other. */
    public ControlLimits {
        if (!(heartbeatMs >= 10)
                || !(silenceTimeoutMs >= 3 * heartbeatMs)
                || !(unconfirmedTimeoutMs >= 2 * heartbeatMs)) {
            throw new IllegalArgumentException(
                    "heartbeat " + heartbeatMs + ", silence " + silenceTimeoutMs + ", unconfirmed "
                            + unconfirmedTimeoutMs
                            + " ms: heartbeat must be at least 10 ms, silence three and unconfirmed two heartbeats");
        }
        if (!(coalesceMs >= 0)
                || !(slowReaderTimeoutMs > 0)
                || !(connectTimeoutMs > 0)
                || !(retryBaseMs > 0)
                || !(retryMaxMs >= retryBaseMs)
                || !(startSpreadMs >= 0)
                || !(returnHomeMinMs > 0)
                || !(returnHomeMaxMs >= returnHomeMinMs)) {
            throw new IllegalArgumentException("times must be positive and a maximum not below its minimum");
        }
        if (!(admissionsPerSecond > 0) || admissionBurst < 1 || maxSubscribers < 1 || maxUnsubscribedConnections < 1) {
            throw new IllegalArgumentException("admission rate must be positive, counts at least 1");
        }
    }

    /**
     * The maximum time from the moment at which a change takes effect at the control machines until a node applies it,
     * if the node loses its machine at that moment and the next machines that it tries fail as well.
     *
     * @param failedMachines number of consecutive machines that the node tries without success after it lost its own
     * @param leaseMs the agreement's lease: the delay with which a machine may distribute a change after another one
     */
    public double maxPropagationMs(int failedMachines, double leaseMs) {
        double detectionMs = silenceTimeoutMs + heartbeatMs;
        double failedAttemptsMs = 0;
        double retryBoundMs = retryBaseMs;
        for (int i = 0; i < failedMachines; i++) {
            failedAttemptsMs += retryBoundMs + connectTimeoutMs;
            retryBoundMs = Math.min(retryMaxMs, 2 * retryBoundMs);
        }
        double successfulAttemptMs = retryBoundMs + 2 * connectTimeoutMs + coalesceMs;
        return leaseMs + detectionMs + failedAttemptsMs + successfulAttemptMs;
    }
}

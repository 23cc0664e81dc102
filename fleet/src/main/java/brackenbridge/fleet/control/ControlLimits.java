package brackenbridge.fleet.control;

/**
 * The limits of the distribution, the same at control machines and nodes. All times are in milliseconds.
 *
 * @param heartbeatMs how often each side says that it lives
 * @param silenceMs unheard of for so long, the other side is taken for lost and the connection is ended
 * @param unconfirmedMs a node leaves a machine that has sent no confirmed heartbeat for so long, if there is another
 * @param coalesceMs changes of a resource within this time are sent as one
 * @param slowReaderMs a node that has not read what was sent to it for so long is disconnected
 * @param connectMs how long a node waits for a connection and for the machine's welcome, each
 * @param retryBaseMs the bound of a node's first wait between two connections; doubles with each failure in a row
 * @param retryMaxMs the longest bound of that wait
 * @param startSpreadMs a node's first connection is made at a random moment within this time after its start
 * @param homeMinMs a node served by another region's machine tries its own region's again after so long at least
 * @param homeMaxMs and after so long at most; the moment is drawn at random
 * @param admissionsPerSecond how many subscriptions begin at a machine in a second
 * @param admissionBurst how many may begin at once
 * @param maxSubscribers how many nodes a machine serves at most
 * @param maxUnsubscribed how many connections without a subscription a machine bears at most
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

    /** The limits for 1,600 nodes and nine machines; {@code docs/design/control.md} has the reason of each. */
    public static final ControlLimits DEFAULTS =
            new ControlLimits(750, 2250, 2250, 50, 3000, 1000, 250, 4000, 1000, 30_000, 90_000, 200, 100, 800, 256);

    /** Rejects limits that can't be kept. */
    public ControlLimits {
        if (!(heartbeatMs >= 10)
                || !(silenceTimeoutMs >= 3 * heartbeatMs)
                || !(unconfirmedTimeoutMs >= 2 * heartbeatMs)) {
            throw new IllegalArgumentException("heartbeat " + heartbeatMs + ", silence " + silenceTimeoutMs
                    + ", unconfirmed " + unconfirmedTimeoutMs + " ms: silence takes three heartbeats, unconfirmed two");
        }
        if (!(coalesceMs >= 0)
                || !(slowReaderTimeoutMs > 0)
                || !(connectTimeoutMs > 0)
                || !(retryBaseMs > 0)
                || !(retryMaxMs >= retryBaseMs)
                || !(startSpreadMs >= 0)
                || !(returnHomeMinMs > 0)
                || !(returnHomeMaxMs >= returnHomeMinMs)) {
            throw new IllegalArgumentException("times must be above 0, a longest not below its least");
        }
        if (!(admissionsPerSecond > 0) || admissionBurst < 1 || maxSubscribers < 1 || maxUnsubscribedConnections < 1) {
            throw new IllegalArgumentException("counts must be 1 or more");
        }
    }

    /**
     * The longest time from the moment at which a change is in force at the control machines until a node acts by it,
     * where the node loses its machine at that very moment and the next machines it tries fail as well.
     *
     * @param failedMachines how many machines in a row the node tries in vain after it lost its own
     * @param leaseMs the agreement's lease: a machine may pass a change on so much later than another
     */
    public double maxPropagationMs(int failedMachines, double leaseMs) {
        double detected = silenceTimeoutMs + heartbeatMs;
        double tried = 0;
        double bound = retryBaseMs;
        for (int i = 0; i < failedMachines; i++) {
            tried += bound + connectTimeoutMs;
            bound = Math.min(retryMaxMs, 2 * bound);
        }
        double served = bound + 2 * connectTimeoutMs + coalesceMs;
        return leaseMs + detected + tried + served;
    }
}

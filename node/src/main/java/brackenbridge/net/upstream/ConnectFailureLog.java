package brackenbridge.net.upstream;

import brackenbridge.clock.Clock;
import brackenbridge.core.connection.EndpointIdentity;
import brackenbridge.log.Log;

/** Logs connections that failed because of a system call on this machine, at a limited rate. */
final class ConnectFailureLog {
    private static final double MIN_INTERVAL_MS = 1000;

    private final Clock clock;
    private final Log log;
    private double lastLoggedMs = Double.NEGATIVE_INFINITY;

    ConnectFailureLog(Clock clock, Log log) {
        this.clock = clock;
        this.log = log;
    }

    /** Logs the failure unless another one was logged within the last second. */
    void warn(EndpointIdentity endpoint, Throwable cause) {
        double now = clock.nowMs();
        if (now - lastLoggedMs >= MIN_INTERVAL_MS) {
            lastLoggedMs = now;
            log.warn("connection to " + endpoint.host() + " failed on this machine: " + cause.getMessage());
        }
    }
}

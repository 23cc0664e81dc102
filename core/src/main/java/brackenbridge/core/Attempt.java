package brackenbridge.core;

import brackenbridge.core.observe.TrafficObserver;

/** An attempt of a request while it is in flight. Times are in milliseconds. */
final class Attempt {
    /** The longest stall assumed between reading the clock and writing to a socket; limits on writes allow for it. */
    static final double MAX_STALL_MS = 150;

    final int number;
    final String host;
    final double sentMs;
    /** When the balancer's timeout for the attempt expires; infinite if only the request's deadline applies. */
    double timeoutAtMs = Double.POSITIVE_INFINITY;
    /** Upper bound of the deadline that its server is sent as time left. */
    double announcedDeadlineMs = Double.POSITIVE_INFINITY;
    /** When the measurement of its latency starts. */
    double latencyStartMs;
    /** Its last byte has been written, so the server may run it. */
    boolean written;
    /** The head of a response that may be long has been received, so that the response can be streamed. */
    boolean responseStarted;
    /** The pool that its traffic is counted for; null unless traffic is observed. */
    TrafficObserver.PoolKey pool;

    Attempt(int number, String host, double sentMs) {
        this.number = number;
        this.host = host;
        this.sentMs = sentMs;
        this.latencyStartMs = sentMs;
    }
}

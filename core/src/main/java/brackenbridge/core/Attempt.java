package brackenbridge.core;

import brackenbridge.core.observe.TrafficObserver;

/** The attempt of a request that is in flight. Times are in milliseconds. */
final class Attempt {
    /** The node may stall this long between reading its clock and writing: limits of writes allow for it. */
    static final double MAX_STALL_MS = 150;

    final int number;
    final String host;
    final double sentMs;
    /** The balancer gives the attempt up then, before its request's deadline; infinite if it does not. */
    double timeoutAtMs = Double.POSITIVE_INFINITY;
    /** The time left that its server is sent does not extend beyond this. */
    double announcedDeadlineMs = Double.POSITIVE_INFINITY;
    /** From when its latency is measured. */
    double latencyStartMs;
    /** Its last byte has been written: it may run. */
    boolean written;
    /** The pool that it is counted for; null without an observer. */
    TrafficObserver.PoolKey pool;

    Attempt(int number, String host, double sentMs) {
        this.number = number;
        this.host = host;
        this.sentMs = sentMs;
        this.latencyStartMs = sentMs;
    }
}

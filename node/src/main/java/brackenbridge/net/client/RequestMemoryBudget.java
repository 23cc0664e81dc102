package brackenbridge.net.client;

import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;

/**
 * Bounds the bytes that all clients together have buffered in requests that are incomplete or not started. Protects the
 * node's memory against many clients that each stay within their own limit.
 */
final class RequestMemoryBudget {
    /** Bytes that all clients together may have buffered. */
    static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

    /** A connection that buffers bytes of requests. */
    interface Holder {
        /** The bytes that it has reserved. */
        int reservedBytes();

        /** Releases all that it has buffered and serves nothing more than the request in progress. */
        void giveUpReading(String reason);
    }

    private final Counters counters;
    private int reservedBytes;

    RequestMemoryBudget(Counters counters) {
        this.counters = counters;
    }

    /** A connection's reservation has changed. */
    void adjustReservation(int fromBytes, int toBytes) {
        reservedBytes += toBytes - fromBytes;
    }

    /** Whether more than half of the budget is in use: each connection may then read less ahead. */
    boolean isCrowded() {
        return reservedBytes > MAX_BUFFERED_BYTES / 2;
    }

    /** Makes the connections with the largest reservations give up until the budget is kept. */
    void enforce(Iterable<? extends Holder> holders) {
        while (reservedBytes > MAX_BUFFERED_BYTES) {
            counters.count(Counter.CLIENTS_SHED_FOR_MEMORY);
            largestOf(holders).giveUpReading("too much is held");
        }
    }

    private static Holder largestOf(Iterable<? extends Holder> holders) {
        Holder largest = null;
        for (Holder holder : holders) {
            if (largest == null || holder.reservedBytes() > largest.reservedBytes()) {
                largest = holder;
            }
        }
        return largest;
    }
}

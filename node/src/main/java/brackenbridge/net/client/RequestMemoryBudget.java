package brackenbridge.net.client;

import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;

/**
 * Limits the bytes buffered for all clients together in requests that are incomplete or not started. Guards the node's
 * memory against many clients that each stay within their own limit.
 */
final class RequestMemoryBudget {
    /** Maximum bytes buffered for all clients together. */
    static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

    /** A connection that buffers request bytes. */
    interface Holder {
        /** The bytes that the connection has reserved. */
        int reservedBytes();

        /** Releases all buffered bytes; nothing after the request in progress is served. */
        void giveUpReading(String reason);
    }

    private final Counters counters;
    private int reservedBytes;

    RequestMemoryBudget(Counters counters) {
        this.counters = counters;
    }

    /** Applies a change of a connection's reservation. */
    void adjustReservation(int fromBytes, int toBytes) {
        reservedBytes += toBytes - fromBytes;
    }

    /** Whether more than half of the budget is in use: each connection may then read less ahead. */
    boolean isCrowded() {
        return reservedBytes > MAX_BUFFERED_BYTES / 2;
    }

    /** Makes the connections with the largest reservations give up reading until the limit is met. */
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

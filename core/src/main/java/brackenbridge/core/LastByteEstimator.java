package brackenbridge.core;

import java.util.ArrayDeque;

/**
 * Estimates the earliest time at which a client may have sent the last byte of a body. The client's timeout counts
 * from that byte, but a node that forwards a body more slowly than the client sends it reads the byte long after that.
 *
 * <p>Two facts are certain: the last byte had not been sent when the node had read all that had arrived, nor when more
 * bytes were still to come than the systems of client and node can hold. Times are in milliseconds.
 */
public final class LastByteEstimator {
    /** The largest receive buffer of a client's connection that this estimate allows for. */
    public static final int MAX_RECEIVE_BUFFER_BYTES = 128 * 1024;
    /** Linux lets a send buffer grow up to this size by default. */
    private static final int MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024;
    /** Systems round buffer sizes up, for the overhead of packets that may turn out smaller. */
    private static final int BUFFER_OVERHEAD_BYTES = 384 * 1024;
    /** The most bytes that a client may have sent and the node not read. */
    static final int MAX_BYTES_IN_BUFFERS = MAX_RECEIVE_BUFFER_BYTES + MAX_SEND_BUFFER_BYTES + BUFFER_OVERHEAD_BYTES;
    /** Granularity in which the progress of the body is recorded. */
    static final int MARK_INTERVAL_BYTES = 256 * 1024;

    /** How much of the body had been read at some time. */
    private record Mark(long bytesRead, double atMs) {}

    private final long declaredBytes;
    private final ArrayDeque<Mark> marks = new ArrayDeque<>();
    private long bytesRead;
    private double notSentBeforeMs = Double.NEGATIVE_INFINITY;

    /** Starts to observe a body of this length; -1 if its length is unknown until it ends. */
    public LastByteEstimator(long declaredBytes) {
        this.declaredBytes = declaredBytes;
    }

    /** Records that the node has read bytes of the body, and that the body is incomplete. */
    public void onBytesRead(int bytes, double nowMs) {
        bytesRead += bytes;
        if (marks.isEmpty() || bytesRead - marks.peekLast().bytesRead() >= MARK_INTERVAL_BYTES) {
            marks.add(new Mark(bytesRead, nowMs));
        }
        long leastLength = Math.max(declaredBytes, bytesRead);
        while (!marks.isEmpty() && marks.peek().bytesRead() + MAX_BYTES_IN_BUFFERS <= leastLength) {
            notSentBeforeMs = marks.poll().atMs();
        }
    }

    /**
     * The earliest time at which the client may have sent the last byte.
     *
     * @param drainedMs when the node had last read everything that had arrived, without the last byte
     */
    public double earliestMs(double drainedMs) {
        return Math.max(drainedMs, notSentBeforeMs);
    }
}

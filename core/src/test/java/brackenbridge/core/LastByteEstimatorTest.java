package brackenbridge.core;

import static brackenbridge.core.LastByteEstimator.MARK_INTERVAL_BYTES;
import static brackenbridge.core.LastByteEstimator.MAX_BYTES_IN_BUFFERS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a client may have sent the last byte of a body. */
class LastByteEstimatorTest {
    private static final int PIECE_BYTES = 32 * 1024;
    private static final int LARGE_BODY_BYTES = 4 * MAX_BYTES_IN_BUFFERS;
    private static final int UNKNOWN_LENGTH = -1;
    /** When the body began. */
    private static final double START_MS = 1000;

    /** Reads a body at a steady rate of one piece each millisecond; returns the time of the last read. */
    private static double readSteadily(LastByteEstimator estimator, int bytes) {
        double nowMs = START_MS;
        for (int read = 0; read < bytes; read += PIECE_BYTES) {
            nowMs++;
            estimator.onBytesRead(PIECE_BYTES, nowMs);
        }
        return nowMs;
    }

    @Test
    void bodyThatBuffersCanHoldMayHaveBeenSentAtOnce() {
        for (int length : new int[] {UNKNOWN_LENGTH, MAX_BYTES_IN_BUFFERS}) {
            LastByteEstimator estimator = new LastByteEstimator(length);
            readSteadily(estimator, MAX_BYTES_IN_BUFFERS - PIECE_BYTES);
            assertEquals(START_MS, estimator.earliestMs(START_MS));
        }
    }

    @Test
    void drainedConnectionMeansThatTheLastByteWasNotSent() {
        LastByteEstimator estimator = new LastByteEstimator(UNKNOWN_LENGTH);
        readSteadily(estimator, PIECE_BYTES);
        assertEquals(5000, estimator.earliestMs(5000));
    }

    @Test
    void lastByteWasNotSentWhileMoreIsToComeThanBuffersHold() {
        LastByteEstimator estimator = new LastByteEstimator(LARGE_BODY_BYTES);
        readSteadily(estimator, LARGE_BODY_BYTES / 2);
        double halfwayMs = START_MS + LARGE_BODY_BYTES / 2.0 / PIECE_BYTES;
        double granularityMs = (double) MARK_INTERVAL_BYTES / PIECE_BYTES;
        assertEquals(halfwayMs, estimator.earliestMs(START_MS), granularityMs);
    }

    @Test
    void lastByteOfABodyWithoutALengthWasNotSentBeforeWhatBuffersHold() {
        LastByteEstimator estimator = new LastByteEstimator(UNKNOWN_LENGTH);
        double endMs = readSteadily(estimator, LARGE_BODY_BYTES);
        double bufferedMs = (double) MAX_BYTES_IN_BUFFERS / PIECE_BYTES;
        double granularityMs = (double) MARK_INTERVAL_BYTES / PIECE_BYTES;
        assertEquals(endMs - bufferedMs, estimator.earliestMs(START_MS), granularityMs);
    }

    @Test
    void estimateNeverGoesBack() {
        LastByteEstimator estimator = new LastByteEstimator(UNKNOWN_LENGTH);
        double before = START_MS;
        for (int i = 0; i < LARGE_BODY_BYTES / PIECE_BYTES; i++) {
            estimator.onBytesRead(PIECE_BYTES, START_MS + i);
            double estimate = estimator.earliestMs(START_MS);
            assertTrue(estimate >= before, "after " + i + " pieces");
            before = estimate;
        }
    }
}

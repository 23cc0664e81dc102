package brackenbridge.clock;

import java.util.function.LongSupplier;

/**
 * The one source of time: milliseconds since the Unix epoch, as a floating-point number that never goes back.
 * The system's clock gives the origin once and the monotonic timer all that follows, so that a step of the
 * wall clock neither fires nor delays a deadline. Only spans between two readings in one process mean anything: two
 * processes, of one machine too, may have their origins an hour apart.
 */
public abstract class Clock {
    private static final double NS_PER_MS = 1e6;

    /** The current time. */
    public abstract double nowMs();

    /** The clock of a running node. */
    public static Clock system() {
        return from(System::currentTimeMillis, System::nanoTime);
    }

    /**
     * A clock that reads the wall clock now and never again.
     *
     * @param wallMs the time of day in milliseconds since the Unix epoch
     * @param monotonicNs a timer that never goes back, in nanoseconds
     */
    public static Clock from(LongSupplier wallMs, LongSupplier monotonicNs) {
        double origin = wallMs.getAsLong();
        long start = monotonicNs.getAsLong();
        return new Clock() {
            @Override
            public double nowMs() {
                return origin + (monotonicNs.getAsLong() - start) / NS_PER_MS;
            }
        };
    }

    /** A clock that stands still until it is set. */
    public static final class Manual extends Clock {
        private double currentMs;

        /** Starts at this time. */
        public Manual(double nowMs) {
            currentMs = nowMs;
        }

        /** Advances by this many milliseconds. */
        public void advance(double ms) {
            currentMs += ms;
        }

        @Override
        public double nowMs() {
            return currentMs;
        }
    }
}

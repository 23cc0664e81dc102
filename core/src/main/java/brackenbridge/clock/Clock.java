package brackenbridge.clock;

import java.util.function.LongSupplier;

/**
 * The only source of time: milliseconds since the Unix epoch, as a monotonic floating-point number. The wall clock is
 * read once for the origin, and all later readings are based on the monotonic timer, so that a step of the wall clock
 * neither triggers nor delays a deadline. Only differences between two readings in one process are meaningful: the
 * origins of two processes, even on one machine, may differ by an hour.
 */
public abstract class Clock {
    private static final double NS_PER_MS = 1e6;

    /** The current time. */
    public abstract double nowMs();

    /** Creates the clock of a running node. */
    public static Clock system() {
        return from(System::currentTimeMillis, System::nanoTime);
    }

    /**
     * Creates a clock that reads the wall clock once, now.
     *
     * @param wallMs the time of day in milliseconds since the Unix epoch
     * @param monotonicNs a monotonic timer in nanoseconds
     */
    public static Clock from(LongSupplier wallMs, LongSupplier monotonicNs) {
        double originMs = wallMs.getAsLong();
        long startNs = monotonicNs.getAsLong();
        return new Clock() {
            @Override
            public double nowMs() {
                return originMs + (monotonicNs.getAsLong() - startNs) / NS_PER_MS;
            }
        };
    }

    /** A clock that advances only by calls of {@link #advance}. */
    public static final class Manual extends Clock {
        private double currentMs;

        /** Creates a clock that starts at this time. */
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

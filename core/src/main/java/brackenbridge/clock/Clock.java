package brackenbridge.clock;

/**
 * The one source of time: milliseconds since the Unix epoch, as a floating-point number that never goes back.
 * The system's clock gives the origin once and the monotonic timer all that follows, so that a step of the
 * wall clock neither fires nor delays a deadline.
 */
public abstract class Clock {

    /** The time by now. */
    public abstract double nowMs();

    /** The clock of a running node. */
    public static Clock system() {
        double origin = System.currentTimeMillis();
        long start = System.nanoTime();
        return new Clock() {
            @Override
            public double nowMs() {
                return origin + (System.nanoTime() - start) / 1e6;
            }
        };
    }

    /** A clock that stands still until it is set. */
    public static final class Settable extends Clock {
        private double now;

        /** Stands at this time. */
        public Settable(double nowMs) {
            now = nowMs;
        }

        /** Moves on by so many milliseconds. */
        public void pass(double ms) {
            now += ms;
        }

        @Override
        public double nowMs() {
            return now;
        }
    }
}

package brackenbridge.core;

/** Converts between the node's milliseconds and the balancer's integer microseconds. */
final class Microseconds {
    private Microseconds() {}

    static long ofMs(double ms) {
        return (long) (ms * 1000);
    }

    static double toMs(long micros) {
        return micros / 1000.0;
    }
}

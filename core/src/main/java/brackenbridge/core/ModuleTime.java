package brackenbridge.core;

/** The one seam between the node's milliseconds and the module's whole microseconds. */
final class ModuleTime {
    private ModuleTime() {}

    static long micros(double ms) {
        return (long) (ms * 1000);
    }

    static double ms(long micros) {
        return micros / 1000.0;
    }
}

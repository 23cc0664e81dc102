package brackenbridge.core.balancing;

/** Checks and limits for the values of settings. */
final class SettingsChecks {
    /** The maximum of a time-out, one day; guards sums of times against overflow. */
    static final long MAX_TIMEOUT_MICROS = 86_400_000_000L;
    /** The maximum of a retention time, about thirty years. */
    static final long MAX_RETENTION_MICROS = 1_000_000_000_000_000L;
    /** The maximum of a priority weight or a rate. */
    static final double MAX_RATE = 1e9;
    /** The minimum fraction of its capacity that a started endpoint can have. */
    static final double MIN_COLD_CAPACITY_RATIO = 0.001;

    private SettingsChecks() {}

    /** Throws an {@link IllegalArgumentException} that contains the name and the value if the condition is false. */
    static void require(boolean condition, String name, Object value) {
        if (!condition) {
            throw new IllegalArgumentException(name + ": " + value);
        }
    }
}

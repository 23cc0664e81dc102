package brackenbridge.core.balancing;

/** The checks and limits that all settings values share. */
final class SettingsChecks {
    /** The longest time within which something is to happen: guards sums of times against running over. */
    static final long MAX_TIMEOUT_MICROS = 86_400_000_000L;
    /** The longest time after which something may be forgotten, some thirty years. */
    static final long MAX_RETENTION_MICROS = 1_000_000_000_000_000L;
    /** The maximum of a priority weight or a rate. */
    static final double MAX_RATE = 1e9;
    /** The least part of its capacity that a starting endpoint can have. */
    static final double MIN_COLD_CAPACITY_RATIO = 0.001;

    private SettingsChecks() {}

    /** Rejects a value with an {@link IllegalArgumentException} that names it. */
    static void require(boolean holds, String what, Object value) {
        if (!holds) {
            throw new IllegalArgumentException(what + ": " + value);
        }
    }
}

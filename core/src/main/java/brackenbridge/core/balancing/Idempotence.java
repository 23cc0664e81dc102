package brackenbridge.core.balancing;

/** What a retry of a request would do; the {@link #settingsValue} is what a configuration calls it. */
public enum Idempotence {
    /** May be sent again and rejected without restriction. */
    IDEMPOTENT("safe"),
    /** Carries an idempotency key: a group of endpoints drops duplicates for a while. */
    IDEMPOTENCY_KEY("keyed"),
    /** Must never run twice. */
    NOT_IDEMPOTENT("unsafe");

    private final String settingsValue;

    Idempotence(String settingsValue) {
        this.settingsValue = settingsValue;
    }

    /** Its value in a configuration, which never changes. */
    public String settingsValue() {
        return settingsValue;
    }
}

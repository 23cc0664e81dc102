package brackenbridge.core.balancing;

/** Whether a request may be sent again; {@link #settingsValue} is its value in configuration files. */
public enum Idempotence {
    /** May be sent again and rejected without restriction. */
    IDEMPOTENT("safe"),
    /** Carries an idempotency key, by which a group of endpoints drops duplicates for a limited time. */
    IDEMPOTENCY_KEY("keyed"),
    /** Must never run twice. */
    NOT_IDEMPOTENT("unsafe");

    private final String settingsValue;

    Idempotence(String settingsValue) {
        this.settingsValue = settingsValue;
    }

    /** Its value in configuration files, which never changes. */
    public String settingsValue() {
        return settingsValue;
    }
}

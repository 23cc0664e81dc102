package brackenbridge.core.balancing;

/** The endpoints that drop each other's duplicates of a request with an idempotency key, from wide to narrow. */
public enum DeduplicationScope {
    /** Every endpoint of the tier. */
    ALL("all"),
    /** Those of the same zone. */
    ZONE("zone"),
    /** Those of the same cell. */
    CELL("cell");

    private final String settingsValue;

    DeduplicationScope(String settingsValue) {
        this.settingsValue = settingsValue;
    }

    /** Its value in a configuration, which never changes. */
    public String settingsValue() {
        return settingsValue;
    }
}

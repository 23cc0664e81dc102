package brackenbridge.core.balancing;

/** The endpoints among which duplicates of a request with an idempotency key are dropped, from wide to narrow. */
public enum DeduplicationScope {
    /** Every endpoint of the tier. */
    ALL("all"),
    /** The endpoints of one zone. */
    ZONE("zone"),
    /** The endpoints of one cell. */
    CELL("cell");

    private final String settingsValue;

    DeduplicationScope(String settingsValue) {
        this.settingsValue = settingsValue;
    }

    /** Its value in configuration files, which never changes. */
    public String settingsValue() {
        return settingsValue;
    }
}

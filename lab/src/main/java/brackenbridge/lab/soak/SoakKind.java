package brackenbridge.lab.soak;

/** What a play is mostly about; the seed decides. */
public enum SoakKind {
    /** SIGHUP after SIGHUP, with good, invalid and truncated files. */
    RELOADS,
    /** SIGTERM during a reload, SIGTERM twice, SIGHUP after SIGTERM, and a start after each end. */
    RESTARTS,
    /** A replacement during a drain, a replacement of the replacement, drains and returns around them. */
    REPLACEMENTS,
    /** Idle clients fill the descriptors, while the process is restarted or replaced. */
    CROWD,
    /** Discovery is away, slow or late, while servers drain. */
    DISCOVERY,
    /** Servers hang through a stop, reset, crash, drain, and answer without a length. */
    SERVERS,
    /** The process stands still for moments, while servers drain. */
    STALLS;

    /** The kind that a seed plays: seeds in a row play one kind after the other. */
    public static SoakKind of(long seed) {
        return values()[Math.floorMod(seed, values().length)];
    }
}

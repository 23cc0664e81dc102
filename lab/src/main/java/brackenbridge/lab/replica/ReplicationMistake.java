package brackenbridge.lab.replica;

/** Mistakes that an implementation of the exchange could make; exploring it with one of them must find a breach. */
public enum ReplicationMistake {
    /** None: the classes as they are. */
    NONE,
    /** A piece of a log is taken though what lies before it is missing. */
    GAP_FORGIVEN,
    /** A piece says that it goes to the end though it was cut at its size. */
    PIECE_SAYS_ALL,
    /** Where removals were forgotten, the tail is sent instead of a snapshot. */
    SNAPSHOT_AS_TAIL,
    /** The first piece of a snapshot counts as all of it. */
    SNAPSHOT_DONE_EARLY,
    /** What comes last wins, not what was written last. */
    LAST_COME_WINS,
    /** A life begins with the number of one before it. */
    LIFE_REUSED,
    /** What comes late of an ended life is taken into the present one. */
    OLD_LIFE_INTO_NEW,
    /** The disk has how far the copy was, and not all of its records. */
    DISK_HALF_WRITTEN,
    /** Parts of sums are added to each other where the greater should stay. */
    COUNT_ADDED_ON_MERGE,
    /** Parts of sums end with their life, as own records do. */
    SUMS_END_WITH_LIFE,
    /** Ended lives are folded, and kept beside it. */
    FOLD_KEEPS_ENDED,
    /** Ended lives are folded before all members hold as much of them. */
    FOLD_TOO_SOON
}

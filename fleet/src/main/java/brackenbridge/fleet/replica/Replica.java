package brackenbridge.fleet.replica;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * This member's copy of what the fleet shares by kinds own and counted. From any thread; nothing blocks for long,
 * nothing waits for a peer. What is agreed is in {@code fleet.agreed}.
 */
public interface Replica {
    /**
     * A record as this member holds it.
     *
     * @param owner who wrote it
     * @param key its key within the space
     * @param version when, by the owner's count
     * @param value its content
     * @param heardMs how long ago its owner was last known to hold it so, in milliseconds; by this member's clock, so
     *     that it is never too small by more than a message's way
     */
    record ReadRecord(String owner, String key, RecordVersion version, byte[] value, double ageMs) {
        /** Whether it may be acted on. */
        public boolean isFresh(RecordSpace space) {
            return ageMs <= space.maxAgeMs();
        }
    }

    /**
     * How far this member is.
     *
     * @param level whether it holds all that its peers are known to hold
     * @param behind how many records it is known to lack
     * @param differing how many copies were found to differ and were not made one yet
     * @param outOfDecision whether it differs after the rule was applied: nobody acts on its copies
     */
    record SyncState(
            @JsonProperty("level") boolean caughtUp,
            @JsonProperty("behind") long missingWrites,
            @JsonProperty("differing") long differingLogs,
            @JsonProperty("outOfDecision") boolean excludedFromDecisions) {}

    /** Hears of records that have changed. */
    @FunctionalInterface
    interface Listener {
        /** This record is another from now on; null if it is gone. */
        void onChange(RecordSpace space, String owner, String key, ReadRecord now);
    }

    /**
     * Writes a record of this member's own; dropped if this member is quarantined or has too many.
     *
     * @throws IllegalArgumentException if the space is not of own records, or key or value are too long
     */
    void put(RecordSpace space, String key, byte[] value);

    /** Removes a record of this member's own. */
    void remove(RecordSpace space, String key);

    /**
     * Adds to this member's counter.
     *
     * @throws IllegalArgumentException if the space is not of counters, or the increment is negative
     */
    void add(RecordSpace space, String key, long increment);

    /**
     * The sum of a counter over all members, those that have ended included.
     *
     * @throws IllegalArgumentException if the space is not of counters
     */
    long sum(RecordSpace space, String key);

    /** All records of a space, of all owners, this one included. */
    List<ReadRecord> readAll(RecordSpace space);

    /** Whether this member has caught up. */
    SyncState syncState();

    /** Adds a listener; it is called on one thread, for changes from now on. */
    void addListener(Listener listener);
}

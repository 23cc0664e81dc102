package brackenbridge.fleet.replica;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * This member's copy of the fleet's replicated registers and counters. Thread-safe; no method waits for a peer. State
 * that needs a majority is in {@code fleet.agreed}.
 */
public interface Replica {
    /**
     * A record read from this member's copy.
     *
     * @param owner the member that wrote it
     * @param key its key within the space
     * @param version incarnation and sequence number of the write
     * @param value its content
     * @param ageMs the time since this was last known to be the owner's value, in milliseconds, by this member's
     *     clock; too small by at most the transit time of a message
     */
    record ReadRecord(String owner, String key, RecordVersion version, byte[] value, double ageMs) {
        /** Whether decisions may be based on it. */
        public boolean isFresh(RecordSpace space) {
            return ageMs <= space.maxAgeMs();
        }
    }

    /**
     * How current this member's copy is.
     *
     * @param caughtUp whether it has all writes that peers have reported
     * @param missingWrites the number of writes that it is known to lack
     * @param differingLogs the number of logs that were found to differ from a peer's and were not found equal since
     * @param excludedFromDecisions whether a copy still differed after repair or this member is quarantined; decisions
     *     must not be based on its copies
     */
    record SyncState(
            @JsonProperty("level") boolean caughtUp,
            @JsonProperty("behind") long missingWrites,
            @JsonProperty("differing") long differingLogs,
            @JsonProperty("outOfDecision") boolean excludedFromDecisions) {}

    /** Is notified of changed records. */
    @FunctionalInterface
    interface Listener {
        /** Called after a record has changed; {@code now} is null if it was removed. */
        void onChange(RecordSpace space, String owner, String key, ReadRecord now);
    }

    /**
     * Writes one of this member's registers. The write is dropped if this member is quarantined or has too many
     * records.
     *
     * @throws IllegalArgumentException if the space does not contain registers, or key or value are too long
     */
    void put(RecordSpace space, String key, byte[] value);

    /** Removes one of this member's registers. */
    void remove(RecordSpace space, String key);

    /**
     * Adds to this member's counter.
     *
     * @throws IllegalArgumentException if the space does not contain counters, or the increment is negative
     */
    void add(RecordSpace space, String key, long increment);

    /**
     * The sum of a counter over all members and their ended incarnations.
     *
     * @throws IllegalArgumentException if the space does not contain counters
     */
    long sum(RecordSpace space, String key);

    /** All records of a space, of all owners including this member. */
    List<ReadRecord> readAll(RecordSpace space);

    /** How current this copy is. */
    SyncState syncState();

    /** Adds a listener, which is notified of later changes on a single thread. */
    void addListener(Listener listener);
}

package brackenbridge.fleet.replica;

/**
 * Identifies a record within one incarnation of its owner.
 *
 * @param space the space of the record
 * @param key the key within the space
 */
public record RecordKey(RecordSpace space, String key) implements Comparable<RecordKey> {
    /** The number of ranges into which keys are hashed for comparing copies. */
    static final int RANGE_COUNT = 16;

    int rangeIndex() {
        int hash = key.hashCode() * 31 + space.ordinal();
        return (hash ^ hash >>> 16 ^ hash >>> 8) & RANGE_COUNT - 1;
    }

    @Override
    public int compareTo(RecordKey other) {
        return space != other.space ? space.compareTo(other.space) : key.compareTo(other.key);
    }
}

package brackenbridge.fleet.replica;

/**
 * The version of a record: a logical timestamp that does not depend on a clock.
 *
 * @param incarnation the owner's incarnation
 * @param sequence the number of the owner's write within this incarnation, over all spaces, from 1
 */
public record RecordVersion(long incarnation, long sequence) implements Comparable<RecordVersion> {
    @Override
    public int compareTo(RecordVersion other) {
        return incarnation != other.incarnation
                ? Long.compare(incarnation, other.incarnation)
                : Long.compare(sequence, other.sequence);
    }
}

package brackenbridge.fleet.replica;

/**
 * Which write of its owner a record is: incarnation and sequence number, of no clock.
 *
 * @param life the owner's incarnation
 * @param sequence the sequence number: counts the owner's writes in this incarnation, over all spaces, from 1
 */
public record RecordVersion(long incarnation, long sequence) implements Comparable<RecordVersion> {
    @Override
    public int compareTo(RecordVersion other) {
        return incarnation != other.incarnation
                ? Long.compare(incarnation, other.incarnation)
                : Long.compare(sequence, other.sequence);
    }
}

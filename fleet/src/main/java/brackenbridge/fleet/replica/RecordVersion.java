package brackenbridge.fleet.replica;

/**
 * When an owner wrote a record, by no clock: its life, and its count of writes in it.
 *
 * @param life the owner's life
 * @param sequence counts the owner's writes in this life, over all spaces, from 1
 */
public record RecordVersion(long life, long sequence) implements Comparable<RecordVersion> {
    @Override
    public int compareTo(RecordVersion o) {
        return life != o.life ? Long.compare(life, o.life) : Long.compare(sequence, o.sequence);
    }
}

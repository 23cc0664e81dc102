package brackenbridge.fleet.replica;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

/**
 * The last write of one key by one incarnation of its owner. Immutable.
 *
 * @param space the space
 * @param key the key within it, at most {@link #MOST_KEY} characters
 * @param version when, by the owner's count
 * @param value the content of an own record; null if it was removed, and for counted ones
 * @param count what this incarnation of the owner has added, and what was folded into it; 0 for own ones
 * @param below counters of incarnations earlier than this one are folded into {@code count}; 0 if none is
 * @param sum a checksum over all of it and the owner's name, made by the owner at the write
 */
public record ReplicatedRecord(
        RecordSpace space,
        String key,
        RecordVersion version,
        byte[] value,
        long count,
        long foldedBelow,
        long checksum) {
    /** Characters of a key, at the most. */
    public static final int MAX_KEY_LENGTH = 512;
    /** Bytes of a value, at the most. */
    public static final int MAX_VALUE_BYTES = 16 << 10;

    /** Checks what can be checked without the owner's name. */
    public ReplicatedRecord {
        if (space == null
                || key == null
                || key.length() > MAX_KEY_LENGTH
                || !isEncodable(key)
                || version == null
                || version.incarnation() < 0
                || version.sequence() < 1
                || value != null && value.length > MAX_VALUE_BYTES
                || count < 0
                || foldedBelow < 0
                || foldedBelow > version.incarnation()
                || space.kind() == RecordSpace.Kind.COUNTER && value != null) {
            throw new IllegalArgumentException("not a record");
        }
    }

    /** A record with its checksum. */
    public static ReplicatedRecord of(
            String owner, RecordSpace space, String key, RecordVersion version, byte[] value, long count, long below) {
        return new ReplicatedRecord(
                space, key, version, value, count, below, checksum(owner, space, key, version, value, count, below));
    }

    /** Whether this can be written as UTF-8 and read again: half a surrogate pair can't. */
    static boolean isEncodable(String text) {
        return text.chars()
                        .noneMatch(character ->
                                character >= Character.MIN_SURROGATE && character <= Character.MAX_SURROGATE)
                || StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    /** Whether it is a tombstone: the key was removed. */
    public boolean removed() {
        return value == null && space.kind() == RecordSpace.Kind.REGISTER;
    }

    /** Whether it still is what its owner wrote: guards against a bit that flipped in memory, on a disk or a way. */
    public boolean hasValidChecksum(String owner) {
        return checksum == computeChecksum(owner);
    }

    /** The checksum of what it holds by now. */
    long computeChecksum(String owner) {
        return checksum(owner, space, key, version, value, count, foldedBelow);
    }

    /** What it is found by. */
    public RecordKey recordKey() {
        return new RecordKey(space, key);
    }

    /** About how many bytes it takes in a message. */
    int estimatedBytes() {
        return 40 + key.length() + (value == null ? 0 : value.length);
    }

    /** Two cyclic checksums of different polynomials side by side: 64 bits against accidents, not against intent. */
    private static long checksum(
            String owner, RecordSpace space, String key, RecordVersion version, byte[] value, long count, long below) {
        byte[] ownerBytes = owner.getBytes(StandardCharsets.UTF_8);
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        ByteBuffer buffer =
                ByteBuffer.allocate(ownerBytes.length + keyBytes.length + (value == null ? 0 : value.length) + 48);
        buffer.putInt(ownerBytes.length)
                .put(ownerBytes)
                .putInt(space.ordinal())
                .putInt(keyBytes.length)
                .put(keyBytes)
                .putLong(version.incarnation())
                .putLong(version.sequence())
                .putLong(count)
                .putLong(below)
                .putInt(value == null ? -1 : value.length);
        if (value != null) {
            buffer.put(value);
        }
        return computeCrc(new CRC32C(), buffer) << 32 | computeCrc(new CRC32(), buffer);
    }

    private static long computeCrc(Checksum checksum, ByteBuffer buffer) {
        checksum.update(buffer.array(), 0, buffer.position());
        return checksum.getValue();
    }

    @Override
    public String toString() {
        return space + "/" + key + "@" + version.incarnation() + "." + version.sequence() + "="
                + (removed()
                        ? "gone"
                        : value == null
                                ? count + (foldedBelow == 0 ? "" : " with all below " + foldedBelow)
                                : value.length > 64
                                        ? value.length + " bytes"
                                        : new String(value, StandardCharsets.UTF_8));
    }
}

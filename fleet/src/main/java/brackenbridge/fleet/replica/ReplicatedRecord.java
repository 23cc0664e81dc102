package brackenbridge.fleet.replica;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

/**
 * The last write of one key by one incarnation of its owner. Immutable.
 *
 * @param space the space of the record
 * @param key the key within the space, at most {@link #MAX_KEY_LENGTH} characters
 * @param version incarnation and sequence number of the write
 * @param value the content of a register; null if it was removed, and for counters
 * @param count the sum that this incarnation of the owner has added, including what was folded into it; 0 for registers
 * @param foldedBelow {@code count} includes the counters of the owner's incarnations before this one; 0 if it
 *     includes none
 * @param checksum a checksum over all components and the owner's name, computed by the owner at the write
 */
public record ReplicatedRecord(
        RecordSpace space,
        String key,
        RecordVersion version,
        byte[] value,
        long count,
        long foldedBelow,
        long checksum) {
    /** The maximum length of a key in characters. */
    public static final int MAX_KEY_LENGTH = 512;
    /** The maximum size of a value in bytes. */
    public static final int MAX_VALUE_BYTES = 16 << 10;

    /** Checks bounds; the checksum is not checked, since it needs the owner's name. */
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
            throw new IllegalArgumentException("malformed record");
        }
    }

    /** Creates a record and computes its checksum. */
    public static ReplicatedRecord of(
            String owner,
            RecordSpace space,
            String key,
            RecordVersion version,
            byte[] value,
            long count,
            long foldedBelow) {
        return new ReplicatedRecord(
                space,
                key,
                version,
                value,
                count,
                foldedBelow,
                computeChecksum(owner, space, key, version, value, count, foldedBelow));
    }

    /** Whether a text can be encoded as UTF-8; an unpaired surrogate can't. */
    static boolean isEncodable(String text) {
        return text.chars()
                        .noneMatch(character ->
                                character >= Character.MIN_SURROGATE && character <= Character.MAX_SURROGATE)
                || StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    /** Whether this is a tombstone, which marks the removal of its key. */
    public boolean removed() {
        return value == null && space.kind() == RecordSpace.Kind.REGISTER;
    }

    /** Whether the checksum matches the content. Guards against bits flipped in memory, on disk or in transit. */
    public boolean hasValidChecksum(String owner) {
        return checksum == computeChecksum(owner);
    }

    /** Computes the checksum of the present content. */
    long computeChecksum(String owner) {
        return computeChecksum(owner, space, key, version, value, count, foldedBelow);
    }

    /** The key of this record including its space. */
    public RecordKey recordKey() {
        return new RecordKey(space, key);
    }

    /** The approximate size of this record in a message, in bytes. */
    int estimatedBytes() {
        return 40 + key.length() + (value == null ? 0 : value.length);
    }

    /** Combines CRC-32C and CRC-32 to 64 bits, which detect accidental changes but not deliberate ones. */
    private static long computeChecksum(
            String owner,
            RecordSpace space,
            String key,
            RecordVersion version,
            byte[] value,
            long count,
            long foldedBelow) {
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
                .putLong(foldedBelow)
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
                        ? "removed"
                        : value == null
                                ? count + (foldedBelow == 0 ? "" : " including incarnations before " + foldedBelow)
                                : value.length > 64
                                        ? value.length + " bytes"
                                        : new String(value, StandardCharsets.UTF_8));
    }
}

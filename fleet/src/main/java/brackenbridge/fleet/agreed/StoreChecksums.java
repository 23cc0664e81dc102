package brackenbridge.fleet.agreed;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/** Stored values with a checksum each, over key and value: the store's own cover its pages' heads only. */
final class StoreChecksums {
    private static final int CHECKSUM_BYTES = 4;

    private StoreChecksums() {}

    /** The value behind its checksum. */
    static byte[] withChecksum(String key, byte[] value) {
        return ByteBuffer.allocate(value.length + CHECKSUM_BYTES)
                .putInt(crc(key, value, 0))
                .put(value)
                .array();
    }

    /**
     * The value of a sealed one.
     *
     * @throws VoterStore.Damaged if the checksum is not that of this key and value
     */
    static byte[] verifiedValue(String key, byte[] stored) throws VoterStore.DamagedDiskException {
        if (stored.length < CHECKSUM_BYTES || ByteBuffer.wrap(stored).getInt() != crc(key, stored, CHECKSUM_BYTES)) {
            throw new VoterStore.DamagedDiskException("checksum of " + key, null);
        }
        return Arrays.copyOfRange(stored, CHECKSUM_BYTES, stored.length);
    }

    /** CRC-32C of a key and of the bytes from an offset on. */
    static int crc(String key, byte[] bytes, int from) {
        CRC32C checksum = new CRC32C();
        checksum.update(key.getBytes(StandardCharsets.UTF_8));
        checksum.update(bytes, from, bytes.length - from);
        return (int) checksum.getValue();
    }
}

package brackenbridge.fleet.agreed;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Stores each value with a checksum of its key and content, because the checksums of the store itself cover only the
 * headers of its pages.
 */
final class StoreChecksums {
    private static final int CHECKSUM_BYTES = 4;

    private StoreChecksums() {}

    /** Prepends the checksum to a value. */
    static byte[] withChecksum(String key, byte[] value) {
        return ByteBuffer.allocate(value.length + CHECKSUM_BYTES)
                .putInt(crc(key, value, 0))
                .put(value)
                .array();
    }

    /**
     * Verifies the checksum of a stored value and returns the value without it.
     *
     * @throws VoterStore.DamagedDiskException if the checksum does not match
     */
    static byte[] verifiedValue(String key, byte[] stored) throws VoterStore.DamagedDiskException {
        if (stored.length < CHECKSUM_BYTES || ByteBuffer.wrap(stored).getInt() != crc(key, stored, CHECKSUM_BYTES)) {
            throw new VoterStore.DamagedDiskException("checksum mismatch of '" + key + "'", null);
        }
        return Arrays.copyOfRange(stored, CHECKSUM_BYTES, stored.length);
    }

    /** CRC-32C of a key and of the bytes starting at an offset. */
    static int crc(String key, byte[] bytes, int from) {
        CRC32C checksum = new CRC32C();
        checksum.update(key.getBytes(StandardCharsets.UTF_8));
        checksum.update(bytes, from, bytes.length - from);
        return (int) checksum.getValue();
    }
}

package brackenbridge.fleet.agreed;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Arrays;

/** The number of forced writes, in a file next to the store with two slots that are written alternately. */
final class WriteMark {
    /** Name of the file, and key of its checksums. */
    static final String FILE = "agreed.mark";
    /** The slots are in different sectors, so that a torn write destroys at most one. */
    private static final int SECTOR_BYTES = 4096;

    private static final int SLOTS = 2;
    /** Length of a slot: a count of 8 bytes and its checksum. */
    private static final int SLOT_BYTES = 12;

    private static final int COUNT_BYTES = 8;

    private final FileChannel channel;

    /** Creates a mark in this file; null disables it. */
    WriteMark(FileChannel channel) {
        this.channel = channel;
    }

    /** Reads the highest count that was forced; 0 if there is none. */
    long read() throws IOException {
        long highest = 0;
        for (int slot = 0; channel != null && slot < SLOTS; slot++) {
            ByteBuffer bytes = ByteBuffer.allocate(SLOT_BYTES);
            channel.read(bytes, (long) slot * SECTOR_BYTES);
            if (bytes.position() == SLOT_BYTES && bytes.getInt(COUNT_BYTES) == checksum(bytes)) {
                highest = Math.max(highest, bytes.getLong(0));
            }
        }
        return highest;
    }

    /** Writes a count and forces it to the disk. */
    void force(long count) throws IOException {
        if (channel == null) {
            return;
        }
        ByteBuffer bytes = ByteBuffer.allocate(SLOT_BYTES).putLong(count);
        bytes.putInt(checksum(bytes)).flip();
        channel.write(bytes, count % SLOTS * SECTOR_BYTES);
        channel.force(false);
    }

    private static int checksum(ByteBuffer slot) {
        return StoreChecksums.crc(FILE, Arrays.copyOf(slot.array(), COUNT_BYTES), 0);
    }
}

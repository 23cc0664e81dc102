package brackenbridge.fleet.peer;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Small parts of the wire that several readers share. */
final class WireFormat {
    private WireFormat() {}

    /** A reader's body: faults of the bytes come as {@link WireException} only. */
    @FunctionalInterface
    interface Reader<T> {
        T read(ByteBuffer in) throws WireException;
    }

    /** Reads the whole array; what is short or has bytes left over is a fault. */
    static <T> T readAll(byte[] bytes, Reader<T> body) throws WireException {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            T value = body.read(in);
            if (in.hasRemaining()) {
                throw new WireException(in.remaining() + " bytes too many");
            }
            return value;
        } catch (BufferUnderflowException e) {
            throw new WireException("ends too early");
        }
    }

    static int crc32c(byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }

    /** A text with its length before it, one byte. */
    static void text(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > 255) {
            throw new IllegalArgumentException("a text of " + bytes.length + " bytes");
        }
        out.put((byte) bytes.length).put(bytes);
    }

    static String text(ByteBuffer in) throws WireException {
        byte[] bytes = new byte[in.get() & 0xff];
        in.get(bytes);
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new WireException("a text that is not UTF-8");
        }
    }

    /** A name: not empty, bounded. */
    static String readName(ByteBuffer in) throws WireException {
        String name = text(in);
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > PeerLimits.MAX_NAME_BYTES) {
            throw new WireException("a name that is empty or too long");
        }
        return name;
    }

    static double readDurationMs(ByteBuffer in) throws WireException {
        float ms = in.getFloat();
        if (!(ms >= 0) || Float.isInfinite(ms)) {
            throw new WireException("a length of time that is none");
        }
        return ms;
    }
}

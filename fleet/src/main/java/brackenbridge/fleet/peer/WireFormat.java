package brackenbridge.fleet.peer;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Encoding and decoding of primitive fields shared by several messages. */
final class WireFormat {
    private WireFormat() {}

    /** Decodes a value; malformed bytes are reported as {@link WireException}. */
    @FunctionalInterface
    interface Reader<T> {
        T read(ByteBuffer in) throws WireException;
    }

    /** Decodes the complete array; missing and surplus bytes are malformed. */
    static <T> T readAll(byte[] bytes, Reader<T> body) throws WireException {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            T value = body.read(in);
            if (in.hasRemaining()) {
                throw new WireException(in.remaining() + " surplus bytes");
            }
            return value;
        } catch (BufferUnderflowException e) {
            throw new WireException("truncated data");
        }
    }

    static int crc32c(byte[] bytes, int from, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, from, length);
        return (int) checksum.getValue();
    }

    /** Writes a text in UTF-8, preceded by its length in one byte. */
    static void writeText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > 255) {
            throw new IllegalArgumentException("text of " + bytes.length + " bytes exceeds the limit of 255");
        }
        out.put((byte) bytes.length).put(bytes);
    }

    static String readText(ByteBuffer in) throws WireException {
        byte[] bytes = new byte[in.get() & 0xff];
        in.get(bytes);
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new WireException("text is not valid UTF-8");
        }
    }

    /** Reads a name, which is neither empty nor longer than {@link PeerLimits#MAX_NAME_BYTES}. */
    static String readName(ByteBuffer in) throws WireException {
        String name = readText(in);
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > PeerLimits.MAX_NAME_BYTES) {
            throw new WireException("name is empty or longer than " + PeerLimits.MAX_NAME_BYTES + " bytes");
        }
        return name;
    }

    static double readDurationMs(ByteBuffer in) throws WireException {
        float ms = in.getFloat();
        if (!(ms >= 0) || Float.isInfinite(ms)) {
            throw new WireException("invalid duration " + ms);
        }
        return ms;
    }
}

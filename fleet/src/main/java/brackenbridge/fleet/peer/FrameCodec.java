package brackenbridge.fleet.peer;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;

/**
 * Encodes and decodes frames: length of the body (4 bytes), stream (1), CRC32C of the body (4), CRC32C of these nine
 * bytes (4), the body. The header has a checksum of its own so that a corrupted length is detected at once, not after a
 * wait for bytes that never arrive. All numbers are big-endian.
 */
final class FrameCodec {
    static final int HEADER_BYTES = 13;
    private static final MessageStream[] STREAMS = MessageStream.values();

    private FrameCodec() {}

    /** A frame: a message body and its stream. */
    record Frame(MessageStream stream, byte[] body) {}

    /** Returns the header of a frame with this body. */
    static byte[] encodeHeader(MessageStream stream, byte[] body) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES);
        out.putInt(body.length).put((byte) stream.ordinal()).putInt(WireFormat.crc32c(body, 0, body.length));
        out.putInt(WireFormat.crc32c(out.array(), 0, HEADER_BYTES - 4));
        return out.array();
    }

    /**
     * Reads the next frame.
     *
     * @throws WireException if the frame is malformed or longer than the limit
     * @throws EOFException at the end of the stream, also within a frame
     */
    static Frame read(InputStream in, int maxBodyBytes) throws IOException {
        byte[] header = in.readNBytes(HEADER_BYTES);
        if (header.length < HEADER_BYTES) {
            throw new EOFException(header.length == 0 ? "end of stream" : "end of stream within a frame header");
        }
        ByteBuffer fields = ByteBuffer.wrap(header);
        int length = fields.getInt();
        int stream = fields.get() & 0xff;
        int checksum = fields.getInt();
        if (fields.getInt() != WireFormat.crc32c(header, 0, HEADER_BYTES - 4)) {
            throw new WireException("frame header checksum mismatch");
        }
        if (length < 0 || length > maxBodyBytes) {
            throw new WireException(
                    "frame of " + (length & 0xffffffffL) + " bytes exceeds the limit of " + maxBodyBytes);
        }
        if (stream >= STREAMS.length) {
            throw new WireException("unknown stream " + stream);
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("end of stream within a frame body");
        }
        if (WireFormat.crc32c(body, 0, length) != checksum) {
            throw new WireException("frame body checksum mismatch");
        }
        return new Frame(STREAMS[stream], body);
    }
}

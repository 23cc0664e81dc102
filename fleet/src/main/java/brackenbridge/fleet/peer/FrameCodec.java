package brackenbridge.fleet.peer;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;

/**
 * Messages on the wire: length of the body (4 bytes), stream (1), CRC32C of the body (4), CRC32C of these nine bytes
 * (4), the body. The head has a sum of its own so that a spoilt length is found at once and not after a wait for bytes
 * that never come. All numbers are big-endian.
 */
final class FrameCodec {
    static final int HEADER_BYTES = 13;
    private static final MessageStream[] STREAMS = MessageStream.values();

    private FrameCodec() {}

    /** One message. */
    record Frame(MessageStream stream, byte[] body) {}

    /** The bytes that go before the body. */
    static byte[] encodeHeader(MessageStream stream, byte[] body) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES);
        out.putInt(body.length).put((byte) stream.ordinal()).putInt(WireFormat.crc32c(body, 0, body.length));
        out.putInt(WireFormat.crc32c(out.array(), 0, HEADER_BYTES - 4));
        return out.array();
    }

    /**
     * The next message.
     *
     * @throws WireException for anything that is not one, or is longer than the limit
     * @throws EOFException at the end, also within a message
     */
    static Frame read(InputStream in, int most) throws IOException {
        byte[] head = in.readNBytes(HEADER_BYTES);
        if (head.length < HEADER_BYTES) {
            throw new EOFException(head.length == 0 ? "ended" : "ended within a message");
        }
        ByteBuffer fields = ByteBuffer.wrap(head);
        int length = fields.getInt();
        int stream = fields.get() & 0xff;
        int sum = fields.getInt();
        if (fields.getInt() != WireFormat.crc32c(head, 0, HEADER_BYTES - 4)) {
            throw new WireException("the sum of a message's head is wrong");
        }
        if (length < 0 || length > most) {
            throw new WireException("a message of " + (length & 0xffffffffL) + " bytes");
        }
        if (stream >= STREAMS.length) {
            throw new WireException("a message in the unknown stream " + stream);
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("ended within a message");
        }
        if (WireFormat.crc32c(body, 0, length) != sum) {
            throw new WireException("the sum of a message is wrong");
        }
        return new Frame(STREAMS[stream], body);
    }
}

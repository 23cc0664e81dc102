package brackenbridge.fleet.peer;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The handshake that precedes the frames of a connection. The dialer sends a {@link Hello}, the accepting member its
 * own hello as a welcome, the dialer {@link Ready}; each may send {@link Reject} instead. On the wire: magic (4 bytes),
 * length (2), kind, lowest and highest supported version (1 each), the fields, CRC32C of all before it (4). The header
 * must not change in later versions, so that members without a common version can still reject each other with a
 * reason.
 */
final class Handshake {
    static final int MIN_VERSION = 1;
    static final int MAX_VERSION = 1;
    /**
     * Maximum length of a handshake message: bounds the memory that an unidentified peer can make this side allocate.
     */
    static final int MAX_BYTES = 1024;

    private static final int MAGIC = 0x42425031;
    private static final int HEADER_BYTES = 9;
    private static final HandshakeRejection[] REJECTIONS = HandshakeRejection.values();

    private Handshake() {}

    /** A message of the handshake. */
    sealed interface Message permits Hello, Ready, Reject, IncompatibleVersion {}

    /**
     * Identifies the sender and the intended receiver.
     *
     * @param welcome whether it is the response to a hello
     * @param fleet name of the fleet
     * @param from name of the sender
     * @param to name of the intended receiver
     * @param address where the sender listens
     * @param incarnation the sender's incarnation
     * @param instance random number drawn at each start: distinguishes two processes of one name and incarnation
     * @param dialNumber counts the sender's dials, so that an old one that arrives late does not replace a newer one
     */
    record Hello(
            boolean welcome,
            String fleet,
            String from,
            String to,
            String address,
            long incarnation,
            long instance,
            long dialNumber)
            implements Message {}

    /** The dialer accepts the welcome: the connection is established. */
    record Ready() implements Message {}

    /**
     * The sender rejects the connection.
     *
     * @param reason the reason
     * @param incarnation the incarnation known to the rejecting side, for {@link HandshakeRejection#STALE_INCARNATION}
     * @param text an explanation for operators
     */
    record Reject(HandshakeRejection reason, long incarnation, String text) implements Message {}

    /** A message of a sender that supports no common version; its fields are not read. */
    record IncompatibleVersion(int minVersion, int maxVersion) implements Message {}

    static byte[] encode(Message message) {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        out.position(HEADER_BYTES);
        int kind = encodeFields(message, out);
        int length = out.position() - HEADER_BYTES;
        out.putInt(0, MAGIC).putShort(4, (short) length).put(6, (byte) kind).put(7, (byte) MIN_VERSION);
        out.put(8, (byte) MAX_VERSION);
        out.putInt(WireFormat.crc32c(out.array(), 0, HEADER_BYTES + length));
        return Arrays.copyOf(out.array(), out.position());
    }

    private static int encodeFields(Message message, ByteBuffer out) {
        if (message instanceof Hello hello) {
            WireFormat.writeText(out, hello.fleet());
            WireFormat.writeText(out, hello.from());
            WireFormat.writeText(out, hello.to());
            WireFormat.writeText(out, hello.address());
            out.putLong(hello.incarnation()).putLong(hello.instance()).putLong(hello.dialNumber());
            return hello.welcome() ? 2 : 1;
        }
        if (message instanceof Reject reject) {
            String text = reject.text();
            out.put((byte) reject.reason().ordinal()).putLong(reject.incarnation());
            WireFormat.writeText(out, text.length() > 80 ? text.substring(0, 80) : text);
            return 4;
        }
        return 3;
    }

    /**
     * Reads the next message.
     *
     * @throws WireException if the message is malformed
     * @throws EOFException if the other side closed the connection
     */
    static Message read(InputStream in) throws IOException {
        byte[] header = readExactly(in, HEADER_BYTES);
        ByteBuffer fields = ByteBuffer.wrap(header);
        if (fields.getInt() != MAGIC) {
            throw new WireException("not a handshake of this protocol");
        }
        int length = fields.getShort() & 0xffff;
        int kind = fields.get() & 0xff;
        int lowest = fields.get() & 0xff;
        int highest = fields.get() & 0xff;
        if (length > MAX_BYTES - HEADER_BYTES - 4) {
            throw new WireException("handshake of " + length + " bytes exceeds the limit");
        }
        byte[] rest = readExactly(in, length + 4);
        byte[] checked = Arrays.copyOf(header, HEADER_BYTES + length);
        System.arraycopy(rest, 0, checked, HEADER_BYTES, length);
        if (ByteBuffer.wrap(rest).getInt(length) != WireFormat.crc32c(checked, 0, checked.length)) {
            throw new WireException("handshake checksum mismatch");
        }
        if (lowest > highest) {
            throw new WireException("lowest version " + lowest + " is above the highest " + highest);
        }
        if (lowest > MAX_VERSION || highest < MIN_VERSION) {
            return new IncompatibleVersion(lowest, highest);
        }
        return WireFormat.readAll(Arrays.copyOf(rest, length), body -> decode(kind, body));
    }

    private static Message decode(int kind, ByteBuffer in) throws WireException {
        switch (kind) {
            case 1:
            case 2:
                return new Hello(
                        kind == 2,
                        WireFormat.readName(in),
                        WireFormat.readName(in),
                        WireFormat.readName(in),
                        WireFormat.readText(in),
                        in.getLong(),
                        in.getLong(),
                        in.getLong());
            case 3:
                return new Ready();
            case 4:
                int reasonCode = in.get() & 0xff;
                long incarnation = in.getLong();
                String text = WireFormat.readText(in);
                // Guards against a reason added in a later build: it is still a rejection.
                return new Reject(
                        reasonCode < REJECTIONS.length ? REJECTIONS[reasonCode] : HandshakeRejection.MALFORMED,
                        incarnation,
                        text);
            default:
                throw new WireException("unknown handshake kind " + kind);
        }
    }

    private static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("end of stream within the handshake");
        }
        return bytes;
    }
}

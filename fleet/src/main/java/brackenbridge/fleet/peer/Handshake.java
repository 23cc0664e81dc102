package brackenbridge.fleet.peer;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * What two members say before the first message: the dialler a {@link Hello}, the other its own hello as a welcome,
 * the dialler {@link Ready}; each of them {@link Reject} instead. On the wire: magic (4 bytes), length (2), kind,
 * lowest and highest version the sender speaks (1 each), the fields, CRC32C of all before it (4). The head stays as it
 * is in every later version, so that two versions can refuse each other in words.
 */
final class Handshake {
    static final int MIN_VERSION = 1;
    static final int MAX_VERSION = 1;
    /** Longest handshake: bounds what a stranger makes this side allocate. */
    static final int MAX_BYTES = 1024;

    private static final int MAGIC = 0x42425031;
    private static final int HEADER_BYTES = 9;
    private static final HandshakeRejection[] REJECTIONS = HandshakeRejection.values();

    private Handshake() {}

    /** One part of a handshake. */
    sealed interface Message permits Hello, Ready, Reject, IncompatibleVersion {}

    /**
     * Who speaks.
     *
     * @param welcome whether it answers a hello
     * @param fleet name of the fleet
     * @param from who speaks
     * @param to whom it means
     * @param address where the speaker listens
     * @param incarnation the speaker's life
     * @param instance drawn at each start: tells two processes of one name and life apart
     * @param dial counts the speaker's dials, so that an old one that arrives late does not replace a newer
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

    /** The link stands. */
    record Ready() implements Message {}

    /**
     * No link.
     *
     * @param why the reason
     * @param incarnation a life that the refusing side knows, for {@link HandshakeRejection#STALE_INCARNATION}
     * @param text what staff should read
     */
    record Reject(HandshakeRejection reason, long incarnation, String text) implements Message {}

    /** A part whose versions have none in common with ours: its fields are not read. */
    record IncompatibleVersion(int minVersion, int maxVersion) implements Message {}

    static byte[] encode(Message part) {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        out.position(HEADER_BYTES);
        int kind = encodeFields(part, out);
        int length = out.position() - HEADER_BYTES;
        out.putInt(0, MAGIC).putShort(4, (short) length).put(6, (byte) kind).put(7, (byte) MIN_VERSION);
        out.put(8, (byte) MAX_VERSION);
        out.putInt(WireFormat.crc32c(out.array(), 0, HEADER_BYTES + length));
        return Arrays.copyOf(out.array(), out.position());
    }

    private static int encodeFields(Message part, ByteBuffer out) {
        if (part instanceof Hello hello) {
            WireFormat.text(out, hello.fleet());
            WireFormat.text(out, hello.from());
            WireFormat.text(out, hello.to());
            WireFormat.text(out, hello.address());
            out.putLong(hello.incarnation()).putLong(hello.instance()).putLong(hello.dialNumber());
            return hello.welcome() ? 2 : 1;
        }
        if (part instanceof Reject refuse) {
            String text = refuse.text();
            out.put((byte) refuse.reason().ordinal()).putLong(refuse.incarnation());
            WireFormat.text(out, text.length() > 80 ? text.substring(0, 80) : text);
            return 4;
        }
        return 3;
    }

    /**
     * The next part.
     *
     * @throws WireException for anything that is none
     * @throws EOFException if the other has ended
     */
    static Message read(InputStream in) throws IOException {
        byte[] head = readExactly(in, HEADER_BYTES);
        ByteBuffer fields = ByteBuffer.wrap(head);
        if (fields.getInt() != MAGIC) {
            throw new WireException("no handshake of this protocol");
        }
        int length = fields.getShort() & 0xffff;
        int kind = fields.get() & 0xff;
        int lowest = fields.get() & 0xff;
        int highest = fields.get() & 0xff;
        if (length > MAX_BYTES - HEADER_BYTES - 4) {
            throw new WireException("a handshake of " + length + " bytes");
        }
        byte[] rest = readExactly(in, length + 4);
        byte[] all = Arrays.copyOf(head, HEADER_BYTES + length);
        System.arraycopy(rest, 0, all, HEADER_BYTES, length);
        if (ByteBuffer.wrap(rest).getInt(length) != WireFormat.crc32c(all, 0, all.length)) {
            throw new WireException("the sum of a handshake is wrong");
        }
        if (lowest > highest) {
            throw new WireException("versions from " + lowest + " to " + highest);
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
                        WireFormat.text(in),
                        in.getLong(),
                        in.getLong(),
                        in.getLong());
            case 3:
                return new Ready();
            case 4:
                int why = in.get() & 0xff;
                long incarnation = in.getLong();
                String text = WireFormat.text(in);
                // Guards against a reason of a later build: it is still a refusal.
                return new Reject(
                        why < REJECTIONS.length ? REJECTIONS[why] : HandshakeRejection.MALFORMED, incarnation, text);
            default:
                throw new WireException("a handshake of the unknown kind " + kind);
        }
    }

    private static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("ended within the handshake");
        }
        return bytes;
    }
}

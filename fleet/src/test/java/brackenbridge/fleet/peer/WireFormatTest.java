package brackenbridge.fleet.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class WireFormatTest {
    private static final int MAX_BYTES = 4096;
    private static final Handshake.Hello HELLO = new Handshake.Hello(false, "fleet", "a", "b", "127.0.0.1:9", 3, 5, 7);
    private static final SwimMessage SWIM_MESSAGE = new SwimMessage(
            SwimMessage.REPLY_NOW,
            9,
            8,
            12.5,
            2,
            List.of(new SwimMessage.Entry("b", 4, 5, 6, MemberStatus.SUSPECT, true, 17)),
            List.of("c", "d"));

    /** An input that records the longest read requested at once. */
    private static final class RecordingInput extends InputStream {
        final ByteArrayInputStream in;
        int longestRead;

        RecordingInput(byte[] bytes) {
            in = new ByteArrayInputStream(bytes);
        }

        @Override
        public int read() {
            return in.read();
        }

        @Override
        public int read(byte[] bytes, int from, int length) {
            longestRead = Math.max(longestRead, length);
            return in.read(bytes, from, length);
        }
    }

    private interface Reader {
        Object read(InputStream in) throws IOException;
    }

    private static void assertReadOrRejected(byte[] bytes, Reader reader) {
        RecordingInput in = new RecordingInput(bytes);
        try {
            reader.read(in);
        } catch (WireException | EOFException e) {
            assertTrue(e.getMessage() != null);
        } catch (IOException e) {
            throw new AssertionError("unexpected exception", e);
        }
        assertTrue(in.longestRead <= MAX_BYTES, "longest read: " + in.longestRead);
    }

    private static byte[] frame(byte[] body, MessageStream stream) {
        byte[] head = FrameCodec.encodeHeader(stream, body);
        byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    @Property(tries = 2000, seed = "29")
    void anyBytesAreReadOrRejected(@ForAll @Size(max = 200) byte[] bytes) {
        assertReadOrRejected(bytes, in -> FrameCodec.read(in, MAX_BYTES));
        assertReadOrRejected(bytes, Handshake::read);
        assertReadOrRejected(bytes, in -> SwimMessage.decode(bytes));
    }

    @Property(tries = 2000, seed = "29")
    void anyFieldsWithValidChecksumsAreReadOrRejected(
            @ForAll @Size(max = 120) byte[] fields, @ForAll byte kind, @ForAll int length, @ForAll byte stream) {
        ByteBuffer handshake = ByteBuffer.allocate(9 + fields.length + 4);
        handshake
                .putInt(0x42425031)
                .putShort((short) fields.length)
                .put((byte) (kind & 7))
                .put((byte) 1)
                .put((byte) 1);
        handshake.put(fields).putInt(WireFormat.crc32c(handshake.array(), 0, 9 + fields.length));
        assertReadOrRejected(handshake.array(), Handshake::read);
        ByteBuffer head = ByteBuffer.allocate(FrameCodec.HEADER_BYTES + fields.length);
        head.putInt(length)
                .put(stream)
                .putInt(0)
                .putInt(WireFormat.crc32c(head.array(), 0, 9))
                .put(fields);
        assertReadOrRejected(head.array(), in -> FrameCodec.read(in, MAX_BYTES));
    }

    @Property(tries = 1000, seed = "29")
    void aFlippedBitIsAlwaysDetected(@ForAll @IntRange(max = 1 << 20) int bitIndex) {
        byte[] body = SWIM_MESSAGE.encode();
        byte[] frame = frame(body, MessageStream.SHARE);
        byte[] hello = Handshake.encode(HELLO);
        frame[bitIndex / 8 % frame.length] ^= (byte) (1 << bitIndex % 8);
        hello[bitIndex / 8 % hello.length] ^= (byte) (1 << bitIndex % 8);
        assertThrows(IOException.class, () -> FrameCodec.read(new ByteArrayInputStream(frame), MAX_BYTES));
        assertThrows(IOException.class, () -> Handshake.read(new ByteArrayInputStream(hello)));
    }

    @Test
    void messagesSurviveEncoding() throws IOException {
        assertEquals(HELLO, Handshake.read(new ByteArrayInputStream(Handshake.encode(HELLO))));
        Handshake.Message reject = new Handshake.Reject(HandshakeRejection.STALE_INCARNATION, 9, "x".repeat(80));
        assertEquals(reject, Handshake.read(new ByteArrayInputStream(Handshake.encode(reject))));
        assertEquals(SWIM_MESSAGE, SwimMessage.decode(SWIM_MESSAGE.encode()));
        FrameCodec.Frame frame = FrameCodec.read(
                new ByteArrayInputStream(frame(SWIM_MESSAGE.encode(), MessageStream.AGREED)), MAX_BYTES);
        assertEquals(MessageStream.AGREED, frame.stream());
        assertArrayEquals(SWIM_MESSAGE.encode(), frame.body());
        byte[] laterVersion = Handshake.encode(HELLO);
        laterVersion[7] = 2;
        laterVersion[8] = 9;
        ByteBuffer.wrap(laterVersion)
                .putInt(laterVersion.length - 4, WireFormat.crc32c(laterVersion, 0, laterVersion.length - 4));
        assertInstanceOf(Handshake.IncompatibleVersion.class, Handshake.read(new ByteArrayInputStream(laterVersion)));
    }

    @Test
    void streamsShareTheConnectionByBytesAndEachIsBounded() {
        SendQueue queue = new SendQueue(1 << 20, 100);
        for (int i = 0; i < 100; i++) {
            queue.offer(MessageStream.SHARE, new byte[100]);
        }
        assertFalse(queue.offer(MessageStream.SHARE, new byte[1]), "the limit is a hundred messages");
        int queued = 0;
        while (queue.offer(MessageStream.REPLICA, new byte[100_000])) {
            queued++;
        }
        assertEquals(10, queued, "the limit in bytes");
        assertTrue(queue.offer(MessageStream.LIVENESS, new byte[1]), "each stream has limits of its own");
        assertEquals(MessageStream.LIVENESS, queue.poll().stream());
        int shareMessages = 0;
        int replicaMessages = 0;
        while (shareMessages < 100) {
            if (queue.poll().stream() == MessageStream.SHARE) {
                shareMessages++;
            } else {
                replicaMessages++;
            }
        }
        assertTrue(replicaMessages <= 1, "a megabyte was sent before ten kilobytes; messages: " + replicaMessages);
        while (replicaMessages < 10) {
            assertEquals(MessageStream.REPLICA, queue.poll().stream());
            replicaMessages++;
        }
        assertNull(queue.poll());
    }
}

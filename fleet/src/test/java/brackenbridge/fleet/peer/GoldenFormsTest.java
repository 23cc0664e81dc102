package brackenbridge.fleet.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.fleet.GoldenFiles;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the encoding of all messages between members against the golden files. */
class GoldenFormsTest {
    private static final byte[] CONTENT = {0, 1, 127, -128, -1};
    private static final int MAX_FRAME_BYTES = 1024;
    /** Listed explicitly, so that each constant keeps its golden file when it is renamed. */
    private static final List<MemberStatus> STATUSES =
            List.of(MemberStatus.UNKNOWN, MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.DEAD);

    private static final List<HandshakeRejection> REJECTIONS = List.of(
            HandshakeRejection.MALFORMED,
            HandshakeRejection.VERSION_MISMATCH,
            HandshakeRejection.FLEET_MISMATCH,
            HandshakeRejection.WRONG_MEMBER,
            HandshakeRejection.UNKNOWN_MEMBER,
            HandshakeRejection.STALE_INCARNATION,
            HandshakeRejection.DUPLICATE_NAME,
            HandshakeRejection.ALREADY_CONNECTED,
            HandshakeRejection.SHUTTING_DOWN);
    private static final List<MessageStream> STREAMS = List.of(
            MessageStream.LIVENESS,
            MessageStream.AGREED,
            MessageStream.REPLICA,
            MessageStream.SHARE,
            MessageStream.EVACUATION,
            MessageStream.CONTROL);

    @Test
    void swimMessages() throws IOException {
        assertEquals(MemberStatus.values().length, STATUSES.size());
        List<SwimMessage.Entry> entries = new ArrayList<>();
        for (MemberStatus status : STATUSES) {
            entries.add(new SwimMessage.Entry("n" + entries.size(), 1_700_000_000_001L, -9, 3, status, false, 1500.5));
        }
        entries.add(new SwimMessage.Entry("n9", 4, 5, 6, MemberStatus.DEAD, true, -1));
        SwimMessage all = new SwimMessage(
                SwimMessage.REPLY_NOW | SwimMessage.PROBE_REPLY | SwimMessage.LEAVING,
                70_000,
                69_999,
                12.5,
                3,
                entries,
                List.of("n3", "n4"));
        GoldenFiles.check("peer/beat", all, SwimMessage::encode, SwimMessage::decode);
        for (int flag : List.of(SwimMessage.REPLY_NOW, SwimMessage.PROBE_REPLY, SwimMessage.LEAVING)) {
            SwimMessage flagged = new SwimMessage(flag, 1, 0, 0, 0, List.of(), List.of());
            GoldenFiles.check("peer/beat-flag-" + flag, flagged, SwimMessage::encode, SwimMessage::decode);
        }
    }

    @Test
    void handshakes() throws IOException {
        check("hello", hello(false));
        check("welcome", hello(true));
        check("ready", new Handshake.Ready());
        assertEquals(HandshakeRejection.values().length, REJECTIONS.size());
        for (int i = 0; i < REJECTIONS.size(); i++) {
            check("refuse-" + i, new Handshake.Reject(REJECTIONS.get(i), 70_000, "n1 has begun a later life"));
        }
    }

    private static Handshake.Hello hello(boolean welcome) {
        return new Handshake.Hello(welcome, "fleet", "n1", "n2", "127.0.0.1:7000", 1_700_000_000_001L, -9, 4);
    }

    private static void check(String name, Handshake.Message message) throws IOException {
        GoldenFiles.check(
                "peer/handshake-" + name,
                message,
                Handshake::encode,
                form -> Handshake.read(new ByteArrayInputStream(form)));
    }

    @Test
    void aFrameOfEachStream() throws IOException {
        assertEquals(MessageStream.values().length, STREAMS.size());
        for (int i = 0; i < STREAMS.size(); i++) {
            GoldenFiles.check(
                    "peer/frame-" + i,
                    new FrameCodec.Frame(STREAMS.get(i), CONTENT),
                    GoldenFormsTest::encodeFrame,
                    form -> FrameCodec.read(new ByteArrayInputStream(form), MAX_FRAME_BYTES));
        }
    }

    private static byte[] encodeFrame(FrameCodec.Frame frame) {
        byte[] head = FrameCodec.encodeHeader(frame.stream(), frame.body());
        return ByteBuffer.allocate(head.length + frame.body().length)
                .put(head)
                .put(frame.body())
                .array();
    }
}

package brackenbridge.fleet.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brackenbridge.fleet.GoldenFiles;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The forms of what members say to each other on a link, against the golden files. */
class GoldenFormsTest {
    private static final byte[] CONTENT = {0, 1, 127, -128, -1};
    private static final int LONGEST = 1024;
    /** Listed one by one, so that each keeps its file when it is renamed. */
    private static final List<Standing> STANDINGS =
            List.of(Standing.UNKNOWN, Standing.ALIVE, Standing.SUSPECT, Standing.GONE);

    private static final List<Refusal> REFUSALS = List.of(
            Refusal.UNREADABLE,
            Refusal.VERSION,
            Refusal.ANOTHER_FLEET,
            Refusal.NOT_THE_ONE,
            Refusal.UNKNOWN_MEMBER,
            Refusal.OLD_LIFE,
            Refusal.DUPLICATE,
            Refusal.LINKED,
            Refusal.CLOSING);
    private static final List<Stream> STREAMS =
            List.of(Stream.LIVENESS, Stream.AGREED, Stream.REPLICA, Stream.SHARE, Stream.EVACUATION, Stream.CONTROL);

    @Test
    void beats() throws IOException {
        assertEquals(Standing.values().length, STANDINGS.size());
        List<Beat.Entry> entries = new ArrayList<>();
        for (Standing standing : STANDINGS) {
            entries.add(new Beat.Entry("n" + entries.size(), 1_700_000_000_001L, -9, 3, standing, false, 1500.5));
        }
        entries.add(new Beat.Entry("n9", 4, 5, 6, Standing.GONE, true, -1));
        Beat all =
                new Beat(Beat.NOW | Beat.ANSWER | Beat.FAREWELL, 70_000, 69_999, 12.5, 3, entries, List.of("n3", "n4"));
        GoldenFiles.check("peer/beat", all, Beat::bytes, Beat::of);
        for (int flag : List.of(Beat.NOW, Beat.ANSWER, Beat.FAREWELL)) {
            Beat flagged = new Beat(flag, 1, 0, 0, 0, List.of(), List.of());
            GoldenFiles.check("peer/beat-flag-" + flag, flagged, Beat::bytes, Beat::of);
        }
    }

    @Test
    void handshakes() throws IOException {
        check("hello", hello(false));
        check("welcome", hello(true));
        check("ready", new Handshake.Ready());
        assertEquals(Refusal.values().length, REFUSALS.size());
        for (int i = 0; i < REFUSALS.size(); i++) {
            check("refuse-" + i, new Handshake.Refuse(REFUSALS.get(i), 70_000, "n1 has begun a later life"));
        }
    }

    private static Handshake.Hello hello(boolean welcome) {
        return new Handshake.Hello(welcome, "fleet", "n1", "n2", "127.0.0.1:7000", 1_700_000_000_001L, -9, 4);
    }

    private static void check(String name, Handshake.Part part) throws IOException {
        GoldenFiles.check(
                "peer/handshake-" + name,
                part,
                Handshake::bytes,
                form -> Handshake.read(new ByteArrayInputStream(form)));
    }

    @Test
    void aFrameOfEachStream() throws IOException {
        assertEquals(Stream.values().length, STREAMS.size());
        for (int i = 0; i < STREAMS.size(); i++) {
            GoldenFiles.check(
                    "peer/frame-" + i,
                    new Frames.Frame(STREAMS.get(i), CONTENT),
                    GoldenFormsTest::written,
                    form -> Frames.read(new ByteArrayInputStream(form), LONGEST));
        }
    }

    private static byte[] written(Frames.Frame frame) {
        byte[] head = Frames.head(frame.stream(), frame.body());
        return ByteBuffer.allocate(head.length + frame.body().length)
                .put(head)
                .put(frame.body())
                .array();
    }
}

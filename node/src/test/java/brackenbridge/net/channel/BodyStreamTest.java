package brackenbridge.net.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** A body whose sinks fail: whichever gets a valid end has got the whole body. */
class BodyStreamTest {
    private static final int CONNECT = 0;
    private static final int DISCONNECT = 1;
    private static final int END = 2;

    private static final class PausableSource implements BodyStream.Source {
        private boolean reading;
        private boolean cancelled;

        @Override
        public void setReading(boolean on) {
            reading = on;
        }

        @Override
        public void onCancelled() {
            cancelled = true;
        }
    }

    private static final class RecordingSink implements BodyStream.Sink {
        private final List<Integer> received = new ArrayList<>();
        private int firstPieces;
        private Boolean complete;

        @Override
        public void onFirstPiece() {
            firstPieces++;
        }

        @Override
        public void write(ByteBuf piece) {
            received.add((int) piece.readByte());
            piece.release();
        }

        @Override
        public void flush() {}

        @Override
        public void onEnd(boolean isComplete) {
            complete = isComplete;
        }
    }

    /** Guards against running a part of a body as the whole: no piece of it may be lost with a failed attempt. */
    @Property(seed = "72", tries = 2000)
    void sinkWithAValidEndHasReceivedTheWholeBody(@ForAll @Size(max = 12) List<@IntRange(max = 6) Integer> steps) {
        PausableSource source = new PausableSource();
        BodyStream stream = new BodyStream(source);
        List<Integer> sent = new ArrayList<>();
        List<ByteBuf> pieces = new ArrayList<>();
        List<RecordingSink> sinks = new ArrayList<>();
        boolean connected = false;
        boolean ended = false;
        for (int step : steps) {
            if (step == CONNECT && !connected) {
                sinks.add(new RecordingSink());
                stream.connect(sinks.get(sinks.size() - 1));
                connected = true;
            } else if (step == DISCONNECT && connected) {
                stream.disconnect();
                connected = false;
                assertFalse(source.reading && !source.cancelled && !ended, "read without a sink");
            } else if (step == END && !ended) {
                stream.end(true);
                ended = true;
            } else if (step > END && !ended) {
                sent.add(sent.size());
                pieces.add(Unpooled.buffer(1).writeByte(sent.size() - 1));
                stream.add(pieces.get(pieces.size() - 1));
            }
        }
        for (RecordingSink sink : sinks) {
            assertEquals(sink.received.isEmpty() ? 0 : 1, sink.firstPieces);
            if (Boolean.TRUE.equals(sink.complete)) {
                assertEquals(sent, sink.received);
            }
        }
        stream.cancel();
        assertEquals(0, pieces.stream().mapToInt(ByteBuf::refCnt).sum(), "buffers are released");
    }
}

package brackenbridge.net.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** The share of each streamed body in the bytes that may wait. */
class StreamBudgetTest {
    private final StreamBudget budget = new StreamBudget();

    @Test
    void manyStreamsShareTheBudget() {
        for (int streams = 1; streams <= 1000; streams++) {
            budget.open();
            assertTrue(budget.maxStreamBytes() <= StreamBudget.MAX_STREAM_BYTES);
            assertTrue((long) budget.maxStreamBytes() * streams <= StreamBudget.MAX_TOTAL_BYTES);
        }
        for (int streams = 1000; streams > 1; streams--) {
            budget.close();
        }
        assertEquals(StreamBudget.MAX_STREAM_BYTES, budget.maxStreamBytes());
    }

    /** A channel that writes nothing. */
    private static final class StuckChannel extends ChannelOutboundHandlerAdapter {
        @Override
        public void flush(ChannelHandlerContext context) {
            // What was written stays in the channel's buffer.
        }
    }

    @Test
    void streamPausesAtItsShare() {
        EmbeddedChannel channel = new EmbeddedChannel(new StuckChannel());
        budget.open();
        channel.write(Unpooled.wrappedBuffer(new byte[StreamBudget.MAX_STREAM_BYTES / 2]));
        assertFalse(budget.isExceededBy(channel));
        for (int i = 0; i < 200; i++) {
            budget.open();
        }
        assertTrue(budget.isExceededBy(channel));
        channel.close();
    }
}

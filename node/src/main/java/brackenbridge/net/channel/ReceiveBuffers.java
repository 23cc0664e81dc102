package brackenbridge.net.channel;

import io.netty.channel.AdaptiveRecvByteBufAllocator;

/** Limits how much is read from one connection before the next one is read. */
public final class ReceiveBuffers {
    /**
     * Maximum reads of one connection per turn of the event loop; fewer reads mean that all available bytes were read.
     */
    public static final int MAX_READS_PER_TURN = 4;

    private static final int SMALLEST_BYTES = 512;
    private static final int INITIAL_BYTES = 2048;
    private static final int LARGEST_BYTES = 8192;

    private ReceiveBuffers() {}

    /**
     * Returns an allocator whose limits guard memory and well-behaved clients against clients that send at full speed.
     */
    public static AdaptiveRecvByteBufAllocator allocator() {
        AdaptiveRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(SMALLEST_BYTES, INITIAL_BYTES, LARGEST_BYTES);
        allocator.maxMessagesPerRead(MAX_READS_PER_TURN);
        return allocator;
    }
}

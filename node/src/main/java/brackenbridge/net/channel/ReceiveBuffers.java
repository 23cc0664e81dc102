package brackenbridge.net.channel;

import io.netty.channel.AdaptiveRecvByteBufAllocator;

/** How much is read from one connection before the next one is served. */
public final class ReceiveBuffers {
    /** Reads of one connection before the next has its turn; fewer than these have found all that had come. */
    public static final int MAX_READS_PER_TURN = 4;

    private static final int SMALLEST_BYTES = 512;
    private static final int INITIAL_BYTES = 2048;
    private static final int LARGEST_BYTES = 8192;

    private ReceiveBuffers() {}

    /** An allocator whose bounds protect memory and well-behaved clients from those that send at full speed. */
    public static AdaptiveRecvByteBufAllocator allocator() {
        AdaptiveRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(SMALLEST_BYTES, INITIAL_BYTES, LARGEST_BYTES);
        allocator.maxMessagesPerRead(MAX_READS_PER_TURN);
        return allocator;
    }
}

package brackenbridge.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;

/** How much is read from one connection before the next one is served. */
final class ReceiveBuffers {
    private static final int SMALLEST_BYTES = 512;
    private static final int INITIAL_BYTES = 2048;
    private static final int LARGEST_BYTES = 8192;

    private ReceiveBuffers() {}

    /** An allocator whose bounds protect memory and well-behaved clients from those that send at full speed. */
    static AdaptiveRecvByteBufAllocator allocator() {
        AdaptiveRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(SMALLEST_BYTES, INITIAL_BYTES, LARGEST_BYTES);
        allocator.maxMessagesPerRead(Listener.READS_A_TURN);
        return allocator;
    }
}

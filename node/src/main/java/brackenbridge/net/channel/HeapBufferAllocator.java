package brackenbridge.net.channel;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;

/**
 * Allocates all buffers of a node's connections on the heap, those for socket I/O too. Bytes that wait for a slow peer
 * stay in the buffers that they were received in; in direct memory, whose limit is much lower, a few slow peers would
 * leave no buffer to any other connection.
 */
public final class HeapBufferAllocator extends PooledByteBufAllocator {
    private static final int PAGE_BYTES = 8192;
    /** Chunks of 1 MB instead of 4 MB: a node needs few, and each counts against its memory limit. */
    private static final int CHUNK_ORDER = 7;

    private static final int CACHED_SMALL_BUFFERS = 64;
    private static final int CACHED_NORMAL_BUFFERS = 32;

    /** Creates an allocator for connections of one event loop. */
    public HeapBufferAllocator() {
        super(false, 1, 0, PAGE_BYTES, CHUNK_ORDER, CACHED_SMALL_BUFFERS, CACHED_NORMAL_BUFFERS, false);
    }

    @Override
    public ByteBuf ioBuffer() {
        return heapBuffer();
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity) {
        return heapBuffer(initialCapacity);
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity, int maxCapacity) {
        return heapBuffer(initialCapacity, maxCapacity);
    }
}

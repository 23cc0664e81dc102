package brackenbridge.net.channel;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Limits the bytes of all streamed bodies in one direction that wait to be written, by limiting each stream to its
 * share. Guards the node's memory against many peers that read slowly. Used on the event loop only.
 */
public final class StreamBudget {
    /** For all streams together. */
    static final int MAX_TOTAL_BYTES = 4 * 1024 * 1024;
    /** For one stream, however few there are; a stream always gets one read's worth. */
    static final int MAX_STREAM_BYTES = 64 * 1024;

    private int streams;

    /** Counts a stream that begins. */
    public void open() {
        streams++;
    }

    /** Counts a stream that has ended. */
    public void close() {
        streams--;
    }

    /** The most bytes that may wait to be written to one peer. */
    int maxStreamBytes() {
        return Math.min(MAX_STREAM_BYTES, MAX_TOTAL_BYTES / Math.max(1, streams));
    }

    /** Whether so many bytes wait to be written on this channel that its stream has to pause. */
    public boolean isExceededBy(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer != null && buffer.totalPendingWriteBytes() >= maxStreamBytes();
    }
}

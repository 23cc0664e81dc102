package brackenbridge.lab.live;

import brackenbridge.lab.model.Scheduler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;

/** Reads from a connection, or writes to it, at a steady rate. Used on its event loop. */
public final class SteadyTransfer {
    private static final int WRITTEN_BYTES = 2048;
    private static final double MS_PER_S = 1000;

    private final Channel channel;
    private final Scheduler scheduler;

    /** Transfers on this connection. */
    public SteadyTransfer(Channel channel, Scheduler scheduler) {
        this.channel = channel;
        this.scheduler = scheduler;
    }

    /** Limits what the system holds for the connection, and each read. */
    public void limitReads(int receiveBufferBytes, int readBytes) {
        channel.config().setOption(ChannelOption.SO_RCVBUF, receiveBufferBytes);
        channel.config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(readBytes).maxMessagesPerRead(1));
    }

    /** Pauses after a read of so many bytes, as long as they take at this rate. */
    public void pauseAfterRead(int bytes, int bytesPerSecond) {
        channel.config().setAutoRead(false);
        scheduler.at(
                scheduler.nowMs() + bytes * MS_PER_S / bytesPerSecond,
                () -> channel.config().setAutoRead(true));
    }

    /** Reads no more, for good. */
    public void stopReading() {
        channel.config().setAutoRead(false);
    }

    /** Writes these bytes at this rate, 0 for at once; runs the task after the last one. */
    void write(ByteBuf bytes, int bytesPerSecond, Runnable whenWritten) {
        if (!channel.isActive()) {
            bytes.release();
            return;
        }
        if (bytesPerSecond == 0 || bytes.readableBytes() <= WRITTEN_BYTES) {
            channel.writeAndFlush(bytes).addListener(done -> {
                if (done.isSuccess()) {
                    whenWritten.run();
                }
            });
            return;
        }
        channel.writeAndFlush(Unpooled.copiedBuffer(bytes.readSlice(WRITTEN_BYTES)));
        scheduler.at(
                scheduler.nowMs() + WRITTEN_BYTES * MS_PER_S / bytesPerSecond,
                () -> write(bytes, bytesPerSecond, whenWritten));
    }
}

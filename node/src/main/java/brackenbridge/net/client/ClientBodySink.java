package brackenbridge.net.client;

import brackenbridge.core.Event.ResponseEnd;
import brackenbridge.http.HttpEncoder;
import brackenbridge.net.channel.BodyStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;

/** Writes the body of a streamed response at the rate at which its client reads it. */
final class ClientBodySink implements BodyStream.Sink {
    private final ResponseWriter writer;
    private final Channel channel;
    private final boolean chunked;
    private final boolean lengthUnknown;
    private final boolean close;

    /** Creates a sink that writes chunked or raw bytes; {@code close} closes the connection after the body. */
    ClientBodySink(ResponseWriter writer, Channel channel, boolean chunked, boolean lengthUnknown, boolean close) {
        this.writer = writer;
        this.channel = channel;
        this.chunked = chunked;
        this.lengthUnknown = lengthUnknown;
        this.close = close;
    }

    @Override
    public void write(ByteBuf piece) {
        if (chunked && piece.isReadable()) {
            channel.write(HttpEncoder.chunkHead(channel.alloc(), piece.readableBytes()));
            channel.write(piece);
            channel.write(HttpEncoder.chunkEnd(channel.alloc()));
        } else {
            channel.write(piece);
        }
    }

    @Override
    public void flush() {
        ChannelFuture flushed = channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
        writer.pauseDownloadIfUnread();
        flushed.addListener(f -> writer.resumeDownload());
    }

    @Override
    public void onEnd(boolean complete) {
        writer.onDownloadEnd();
        if (complete) {
            channel.writeAndFlush(chunked ? HttpEncoder.lastChunk(channel.alloc()) : Unpooled.EMPTY_BUFFER)
                    .addListener(
                            f -> writer.onWritten(f.isSuccess() ? ResponseEnd.COMPLETE : ResponseEnd.ABANDONED, close));
            return;
        }
        // The body ends before its declared length or without its last chunk. If the body is delimited by the end of
        // the connection, only a reset tells the client that it is truncated.
        if (!chunked && lengthUnknown) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> writer.onWritten(ResponseEnd.TRUNCATED, true));
    }
}

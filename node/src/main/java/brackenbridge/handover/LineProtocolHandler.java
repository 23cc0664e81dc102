package brackenbridge.handover;

import brackenbridge.counters.RejectionReason;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** One end of a handover connection: writes lines, and reads lines of bounded length. */
abstract class LineProtocolHandler extends ChannelInboundHandlerAdapter {
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Called when a line has been received. */
    abstract void onLine(Channel channel, String text);

    /** Called when invalid input has been received and the connection is closed. */
    abstract void onRejected(RejectionReason reason);

    /** Called when the connection has been closed. */
    abstract void onClosed(Channel channel);

    /** Writes a line and flushes it. */
    static void writeLine(Channel channel, String text) {
        channel.writeAndFlush(Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        ByteBuf in = (ByteBuf) msg;
        try {
            while (in.isReadable() && ctx.channel().isActive()) {
                byte next = in.readByte();
                if (next == '\n') {
                    String text = line.toString(StandardCharsets.UTF_8);
                    line.reset();
                    onLine(ctx.channel(), text);
                } else if (line.size() < MAX_LINE_BYTES) {
                    line.write(next);
                } else {
                    onRejected(RejectionReason.OVERSIZED);
                    line.reset();
                    ctx.close();
                }
            }
        } finally {
            in.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (line.size() > 0) {
            onRejected(RejectionReason.TRUNCATED);
        }
        onClosed(ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}

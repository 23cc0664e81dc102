package brackenbridge.handover;

import brackenbridge.counters.RejectionReason;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** One end of a handover's connection: lines in and out, bounded. */
abstract class LineProtocolHandler extends ChannelInboundHandlerAdapter {
    private static final int LONGEST = 1 << 20;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** A line has come. */
    abstract void line(Channel channel, String text);

    /** What came can't be used, and the connection ends. */
    abstract void refused(RejectionReason why);

    /** The connection has ended. */
    abstract void ended(Channel channel);

    static void say(Channel channel, String text) {
        channel.writeAndFlush(Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        ByteBuf in = (ByteBuf) msg;
        try {
            while (in.isReadable() && ctx.channel().isActive()) {
                byte b = in.readByte();
                if (b == '\n') {
                    String text = line.toString(StandardCharsets.UTF_8);
                    line.reset();
                    line(ctx.channel(), text);
                } else if (line.size() < LONGEST) {
                    line.write(b);
                } else {
                    refused(RejectionReason.OVERSIZED);
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
            refused(RejectionReason.TRUNCATED);
        }
        ended(ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}

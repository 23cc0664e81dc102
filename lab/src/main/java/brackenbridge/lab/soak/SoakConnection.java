package brackenbridge.lab.soak;

import brackenbridge.http.HttpException;
import brackenbridge.http.HttpResponse;
import brackenbridge.http.ResponseDecoder;
import brackenbridge.lab.live.StandInHttp;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;

/** A client's connection to the node. */
final class SoakConnection extends ChannelInboundHandlerAdapter {
    /** Hears what comes of the connection, on the play's event loop. */
    interface Listener {
        /** It is there. */
        void connected(SoakConnection connection);

        /** It was refused, reset or not answered. */
        void notConnected(Throwable cause);

        /** An answer has come whole. */
        void answered(SoakConnection connection, HttpResponse response);

        /** It has ended. */
        void ended(SoakConnection connection);
    }

    private final Listener listener;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private Channel channel;
    private boolean midAnswer;
    private int answers;

    private SoakConnection(Listener listener) {
        this.listener = listener;
    }

    static void open(ClientSetting setting, InetSocketAddress to, Listener listener) {
        SoakConnection connection = new SoakConnection(listener);
        StandInHttp.bootstrap(setting.loop()).handler(connection).connect(to).addListener(done -> {
            if (done.isSuccess()) {
                connection.channel = ((ChannelFuture) done).channel();
                listener.connected(connection);
            } else {
                listener.notConnected(done.cause());
            }
        });
    }

    void write(byte[] bytes) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    void close() {
        channel.close();
    }

    boolean isOpen() {
        return channel.isActive();
    }

    /** Whether a part of an answer has come, and not its end. */
    boolean isMidAnswer() {
        return midAnswer;
    }

    /** The client's port. */
    int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Answers that have come. */
    int answers() {
        return answers;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            while (in.isReadable()) {
                midAnswer = true;
                if (!decoder.decode(in)) {
                    break;
                }
                midAnswer = false;
                answers++;
                listener.answered(this, decoder.takeResponse());
            }
        } catch (HttpException e) {
            context.close();
        } finally {
            in.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (channel != null) {
            listener.ended(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}

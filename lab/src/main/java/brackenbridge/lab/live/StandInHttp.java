package brackenbridge.lab.live;

import brackenbridge.http.Headers;
import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpRequest;
import brackenbridge.http.RequestDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** What stand-ins share: listening on loopback, and reading one request after another from a connection. */
public final class StandInHttp {
    private StandInHttp() {}

    /** A connection's server side: one request at a time. */
    abstract static class Serving extends ChannelInboundHandlerAdapter {
        private final RequestDecoder decoder = new RequestDecoder();
        private ByteBuf pending;
        private boolean busy;
        private boolean headSeen;
        Channel channel;

        /** A request has come whole; the answer is to be written by {@link #answer}. */
        abstract void request(HttpRequest r);

        /** The head of a request has come, and not all of its body. */
        void head(HttpRequest r) {}

        /** The connection has ended. */
        abstract void ended();

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf in = (ByteBuf) msg;
            if (pending == null) {
                pending = in;
            } else {
                pending.discardReadBytes().writeBytes(in);
                in.release();
            }
            read();
        }

        private void read() {
            try {
                if (!busy && pending != null && decodeRequest()) {
                    busy = true;
                    headSeen = false;
                    request(decoder.takeRequest());
                }
            } catch (HttpException e) {
                write(HttpEncoder.response(channel.alloc(), e.status(), new Headers(), new byte[0], true), true);
            }
            if (pending != null && !pending.isReadable()) {
                pending.release();
                pending = null;
            }
        }

        /** Decodes a request, of a long body only its length; returns whether it has come whole. */
        private boolean decodeRequest() throws HttpException {
            boolean whole = decoder.decode(pending);
            if (!whole && decoder.isBodyBufferFull()) {
                decoder.streamBody((from, length) -> from.skipBytes(length));
                whole = decoder.decode(pending);
            }
            if (!whole && !headSeen && decoder.awaitsBody()) {
                headSeen = true;
                head(decoder.withBody(new byte[0]));
            }
            return whole;
        }

        /** Writes an answer, and goes on to the next request. */
        void answer(int status, Headers fields, byte[] body) {
            write(HttpEncoder.response(channel.alloc(), status, fields, body, false), false);
            goOn();
        }

        /** Goes on to the next request after an answer. */
        void goOn() {
            busy = false;
            read();
        }

        void write(ByteBuf bytes, boolean close) {
            channel.writeAndFlush(bytes).addListener(f -> {
                if (close) {
                    channel.close();
                }
            });
        }

        /** Ends the connection with a reset. */
        void reset() {
            StandInHttp.reset(channel);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (pending != null) {
                pending.release();
                pending = null;
            }
            ended();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Ends a connection with a reset. */
    public static void reset(Channel channel) {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    /** Listens on an address of loopback; port 0 is any that is free. */
    static Channel listen(EventLoop loop, InetSocketAddress at, Supplier<Serving> handler) {
        ChannelFuture bound = listenLater(loop, at, handler);
        // On the loop itself the bind is done by now; waiting there would be refused.
        if (!loop.inEventLoop()) {
            bound.syncUninterruptibly();
        }
        return bound.channel();
    }

    /** The same without waiting for it. */
    static ChannelFuture listenLater(EventLoop loop, InetSocketAddress at, Supplier<Serving> handler) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 4096)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(handler.get());
                    }
                })
                .bind(at);
    }

    /** Connects from this loop. */
    public static Bootstrap bootstrap(EventLoop loop) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2000);
    }

    /** An address in the form of the platform. */
    static String dial(Channel listening) {
        return dial((InetSocketAddress) listening.localAddress());
    }

    /** The same of an address. */
    public static String dial(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    /** The address that is meant. */
    static InetSocketAddress address(String dial) {
        int colon = dial.lastIndexOf(':');
        return new InetSocketAddress(dial.substring(0, colon), Integer.parseInt(dial.substring(colon + 1)));
    }
}

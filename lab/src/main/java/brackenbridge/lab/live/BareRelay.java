package brackenbridge.lab.live;

import brackenbridge.http.Headers;
import brackenbridge.http.HttpRequest;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** What a node is measured beside: servers that answer at once, and a relay that only passes bytes on. */
public final class BareRelay {
    private BareRelay() {}

    private static EventLoop loop() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /** Listens at so many addresses and answers each request at once; returns where. */
    public static List<String> echo(int addresses) {
        EventLoop loop = loop();
        List<String> dials = new ArrayList<>();
        for (int i = 0; i < addresses; i++) {
            dials.add(StandInHttp.dial(StandInHttp.listen(loop, new InetSocketAddress("127.0.0.1", 0), Echo::new)));
        }
        return dials;
    }

    private static final class Echo extends StandInHttp.Serving {
        @Override
        void request(HttpRequest r) {
            answer(200, new Headers(), StandInAnswers.body(r.headers().get("X-Correlation-Id"), "echo"));
        }

        @Override
        void ended() {
            // Nothing is kept for a connection.
        }
    }

    /** Passes bytes on between each client's connection and one of its own to the address; returns where it listens. */
    public static String relay(InetSocketAddress to) {
        EventLoop loop = loop();
        Channel listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 4096)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel client) {
                        ChannelFuture opened = StandInHttp.bootstrap(loop)
                                .handler(new Pass(client))
                                .connect(to);
                        client.pipeline().addLast(new Pass(opened.channel()));
                        opened.addListener(f -> {
                            if (f.isSuccess()) {
                                client.config().setAutoRead(true);
                            } else {
                                client.close();
                            }
                        });
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .syncUninterruptibly()
                .channel();
        return StandInHttp.dial(listening);
    }

    private static final class Pass extends ChannelInboundHandlerAdapter {
        private final Channel other;

        Pass(Channel other) {
            this.other = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            other.writeAndFlush((ByteBuf) msg);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            other.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

package brackenbridge.mgmt;

import brackenbridge.counters.RejectionReason;
import brackenbridge.log.Log;
import brackenbridge.transport.AcceptRecovery;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The second listener: one line in, one answer out, on an event loop that no client's work stands on. */
public final class ManagementListener {
    /** Connections at once; the one that has waited longest goes when another comes. */
    private static final int CONNECTIONS = 16;
    /** Descriptors set aside for it: its connections, one that has just come, the listening socket and its loop's. */
    public static final int DESCRIPTORS = CONNECTIONS + 6;

    private static final int LONGEST_CALL = 256;
    /** A call must be whole within so long. */
    private static final long SILENCE_MS = 2000;
    /** And its answer taken within so long. */
    private static final long ANSWER_MS = 2000;

    private final AdminOperations staff;
    private final Log log;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("management", true), NioIoHandler.newFactory());
    private final Set<Channel> callers = new LinkedHashSet<>();
    private Channel server;

    /** Ready to listen; nothing happens before that. */
    public ManagementListener(AdminOperations staff, Log log) {
        this.staff = staff;
        this.log = log;
    }

    /** Listens at this address; fails if it can't. */
    public void listen(InetSocketAddress address) {
        if (address == null) {
            throw new IllegalArgumentException("mgmt: not a literal address");
        }
        server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .handler(new AcceptRecovery(log::warn))
                .option(ChannelOption.SO_BACKLOG, 256)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LONGEST_CALL))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new Caller());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        log.info("staff call at " + server.localAddress());
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Ends at once. */
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** One connection, for one call. */
    private final class Caller extends ChannelInboundHandlerAdapter {
        private final StringBuilder line = new StringBuilder();
        private boolean called;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            callers.add(ctx.channel());
            if (callers.size() > CONNECTIONS) {
                // Guards good callers against those that say nothing: the longest silent makes room.
                Channel longest = callers.iterator().next();
                callers.remove(longest);
                longest.close();
                staff.onRejectedCall(RejectionReason.SHED);
            }
            ctx.executor()
                    .schedule(
                            () -> {
                                if (!called && callers.remove(ctx.channel())) {
                                    ctx.close();
                                    staff.onRejectedCall(RejectionReason.TOO_SLOW);
                                }
                            },
                            SILENCE_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (callers.remove(ctx.channel()) && !called && !line.isEmpty()) {
                staff.onRejectedCall(RejectionReason.TRUNCATED);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf in = (ByteBuf) msg;
            try {
                while (!called && in.isReadable()) {
                    int b = in.readUnsignedByte();
                    if (b == '\n') {
                        called = true;
                        call(ctx, line.toString());
                    } else if (b >= 0x7f || b < ' ' && b != '\r') {
                        called = true;
                        refuse(ctx, RejectionReason.MALFORMED, "not a call");
                    } else if (line.length() == LONGEST_CALL) {
                        called = true;
                        refuse(ctx, RejectionReason.OVERSIZED, "not a call");
                    } else {
                        line.append((char) b);
                    }
                }
            } finally {
                in.release();
            }
        }

        private void call(ChannelHandlerContext ctx, String text) {
            String name = text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            switch (name) {
                case "PING" -> answer(ctx, staff.acceptsClients() ? "+OK\n" : "-ERR takes no clients\n");
                case "INFO" -> answer(ctx, "+OK\n" + staff.metricsText() + ".\n");
                case "LAMEDUCK", "REJOIN" ->
                    staff.drain(name.equals("LAMEDUCK"))
                            .thenAccept(taken -> ctx.executor()
                                    .execute(() -> answer(ctx, taken ? "+OK\n" : "-ERR the node is stopping\n")));
                default -> refuse(ctx, RejectionReason.UNKNOWN, "unknown call");
            }
        }

        private void refuse(ChannelHandlerContext ctx, RejectionReason why, String text) {
            staff.onRejectedCall(why);
            answer(ctx, "-ERR " + text + "\n");
        }

        private void answer(ChannelHandlerContext ctx, String text) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII))
                    .addListener(ChannelFutureListener.CLOSE);
            ctx.executor().schedule(() -> ctx.close(), ANSWER_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

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

/**
 * The listener for operators' calls; each connection carries one line with a call, and its answer. It has its own event
 * loop, so that the load of clients does not delay a call.
 */
public final class ManagementListener {
    /** Above this limit, the connection that has been open longest is closed. */
    private static final int MAX_CONNECTIONS = 16;
    /** A newly accepted connection, the listening socket and the event loop's own descriptors. */
    private static final int OTHER_DESCRIPTORS = 6;

    /** The number of descriptors that are reserved for this listener. */
    public static final int RESERVED_DESCRIPTORS = MAX_CONNECTIONS + OTHER_DESCRIPTORS;

    private static final int ACCEPT_BACKLOG = 256;
    private static final int MAX_CALL_BYTES = 256;
    /** The time from the start of a connection until its call is complete. */
    private static final long CALL_TIMEOUT_MS = 2000;
    /** The time from writing an answer until its caller has read it. */
    private static final long ANSWER_TIMEOUT_MS = 2000;

    private static final int DELETE_CHARACTER = 0x7f;

    private final AdminOperations operations;
    private final Log log;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("management", true), NioIoHandler.newFactory());
    private final Set<Channel> connections = new LinkedHashSet<>();
    private Channel server;

    /** Creates a listener that does not listen yet. */
    public ManagementListener(AdminOperations operations, Log log) {
        this.operations = operations;
        this.log = log;
    }

    /** Listens at this address; rethrows the exception of a failed bind. */
    public void listen(InetSocketAddress address) {
        if (address == null) {
            throw new IllegalArgumentException("mgmt: not a literal address");
        }
        server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .handler(new AcceptRecovery(log::warn))
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_CALL_BYTES))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new CallHandler());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        log.info("operators' calls are served at " + server.localAddress());
    }

    /** Returns the address that it listens at. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Stops listening and closes all connections. */
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Runs a task on this listener's event loop. */
    public void execute(Runnable task) {
        group.execute(task);
    }

    /** Handles a connection, which carries one call. */
    private final class CallHandler extends ChannelInboundHandlerAdapter {
        private final StringBuilder line = new StringBuilder();
        private boolean callComplete;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
            if (connections.size() > MAX_CONNECTIONS) {
                closeOldestConnection();
            }
            ctx.executor().schedule(() -> closeIncomplete(ctx), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        /** Guards callers against others that connect and send nothing. */
        private void closeOldestConnection() {
            Channel oldest = connections.iterator().next();
            connections.remove(oldest);
            oldest.close();
            operations.onRejectedCall(RejectionReason.SHED);
        }

        private void closeIncomplete(ChannelHandlerContext ctx) {
            if (!callComplete && connections.remove(ctx.channel())) {
                ctx.close();
                operations.onRejectedCall(RejectionReason.TOO_SLOW);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (connections.remove(ctx.channel()) && !callComplete && !line.isEmpty()) {
                operations.onRejectedCall(RejectionReason.TRUNCATED);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf in = (ByteBuf) msg;
            try {
                while (!callComplete && in.isReadable()) {
                    readCharacter(ctx, in.readUnsignedByte());
                }
            } finally {
                in.release();
            }
        }

        private void readCharacter(ChannelHandlerContext ctx, int character) {
            if (character == '\n') {
                callComplete = true;
                execute(ctx, line.toString());
            } else if (character >= DELETE_CHARACTER || character < ' ' && character != '\r') {
                callComplete = true;
                reject(ctx, RejectionReason.MALFORMED, "not a call");
            } else if (line.length() == MAX_CALL_BYTES) {
                callComplete = true;
                reject(ctx, RejectionReason.OVERSIZED, "not a call");
            } else {
                line.append((char) character);
            }
        }

        private void execute(ChannelHandlerContext ctx, String text) {
            String name = text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            switch (name) {
                case "PING" -> answer(ctx, operations.acceptsClients() ? "+OK\n" : "-ERR takes no clients\n");
                case "INFO" -> answer(ctx, "+OK\n" + operations.metricsText() + ".\n");
                case "LAMEDUCK" -> setDraining(ctx, true);
                case "REJOIN" -> setDraining(ctx, false);
                default -> reject(ctx, RejectionReason.UNKNOWN, "unknown call");
            }
        }

        private void setDraining(ChannelHandlerContext ctx, boolean draining) {
            operations
                    .drain(draining)
                    .thenAccept(accepted -> ctx.executor()
                            .execute(() -> answer(ctx, accepted ? "+OK\n" : "-ERR the node is stopping\n")));
        }

        private void reject(ChannelHandlerContext ctx, RejectionReason reason, String text) {
            operations.onRejectedCall(reason);
            answer(ctx, "-ERR " + text + "\n");
        }

        private void answer(ChannelHandlerContext ctx, String text) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII))
                    .addListener(ChannelFutureListener.CLOSE);
            ctx.executor().schedule(() -> ctx.close(), ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

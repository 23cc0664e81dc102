package brackenbridge.net.channel;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class SocketPollsTest {
    private static final long SLOW_TURN_NS = TimeUnit.MILLISECONDS.toNanos(20);

    private final AtomicBoolean secondRead = new AtomicBoolean();
    private final CompletableFuture<Boolean> readBeforeTask = new CompletableFuture<>();

    // Guards against a task that runs before the loop has polled again, in a turn that takes longer than the task's
    // delay.
    @Test
    void pendingBytesAreReadBeforeTheTaskRunsInASlowTurn() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        Channel server = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel child) {
                        child.pipeline().addLast(new Reader(loop));
                    }
                })
                .bind(InetAddress.getByName("127.0.0.1"), 0)
                .sync()
                .channel();
        int port = ((InetSocketAddress) server.localAddress()).getPort();
        try (Socket first = new Socket("127.0.0.1", port);
                Socket second = new Socket("127.0.0.1", port)) {
            Reader.toWrite = second;
            first.getOutputStream().write('1');
            assertTrue(readBeforeTask.get(10, TimeUnit.SECONDS), "the second client's byte was read first");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private final class Reader extends ChannelInboundHandlerAdapter {
        private static volatile Socket toWrite;
        private final EventLoop loop;

        private Reader(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
            if (toWrite == null) {
                secondRead.set(true);
                return;
            }
            Socket second = toWrite;
            toWrite = null;
            // Written after this turn's poll, so that only the next one finds it.
            write(second);
            SocketPolls.runAfterNextPoll(loop, () -> readBeforeTask.complete(secondRead.get()));
            LockSupport.parkNanos(SLOW_TURN_NS);
        }

        private void write(Socket socket) {
            try {
                socket.getOutputStream().write('2');
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}

package brackenbridge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Each outcome of a connect is reported once, on the owner's event loop. */
class ConnectAttemptTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LinkedBlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void end() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2000);
    }

    private final class RecordingListener implements ConnectAttempt.Listener {
        @Override
        public void onConnected() {
            record("connected");
        }

        @Override
        public void onConnectFailed(Throwable cause) {
            record("failed: " + cause.getMessage());
        }

        @Override
        public void onSocketUnavailable(Throwable cause) {
            record("not begun: " + cause.getCause().getMessage());
        }

        private void record(String outcome) {
            outcomes.add((loop.inEventLoop() ? "" : "on another thread, ") + outcome);
        }
    }

    private Channel connect(ChannelFactory<Channel> sockets, SocketAddress to) throws Exception {
        Bootstrap bootstrap =
                new Bootstrap().group(loop).channelFactory(sockets).handler(new ChannelInboundHandlerAdapter());
        return loop.submit(() -> {
                    Channel channel = ConnectAttempt.start(bootstrap, loop, to, new RecordingListener());
                    assertEquals(0, outcomes.size(), "the listener is not called within the call");
                    return channel;
                })
                .get(10, TimeUnit.SECONDS);
    }

    private void awaitSingleOutcome(String outcome) throws Exception {
        assertEquals(outcome, outcomes.poll(10, TimeUnit.SECONDS));
        loop.submit(() -> {}).get(10, TimeUnit.SECONDS);
        assertEquals(0, outcomes.size(), "the outcome is reported once");
    }

    @Test
    void unavailableSocketGivesNoChannelAndIsReportedOnTheLoop() throws Exception {
        SocketAddress anywhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        assertNull(connect(
                () -> {
                    throw new ChannelException("Failed to open a socket.", new SocketException("Too many open files"));
                },
                anywhere));
        awaitSingleOutcome("not begun: Too many open files");
    }

    @Test
    void failedConnectIsReportedOnTheLoopAndClosesItsChannel() throws Exception {
        SocketAddress anywhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        Channel channel = connect(
                () -> new NioSocketChannel() {
                    @Override
                    protected boolean doConnect(SocketAddress to, SocketAddress from) throws Exception {
                        throw new ConnectException("refused by the test");
                    }
                },
                anywhere);
        assertNotNull(channel);
        channel.closeFuture().get(10, TimeUnit.SECONDS);
        awaitSingleOutcome("failed: refused by the test: " + anywhere);
    }

    @Test
    void establishedConnectionIsReportedOnTheLoop() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            assertNotNull(connect(NioSocketChannel::new, server.getLocalSocketAddress()));
            awaitSingleOutcome("connected");
        }
    }
}

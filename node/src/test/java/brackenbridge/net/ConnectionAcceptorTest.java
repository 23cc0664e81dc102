package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.net.client.ConnectionAcceptor;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The listening socket is closed while clients wait in its backlog and accepts fail. */
class ConnectionAcceptorTest {
    private static final int CLIENTS = 4;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final FaultySockets sockets = new FaultySockets("127.0.0.1:1");
    private final Semaphore accepted = new Semaphore(0);
    private final AtomicInteger makeRoomCalls = new AtomicInteger();
    /** How many clients may be accepted. */
    private final AtomicInteger limit = new AtomicInteger(CLIENTS + 1);

    private final List<Double> backlogWaitsMs = new CopyOnWriteArrayList<>();
    private final List<Socket> clients = new ArrayList<>();
    private ConnectionAcceptor acceptor;

    @BeforeEach
    void listen() throws Exception {
        ServerBootstrap bootstrap = new ServerBootstrap().group(group).childHandler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel client) {
                backlogWaitsMs.add(ConnectionAcceptor.maxBacklogWaitMs(client));
                client.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelActive(ChannelHandlerContext context) {
                        accepted.release();
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        // The clients of the test may end with a reset.
                        context.close();
                    }
                });
            }
        });
        acceptor = new ConnectionAcceptor(
                bootstrap,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                Clock.system(),
                new ConnectionAcceptor.Calls(
                        sockets.calls().accept(), sockets.calls().steer()),
                new ConnectionAcceptor.ClientRoom() {
                    @Override
                    public int freeSlots() {
                        return limit.get() - accepted.availablePermits();
                    }

                    @Override
                    public void makeRoom() {
                        makeRoomCalls.incrementAndGet();
                    }
                },
                text -> {});
        group.submit(() -> acceptor.setAccepting(false)).sync();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = new Socket(
                    acceptor.address().getAddress(), acceptor.address().getPort());
            client.setSoTimeout(10_000);
            clients.add(client);
        }
    }

    @AfterEach
    void end() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2000);
    }

    private void close() throws InterruptedException {
        group.submit(acceptor::close).sync();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Software caused connection abort",
                "Too many open files",
                "No buffer space available",
                "Unknown error 512"
            })
    void failedAcceptsLeaveNoClientInTheBacklog(String error) throws Exception {
        sockets.injectFault(FaultySockets.Call.ACCEPT, 20, () -> new IOException(error));
        close();
        assertTrue(accepted.tryAcquire(CLIENTS, 10, TimeUnit.SECONDS), "accepted " + accepted.availablePermits());
        boolean shortage = !error.startsWith("Software") && !error.startsWith("Unknown");
        assertEquals(shortage ? 20 : 0, makeRoomCalls.get());
    }

    /** Guards the descriptor limit at the close: clients that don't fit are accepted once there is room for them. */
    @Test
    void clientsInTheBacklogAreAcceptedAtTheCloseAsFarAsTheyFit() throws Exception {
        limit.set(1);
        close();
        assertTrue(accepted.tryAcquire(1, 10, TimeUnit.SECONDS), "none was accepted");
        accepted.release();
        long startNs = System.nanoTime();
        while (makeRoomCalls.get() < 3) {
            assertTrue(HttpIo.millisecondsSince(startNs) < 10_000, "room was not looked for");
            Thread.onSpinWait();
        }
        assertEquals(1, accepted.availablePermits());
        limit.set(CLIENTS + 1);
        assertTrue(accepted.tryAcquire(CLIENTS, 10, TimeUnit.SECONDS), "accepted " + accepted.availablePermits());
    }

    // Guards against announcing too much time to servers for a client that waited in the backlog until the close.
    @Test
    void backlogWaitIsRecordedForClientsAcceptedAtTheClose() throws Exception {
        close();
        assertTrue(accepted.tryAcquire(CLIENTS, 10, TimeUnit.SECONDS), "accepted " + accepted.availablePermits());
        assertEquals(CLIENTS, backlogWaitsMs.size());
        backlogWaitsMs.forEach(waitMs -> assertTrue(waitMs > 0, "no wait was recorded: " + backlogWaitsMs));
    }

    @Test
    void closeCompletesWhenEveryAcceptFails() throws Exception {
        sockets.injectFault(
                FaultySockets.Call.ACCEPT, FaultySockets.ALWAYS, () -> new IOException("Too many open files"));
        close();
        for (Socket client : clients) {
            int read;
            try {
                read = client.getInputStream().read();
            } catch (java.net.SocketTimeoutException e) {
                throw new AssertionError("the listening socket was not closed", e);
            } catch (IOException e) {
                read = -1;
            }
            assertEquals(-1, read, "neither reset nor closed");
        }
        assertEquals(0, accepted.availablePermits());
    }
}

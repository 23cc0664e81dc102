package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import brackenbridge.net.channel.SocketCalls;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients connect just after a replaced process has accepted its last connection. */
class ListenerHandoverTest {
    private static final String LIVE = "GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n";
    /** The kernel distributes connections by a hash: this many reach each listening socket that still receives any. */
    private static final int CONNECTS_PER_GAP = 16;

    private static final int REPLACEMENTS = 2;
    private static final int MAX_POLLS = 5000;

    @TempDir
    private Path directory;

    private Path handoverPath;
    private final List<Node> nodes = new ArrayList<>();
    private final LinkedBlockingQueue<Socket> lateConnections = new LinkedBlockingQueue<>();
    private int port;

    @BeforeEach
    void setHandoverPath() {
        handoverPath = brackenbridge.handover.Handover.socketPath(directory.toString(), "n3", "127.0.0.1:0");
    }

    @AfterEach
    void end() {
        nodes.forEach(Node::kill);
    }

    /** The system's accept; once armed, clients connect after each call that finds the backlog empty. */
    private final class ConnectingAccept implements SocketCalls.AcceptCall {
        private volatile boolean armed;

        @Override
        public NioSocketChannel acceptNext(Channel parent, ServerSocketChannel listening) throws IOException {
            NioSocketChannel client = SocketCalls.system().accept().acceptNext(parent, listening);
            if (client == null && armed) {
                for (int i = 0; i < CONNECTS_PER_GAP; i++) {
                    Socket socket = new Socket("127.0.0.1", port);
                    socket.setSoTimeout(10_000);
                    lateConnections.add(socket);
                }
            }
            return client;
        }
    }

    private Node start(SocketCalls calls) {
        Config config = Config.parse(ConfigTest.TEXT.replace("127.0.0.1:0", "127.0.0.1:" + port));
        Clock clock = Clock.system();
        Log log = new Log(clock, new PrintStream(OutputStream.nullOutputStream()));
        Node node = new Node(config, clock, log, handoverPath, calls);
        nodes.add(node);
        node.start();
        port = node.address().getPort();
        return node;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < MAX_POLLS && !condition.getAsBoolean(); i++) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
        assertTrue(condition.getAsBoolean());
    }

    /** Guards against the reset of connections that the kernel queues between the last accept and the close. */
    @Test
    void connectBetweenTheLastAcceptAndTheCloseIsServed() throws Exception {
        SocketCalls system = SocketCalls.system();
        Node old = null;
        ConnectingAccept acceptOfOld = null;
        for (int i = 0; i <= REPLACEMENTS; i++) {
            ConnectingAccept accept = new ConnectingAccept();
            Node next = start(new SocketCalls(system.outgoing(), accept, system.steer()));
            await(next::acceptsClients);
            if (old != null) {
                acceptOfOld.armed = true;
                old.stop().get(10, TimeUnit.SECONDS);
                old.kill();
                assertTrue(
                        lateConnections.size() >= CONNECTS_PER_GAP, "connects in the gap: " + lateConnections.size());
                assertEquals(
                        List.of("HTTP/1.1 200 OK"),
                        statusLines().stream().distinct().toList());
                lateConnections.clear();
            }
            old = next;
            acceptOfOld = accept;
        }
    }

    private List<String> statusLines() {
        List<String> answers = new ArrayList<>();
        for (Socket socket : lateConnections) {
            try (socket) {
                socket.getOutputStream().write(LIVE.getBytes(StandardCharsets.US_ASCII));
                answers.add(String.valueOf(FakeServer.readMessage(socket.getInputStream()))
                        .lines()
                        .findFirst()
                        .orElse(""));
            } catch (IOException e) {
                answers.add(e.getMessage());
            }
        }
        return answers;
    }

    /**
     * If connections can't be directed, the replaced process accepts the waiting clients and closes its socket
     * immediately.
     */
    @Test
    void withoutSteeringTheListenerIsEmptiedAndClosed() throws Exception {
        SocketCalls system = SocketCalls.system();
        Node old = start(new SocketCalls(system.outgoing(), system.accept(), ListenerHandoverTest::failSteering));
        await(old::acceptsClients);
        await(start(system)::acceptsClients);
        old.stop().get(10, TimeUnit.SECONDS);
        old.kill();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(LIVE.getBytes(StandardCharsets.US_ASCII));
            assertTrue(FakeServer.readMessage(socket.getInputStream()).startsWith("HTTP/1.1 200 "));
        }
    }

    private static java.util.concurrent.CompletableFuture<Void> failSteering(InetSocketAddress address) {
        return java.util.concurrent.CompletableFuture.failedFuture(new IOException("Protocol not available"));
    }
}

package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.ConnectException;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One process replaces another while many clients connect; and any kind of file may exist at the handover path. */
class ReplacementTest {
    private static final String LIVE = "GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n";
    /** As many tries as for other awaited conditions. */
    private static final int MAX_CONNECT_TRIES = 5000;

    @TempDir
    private Path directory;

    private Path handoverPath;
    private FakeServer server;
    private int port;
    private final List<Node> nodes = new ArrayList<>();

    @BeforeEach
    void start() throws IOException {
        server = new FakeServer();
        handoverPath = brackenbridge.handover.Handover.socketPath(directory.toString(), "n3", "127.0.0.1:0");
    }

    @AfterEach
    void end() throws IOException {
        server.close();
        nodes.forEach(Node::kill);
    }

    /** Starts a node that knows version 41 of the endpoint list, or an older, empty one. */
    private Node startNode(boolean knowsList) {
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"active\"}";
        Config config = Config.parse(ConfigTest.TEXT
                .replace("127.0.0.1:0", "127.0.0.1:" + port)
                .replace("\"seq\":41", knowsList ? "\"seq\":41" : "\"seq\":3")
                .replace("\"hosts\":[]", knowsList ? "\"hosts\":[" + host + "]" : "\"hosts\":[]"));
        Clock clock = Clock.system();
        Node started =
                new Node(config, clock, new Log(clock, new PrintStream(OutputStream.nullOutputStream())), handoverPath);
        nodes.add(started);
        started.start();
        port = started.address().getPort();
        return started;
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return String.valueOf(FakeServer.readMessage(socket.getInputStream()));
        }
    }

    private static void await(java.util.function.BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < 5000 && !condition.getAsBoolean(); i++) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
        assertTrue(condition.getAsBoolean());
    }

    /**
     * Connects as a successor. The socket's file appears when the node binds, a moment before it listens: until then
     * connects are refused.
     */
    private SocketChannel connectToHandoverPath() throws IOException, InterruptedException {
        for (int i = 1; ; i++) {
            try {
                return SocketChannel.open(UnixDomainSocketAddress.of(handoverPath));
            } catch (ConnectException e) {
                if (i == MAX_CONNECT_TRIES) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(2);
            }
        }
    }

    @Test
    void twoReplacementsUnderConcurrentConnectsLoseNoConnection() throws Exception {
        Node old = startNode(true);
        AtomicInteger answered = new AtomicInteger();
        List<Exception> failed = java.util.Collections.synchronizedList(new ArrayList<>());
        Thread[] clients = new Thread[4];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = new Thread(() -> {
                while (!Thread.currentThread().isInterrupted()) {
                    try {
                        assertTrue(exchange(LIVE).startsWith("HTTP/1.1 200 "));
                        answered.incrementAndGet();
                    } catch (IOException | AssertionError e) {
                        failed.add(new Exception(e));
                        return;
                    }
                }
            });
            clients[i].start();
        }
        for (int i = 0; i < 2; i++) {
            Node next = startNode(false);
            await(next::acceptsClients);
            int before = answered.get();
            old.stop().get(10, TimeUnit.SECONDS);
            old.kill();
            await(() -> answered.get() > before + 100);
            old = next;
        }
        for (Thread t : clients) {
            t.interrupt();
            t.join();
        }
        assertEquals(List.of(), failed);
        server.responses.add("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        String back = exchange("GET /view HTTP/1.1\r\nX-Correlation-Id: 1\r\n\r\n");
        assertTrue(back.endsWith("done"), "the endpoint list was not inherited: " + back);
    }

    @Test
    void openRequestOfTheOldProcessIsAnsweredAndItsConnectionEnds() throws Exception {
        Node old = startNode(true);
        try (Socket client = new Socket("127.0.0.1", port);
                Socket idle = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(10_000);
            client.getOutputStream()
                    .write("GET /view HTTP/1.1\r\nX-Correlation-Id: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            server.nextRequest();
            await(startNode(false)::acceptsClients);
            var ended = old.stop();
            assertEquals(-1, idle.getInputStream().read(), "the idle connection was not closed");
            assertFalse(ended.isDone());
            server.responses.add("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            String back = FakeServer.readMessage(client.getInputStream());
            assertTrue(back.contains("Connection: close\r\n") && back.endsWith("done"), back);
            ended.get(10, TimeUnit.SECONDS);
        }
    }

    @Test
    void nodeStartsWhateverFileIsAtTheHandoverPath() throws Exception {
        Files.writeString(handoverPath, "garbage");
        await(startNode(true)::acceptsClients);
        await(startNode(false)::acceptsClients);
        assertTrue(exchange(LIVE).startsWith("HTTP/1.1 200 "));
        nodes.forEach(Node::kill);
        Files.deleteIfExists(handoverPath);
        ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(handoverPath))
                .close();
        await(startNode(true)::acceptsClients);
        // The file of a killed process is replaced.
        await(() -> Files.exists(handoverPath));
    }

    @Test
    void unresponsiveOrMalformedPredecessorIsIgnored() throws Exception {
        for (String message : List.of("brackenbridge-handover 1 {\"sockets\":\n", "HTTP/1.1 400\n", "")) {
            nodes.forEach(Node::kill);
            Files.deleteIfExists(handoverPath);
            try (ServerSocketChannel other = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
                other.bind(UnixDomainSocketAddress.of(handoverPath));
                Thread responder = new Thread(() -> {
                    try {
                        SocketChannel channel = other.accept();
                        channel.write(ByteBuffer.wrap(message.getBytes(StandardCharsets.US_ASCII)));
                    } catch (IOException e) {
                        return;
                    }
                });
                responder.start();
                await(startNode(true)::acceptsClients);
                responder.join();
            }
        }
    }

    @Test
    void oldProcessKeepsServingIfItsSuccessorDies() throws Exception {
        Node old = startNode(true);
        for (String secondLine : List.of("", "ready\n")) {
            await(() -> Files.exists(handoverPath));
            try (SocketChannel dying = connectToHandoverPath()) {
                dying.write(ByteBuffer.wrap(
                        ("brackenbridge-handover 1 successor\n" + secondLine).getBytes(StandardCharsets.US_ASCII)));
                ByteBuffer offer = ByteBuffer.allocate(4096);
                while (!new String(offer.array(), StandardCharsets.US_ASCII)
                        .contains(secondLine.isEmpty() ? "\n" : "go\n")) {
                    assertTrue(dying.read(offer) > 0);
                }
            }
            await(() -> Files.exists(handoverPath));
        }
        assertTrue(old.acceptsClients());
        await(startNode(false)::acceptsClients);
        assertTrue(exchange(LIVE).startsWith("HTTP/1.1 200 "));
    }
}

package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A node with one server and a clock that the test controls, and the clients that the test has connected. */
final class ClientNode implements AutoCloseable {
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    static final String LIVE = "GET /health/live HTTP/1.1\r\n\r\n";

    final PausableClock clock = new PausableClock();
    final FakeServer server = new FakeServer();
    final Node node;
    private final List<Socket> clients = new ArrayList<>();

    ClientNode() throws IOException {
        this(ConfigTest.TEXT);
    }

    /** Starts a node with this configuration and one server. */
    ClientNode(String text) throws IOException {
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"active\"}";
        node = new Node(
                Config.parse(text.replace("\"hosts\":[]", "\"hosts\":[" + host + "]")),
                clock,
                new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        node.start();
    }

    /** Returns the test configuration with this deadline for all classes, in milliseconds. */
    static String withDeadlines(long ms) {
        return ConfigTest.TEXT
                .replace("\"aim\":4000000,\"giveUp\":8000000", "\"aim\":9000,\"giveUp\":" + ms * 1000)
                .replace("\"aim\":3000000,\"giveUp\":6000000", "\"aim\":9000,\"giveUp\":" + ms * 1000);
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(node.address().getAddress(), node.address().getPort());
        socket.setSoTimeout(10_000);
        clients.add(socket);
        return socket;
    }

    static String fileRequest(String id, int leftMs, String body) {
        return "POST /file HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left-Ms: " + leftMs
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads the next response; null at the end of the connection. */
    static String readResponse(Socket socket) throws IOException {
        return FakeServer.readMessage(socket.getInputStream());
    }

    /** Makes a request that the node serves itself. */
    static void requestLive(Socket socket) throws IOException {
        send(socket, LIVE);
        assertTrue(readResponse(socket).endsWith("live\n"));
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : clients) {
            socket.close();
        }
        server.close();
        node.kill();
    }
}

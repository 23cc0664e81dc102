package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A complete node on loopback with one client and one server with scripted responses. */
abstract class RunningNode {
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

    /** The system's clock, which a test can advance. */
    static final class AdvancingClock extends Clock {
        private final Clock system = Clock.system();
        private volatile double aheadMs;

        void pass(double ms) {
            aheadMs += ms;
        }

        @Override
        public double nowMs() {
            return system.nowMs() + aheadMs;
        }
    }

    FakeServer server;
    final AdvancingClock clock = new AdvancingClock();
    Node node;
    Socket client;

    @BeforeEach
    void start() throws IOException {
        server = new FakeServer();
        node = node(1024);
        client = connect();
    }

    @AfterEach
    void end() throws IOException {
        client.close();
        server.close();
        node.kill();
    }

    Node node(int sockets) {
        return node(sockets, 1);
    }

    Node node(int sockets, int peers) {
        return node(sockets, peers, ConfigTest.TEXT);
    }

    Node node(int sockets, int peers, String text) {
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"active\"}";
        Node started = new Node(
                Config.parse(text.replace("\"hosts\":[]", "\"hosts\":[" + host + "]")
                        .replace("\"sockets\":1024", "\"sockets\":" + sockets)
                        .replace("\"replicasOfMe\":1", "\"replicasOfMe\":" + peers)),
                clock,
                new Log(clock, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8)));
        started.start();
        return started;
    }

    Socket connect() throws IOException {
        Socket connection =
                new Socket(node.address().getAddress(), node.address().getPort());
        connection.setSoTimeout(10_000);
        return connection;
    }

    static String request(String method, String path, String headers, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 9b\r\nX-Time-Left-Ms: 5000\r\n"
                + headers + "\r\n" + body;
    }

    static String fileRequest(String body) {
        return request("POST", "/file/a?b=c", "Content-Length: " + body.length() + "\r\n", body);
    }

    void send(String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    String readResponse() throws IOException {
        return FakeServer.readMessage(client.getInputStream());
    }

    /** Sends the text on a new connection and asserts the status of the response. */
    void expectStatus(int status, String text) throws IOException {
        client = connect();
        send(text);
        String response = readResponse();
        assertTrue(response != null && response.startsWith("HTTP/1.1 " + status + " "), text + " got " + response);
    }

    /**
     * Makes requests until everything that reached the node before them has been read, and long enough that a
     * connection to a server may be reused.
     */
    void settle() throws IOException {
        long start = System.nanoTime();
        try (Socket connection = connect()) {
            for (int i = 0; i < 2 || System.nanoTime() - start < 8_000_000; i++) {
                connection
                        .getOutputStream()
                        .write("GET /health/live HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertTrue(FakeServer.readMessage(connection.getInputStream()).startsWith("HTTP/1.1 200 "));
            }
        }
    }
}

package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a server sends too late, in part, or without an end. */
class LateBytesTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

    private final HeldClock clock = new HeldClock();
    private FakeServer server;
    private Node node;
    private Socket client;

    @BeforeEach
    void start() throws IOException {
        server = new FakeServer();
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.dial() + "\",\"health\":\"active\"}";
        node = new Node(
                Config.parse(ConfigTest.TEXT.replace("\"hosts\":[]", "\"hosts\":[" + host + "]")),
                clock,
                new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        node.start();
        client = new Socket(node.address().getAddress(), node.address().getPort());
        client.setSoTimeout(10_000);
    }

    @AfterEach
    void end() throws IOException {
        client.close();
        server.close();
        node.kill();
    }

    private void ask(String id, int left) throws IOException {
        write(
                client,
                "POST /file HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left-Ms: " + left
                        + "\r\nContent-Length: 1\r\n\r\na");
    }

    private static void write(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String answer() throws IOException {
        return String.valueOf(FakeServer.message(client.getInputStream()));
    }

    /** The connection to the server has rested and is kept. */
    private Socket kept() throws Exception {
        server.answers.add(OK);
        ask("first", 5000);
        assertTrue(answer().endsWith("done"));
        assertNotNull(server.next());
        long start = System.nanoTime();
        while (System.nanoTime() - start < 8_000_000) {
            node.tenantUse().get(10, TimeUnit.SECONDS);
        }
        return server.connections.take();
    }

    @Test
    void halfALineOnAKeptConnectionIsNoPartOfTheNextAnswer() throws Exception {
        for (String late : new String[] {"HTTP/1.1 2", "\r\n", OK}) {
            for (boolean closes : new boolean[] {true, false}) {
                Socket connection = kept();
                clock.hold();
                ask("next", 5000);
                write(connection, late);
                if (closes) {
                    connection.close();
                }
                server.answers.add(OK.replace("done", "mine"));
                clock.release();
                assertTrue(answer().endsWith("mine"));
                assertNotNull(server.next());
                assertEquals(0, server.requests.size());
                server.connections.take().close();
            }
        }
    }

    @Test
    void resetIsNoEndOfAnAnswerThatHasNoLength() throws Exception {
        ask("a", 5000);
        assertNotNull(server.next());
        Socket connection = server.connections.take();
        write(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
        node.tenantUse().get(10, TimeUnit.SECONDS);
        node.tenantUse().get(10, TimeUnit.SECONDS);
        connection.setSoLinger(true, 0);
        connection.close();
        assertTrue(answer().startsWith("HTTP/1.1 502 "));
    }

    @Test
    void answerThatNeverEndsIsGivenUpInItsTime() throws Exception {
        ask("a", 400);
        assertNotNull(server.next());
        Socket connection = server.connections.take();
        write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        Thread trickle = new Thread(() -> {
            try {
                while (true) {
                    write(connection, "1\r\nx\r\n");
                    node.tenantUse().get(10, TimeUnit.SECONDS);
                }
            } catch (Exception e) {
                return;
            }
        });
        trickle.setDaemon(true);
        trickle.start();
        assertTrue(answer().startsWith("HTTP/1.1 504 "));
        trickle.join(10_000);
        assertTrue(!trickle.isAlive(), "its connection is ended");
    }
}

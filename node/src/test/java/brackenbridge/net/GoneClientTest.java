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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A client that has closed its connection, or ended its sending, is gone: nothing begins for it any more. */
class GoneClientTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    private static final String COUNTERS = "GET /health/counters HTTP/1.1\r\n\r\n";
    /** A wait for a connection outlasts every test. */
    private static final String PATIENT =
            ConfigTest.TEXT.replace("\"connectTimeout\":120000", "\"connectTimeout\":10000000");

    /** How a client can go. */
    private enum End {
        CLOSE,
        RESET,
        END_OF_SENDING;

        void of(Socket s) throws IOException {
            if (this == END_OF_SENDING) {
                s.shutdownOutput();
                return;
            }
            s.setSoLinger(this == RESET, 0);
            s.close();
        }
    }

    private final HeldClock clock = new HeldClock();
    private FakeServer server;
    private Node node;
    private Socket client;

    @BeforeEach
    void start() throws IOException {
        server = new FakeServer();
        node = node(ConfigTest.TEXT);
        client = connect();
    }

    private Node node(String text) {
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.dial() + "\",\"health\":\"active\"}";
        Node n = new Node(
                Config.parse(text.replace("\"hosts\":[]", "\"hosts\":[" + host + "]")),
                clock,
                new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        n.start();
        return n;
    }

    /** The server's connections do not come up until it is told to accept. */
    private void notUpYet(String text) throws IOException {
        node.kill();
        server.close();
        server = FakeServer.full();
        node = node(text);
        client = connect();
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(node.address().getAddress(), node.address().getPort());
        s.setSoTimeout(10_000);
        return s;
    }

    @AfterEach
    void end() throws IOException {
        client.close();
        server.close();
        node.kill();
    }

    private static String file(String id, String body) {
        return "POST /file HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left-Ms: 9000\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String counted() throws IOException {
        try (Socket s = connect()) {
            send(s, COUNTERS);
            return FakeServer.message(s.getInputStream());
        }
    }

    /** Asks until a counter has this value, for two seconds at most. */
    private void await(String count) throws IOException {
        long start = System.nanoTime();
        String counted = counted();
        while (!counted.contains(count + "\n") && System.nanoTime() - start < 2_000_000_000L) {
            counted = counted();
        }
        assertTrue(counted.contains(count + "\n"), count + " is not among\n" + counted);
    }

    /** Another client's request is the first that the server ever sees. */
    private void onlyTheNextIsServed() throws Exception {
        server.answers.add(OK);
        client = connect();
        send(client, file("next", "next"));
        assertTrue(FakeServer.message(client.getInputStream()).endsWith("done"));
        assertTrue(server.next().endsWith("next"));
        await("forwards_written 1");
        assertEquals(0, server.requests.size());
    }

    @Test
    void requestThatComesWithItsClientsEndIsNotSentOn() throws Exception {
        for (End end : End.values()) {
            client = connect();
            clock.hold();
            send(client, file("a", "a"));
            end.of(client);
            clock.release();
            // A later connection is answered only once what came before it has been read.
            counted();
            counted();
        }
        assertTrue(counted().matches("(?s).*flows_gone [23]\n.*"), "a reset may take its request away unread");
        onlyTheNextIsServed();
    }

    @Test
    void endOfSendingEndsTheRequestThatIsOut() throws Exception {
        send(client, file("a", "a"));
        assertNotNull(server.next());
        client.shutdownOutput();
        await("flows_gone 1");
        await("forwards_cancelled 1");
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void clientThatGoesBehindHundredsOfRequestsIsNoticed() throws Exception {
        for (End end : End.values()) {
            client = connect();
            send(client, file("a", "a"));
            assertNotNull(server.next());
            send(client, file("b", "b").repeat(2000));
            await("flows_gone " + end.ordinal());
            end.of(client);
            await("flows_gone " + (end.ordinal() + 1));
        }
        await("flows_in 3");
        assertEquals(0, server.requests.size());
    }

    @Test
    void clientThatGoesBehindMoreThanMayWaitIsNoticedWhileTheRestIsSmall() throws Exception {
        send(client, file("a", "a"));
        assertNotNull(server.next());
        String one = file("b", "b");
        send(client, one.repeat(290_000 / one.length()));
        await("flows_in 1");
        client.close();
        await("flows_gone 1");
        assertEquals(0, server.requests.size());
    }

    @Test
    void clientThatGoesWhileItsBodyWaitsForAConnectionIsNoticed() throws Exception {
        notUpYet(PATIENT);
        send(client, file("a", "x".repeat(300_000)).substring(0, 250_000));
        await("requests_streamed 1");
        client.close();
        await("flows_gone 1");
        server.accept();
        onlyTheNextIsServed();
    }

    @Test
    void requestThatWaitsForAConnectionIsWithdrawnWhateverTheSettingsSayOfCancelling() throws Exception {
        notUpYet(PATIENT.replace("\"mayCancel\":true", "\"mayCancel\":false"));
        send(client, file("a", "a"));
        await("flows_in 1");
        client.close();
        await("flows_gone 1");
        server.accept();
        onlyTheNextIsServed();
    }

    @Test
    void requestThatTheModuleHoldsIsNotSentOnceAServerComes() throws Exception {
        node.kill();
        Node none = new Node(
                Config.parse(ConfigTest.TEXT), clock, new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        none.start();
        node = none;
        client = connect();
        send(client, file("a", "a"));
        await("flows_in 1");
        client.shutdownOutput();
        await("flows_gone 1");
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.dial() + "\",\"health\":\"active\"}";
        node.reconfigure(() -> Config.parse(ConfigTest.TEXT
                .replace("\"hosts\":[]", "\"hosts\":[" + host + "]")
                .replace("\"seq\":41", "\"seq\":42")));
        onlyTheNextIsServed();
    }

    /** What comes behind a long body must not move the parts of it that nobody has taken yet. */
    @Test
    void bodyThatWaitsIsNotOverwrittenByWhatComesBehindIt() throws Exception {
        notUpYet(PATIENT);
        StringBuilder body = new StringBuilder();
        for (int i = 0; body.length() < 70_000; i++) {
            body.append(i).append(' ');
        }
        String next = file("b", "behind");
        send(client, file("a", body.toString()) + next.substring(0, 20));
        await("requests_streamed 1");
        send(client, next.substring(20, 40));
        await("flows_in 1");
        send(client, next.substring(40));
        await("flows_in 1");
        server.answers.add(OK);
        server.answers.add(OK);
        server.accept();
        assertTrue(FakeServer.message(client.getInputStream()).endsWith("done"));
        assertTrue(server.next().endsWith("\r\n\r\n" + body));
        assertTrue(FakeServer.message(client.getInputStream()).endsWith("done"));
        assertTrue(server.next().endsWith("behind"));
    }
}

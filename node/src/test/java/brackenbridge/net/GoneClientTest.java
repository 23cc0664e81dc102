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
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A client that has closed its connection, or ended its sending, is gone: nothing begins for it any more. */
class GoneClientTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    private static final String TURNED_AWAY =
            "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String COUNTERS = "GET /health/counters HTTP/1.1\r\n\r\n";
    /** More than the node keeps for one client, and little enough that the kernels of both sides hold the rest. */
    private static final int BEYOND = 700_000;
    /** What a new connection gets in four reads, and no more: an end behind it is not read in the same turn. */
    private static final int FOUR_READS = 24_000;
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

    private static String host(String name, FakeServer server) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + server.dial() + "\",\"health\":\"active\"}";
    }

    private Node node(String text) {
        return started(text.replace("\"hosts\":[]", "\"hosts\":[" + host("s-1", server) + "]"));
    }

    private Node started(String text) {
        Node n = new Node(Config.parse(text), clock, new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
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

    /** The node knows no server until it is told of the one there is. */
    private void withoutServers() throws IOException {
        node.kill();
        node = started(ConfigTest.TEXT);
        client = connect();
    }

    private void serverIsTold() {
        node.reconfigure(() -> Config.parse(ConfigTest.TEXT
                .replace("\"hosts\":[]", "\"hosts\":[" + host("s-1", server) + "]")
                .replace("\"seq\":41", "\"seq\":42")));
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(node.address().getAddress(), node.address().getPort());
        s.setSoTimeout(10_000);
        return s;
    }

    @AfterEach
    void end() throws IOException {
        // Guards the run against a test that fails while its node rests.
        clock.release();
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

    /** Returns once the node has called for a connection to its server. */
    private void awaitConnectBegun() throws Exception {
        long start = System.nanoTime();
        while (node.snapshot().get().servers() == 0) {
            assertTrue(System.nanoTime() - start < 10_000_000_000L, "no connection is called for");
        }
    }

    /** Another client's request is the first that the server ever sees. */
    private void onlyTheNextIsServed() throws Exception {
        server.answers.add(OK);
        client = connect();
        send(client, file("next", "next"));
        String answer = FakeServer.message(client.getInputStream());
        assertTrue(answer != null && answer.endsWith("done"), answer + "\n" + counted());
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
        withoutServers();
        send(client, file("a", "a"));
        await("flows_in 1");
        client.shutdownOutput();
        await("flows_gone 1");
        serverIsTold();
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

    // ---- An end that is hidden, or that comes in the very turn in which an attempt could begin ----

    /** Pipelined requests of so many bytes together. */
    private static String pipelined(int bytes) {
        String one = file("b", "b");
        return one.repeat(bytes / one.length());
    }

    /** Many turns of the loop: the node has read all that it keeps. Then it has not seen the client for too long. */
    private void clientIsLongUnseen() throws IOException {
        for (int i = 0; i < 50; i++) {
            counted();
        }
        clock.pass(200);
    }

    @Test
    void requestThatTheModuleHoldsIsRefusedOnceUnreadBytesHideItsClient() throws Exception {
        withoutServers();
        send(client, file("a", "a") + pipelined(BEYOND));
        String answer = FakeServer.message(client.getInputStream());
        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Connection: close\r\n"), answer);
        client.close();
        serverIsTold();
        onlyTheNextIsServed();
    }

    @Test
    void requestWhoseClientsEndIsHiddenIsNotSentOnceAServerComes() throws Exception {
        for (End end : List.of(End.CLOSE, End.END_OF_SENDING)) {
            withoutServers();
            send(client, file("a", "a") + pipelined(BEYOND));
            end.of(client);
            await("flows_in 1");
            clientIsLongUnseen();
            serverIsTold();
            onlyTheNextIsServed();
        }
    }

    @Test
    void longBodyWhoseClientsEndIsHiddenIsNotSentOnceAConnectionOpens() throws Exception {
        notUpYet(PATIENT);
        send(client, file("a", "x".repeat(BEYOND)));
        client.close();
        await("requests_streamed 1");
        server.accept();
        onlyTheNextIsServed();
    }

    @Test
    void longBodyThatWaitsIsRefusedOnceUnreadBytesHideItsClient() throws Exception {
        notUpYet(PATIENT);
        send(client, file("a", "x".repeat(BEYOND)));
        String answer = FakeServer.message(client.getInputStream());
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        await("forwards_moot 1");
        server.accept();
        onlyTheNextIsServed();
    }

    @Test
    void nothingIsSentAgainOnceUnreadBytesHideTheClient() throws Exception {
        node.kill();
        try (FakeServer other = new FakeServer()) {
            String hosts = host("s-1", server) + "," + host("s-2", other);
            node = started(ConfigTest.TEXT.replace("\"hosts\":[]", "\"hosts\":[" + hosts + "]"));
            client = connect();
            send(client, file("a", "a"));
            await("forwards_written 1");
            send(client, pipelined(BEYOND));
            client.close();
            clientIsLongUnseen();
            server.answers.add(TURNED_AWAY);
            other.answers.add(TURNED_AWAY);
            await("forwards_turned_away 1");
            await("forwards_moot 1");
            await("forwards_written 1");
            assertEquals(1, server.requests.size() + other.requests.size());
        }
    }

    @Test
    void whatIsOutWhenUnreadBytesHideItsClientIsAnswered() throws Exception {
        send(client, file("a", "a"));
        assertTrue(server.next().endsWith("a"));
        send(client, pipelined(BEYOND));
        clientIsLongUnseen();
        // The node's sweep has time to find it.
        clientIsLongUnseen();
        server.answers.add(OK);
        assertTrue(FakeServer.message(client.getInputStream()).endsWith("done"));
        await("answered_served 1");
    }

    @Test
    void requestWhoseClientsEndIsBehindTheReadsOfOneTurnIsNotSent() throws Exception {
        String request = file("a", "x".repeat(FOUR_READS));
        int gone = 0;
        for (End end : List.of(End.CLOSE, End.END_OF_SENDING)) {
            client = connect();
            clock.hold();
            send(client, request);
            end.of(client);
            clock.release();
            await("flows_gone " + ++gone);
        }
        onlyTheNextIsServed();
    }

    @Test
    void connectionThatOpensInTheTurnOfItsClientsEndCarriesNothing() throws Exception {
        notUpYet(PATIENT);
        send(client, file("a", "a"));
        awaitConnectBegun();
        clock.hold();
        server.accept();
        // The kernel opens it while the node rests; then the node finds the connection up, and the end behind it.
        assertNotNull(server.connections.poll(20, TimeUnit.SECONDS), "nobody connects");
        client.close();
        clock.release();
        onlyTheNextIsServed();
    }

    @Test
    void lastBytesOfALongBodyAreNotPassedOnIfTheClientsEndIsBehindThem() throws Exception {
        String body = "x".repeat(200_000);
        String request = file("a", body);
        int first = request.length() - 100;
        send(client, request.substring(0, first));
        await("forwards_sent 1");
        clock.hold();
        send(client, request.substring(first));
        client.close();
        clock.release();
        await("flows_gone 1");
        onlyTheNextIsServed();
    }
}

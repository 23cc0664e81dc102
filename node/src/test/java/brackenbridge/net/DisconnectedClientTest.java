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

/** A client that has closed or half-closed its connection is disconnected: no attempt starts for it. */
class DisconnectedClientTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    private static final String UNPROCESSED_503 =
            "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String COUNTERS_REQUEST = "GET /health/counters HTTP/1.1\r\n\r\n";
    /** More than the node buffers for one client; the rest stays in the socket buffers of both sides. */
    private static final int MORE_THAN_READ_AHEAD_BYTES = 700_000;
    /** Long enough to be streamed, and within the read-ahead limit. */
    private static final int READ_COMPLETELY_BODY_BYTES = 150_000;
    /** What a new connection's reads return in one turn: the end of stream after it is read in a later turn. */
    private static final int BYTES_READ_IN_ONE_TURN = 24_000;
    /** A configuration with a connect timeout that no test reaches. */
    private static final String LONG_CONNECT_TIMEOUT =
            ConfigTest.TEXT.replace("\"connectTimeout\":120000", "\"connectTimeout\":10000000");

    /** How a client can disconnect. */
    private enum ConnectionEnd {
        CLOSE,
        RESET,
        HALF_CLOSE;

        void apply(Socket socket) throws IOException {
            if (this == HALF_CLOSE) {
                socket.shutdownOutput();
                return;
            }
            socket.setSoLinger(this == RESET, 0);
            socket.close();
        }
    }

    private final PausableClock clock = new PausableClock();
    private FakeServer server;
    private Node node;
    private Socket client;

    @BeforeEach
    void start() throws IOException {
        server = new FakeServer();
        node = startNode(ConfigTest.TEXT);
        client = connect();
    }

    private static String hostJson(String name, FakeServer server) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + server.address() + "\",\"health\":\"active\"}";
    }

    private Node startNode(String text) {
        return startNodeWithConfig(text.replace("\"hosts\":[]", "\"hosts\":[" + hostJson("s-1", server) + "]"));
    }

    private Node startNodeWithConfig(String text) {
        Node newNode =
                new Node(Config.parse(text), clock, new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        newNode.start();
        return newNode;
    }

    /** Restarts the node with a server whose connections open only once it accepts. */
    private void restartWithFullBacklog(String text) throws IOException {
        node.kill();
        server.close();
        server = FakeServer.withFullBacklog();
        node = startNode(text);
        client = connect();
    }

    /** Restarts the node with an empty endpoint list. */
    private void restartWithoutServers() throws IOException {
        node.kill();
        node = startNodeWithConfig(ConfigTest.TEXT);
        client = connect();
    }

    private void addServer() {
        node.reconfigure(() -> Config.parse(ConfigTest.TEXT
                .replace("\"hosts\":[]", "\"hosts\":[" + hostJson("s-1", server) + "]")
                .replace("\"seq\":41", "\"seq\":42")));
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(node.address().getAddress(), node.address().getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    @AfterEach
    void end() throws IOException {
        // A test may have failed while its node was paused.
        clock.resume();
        client.close();
        server.close();
        node.kill();
    }

    private static String fileRequest(String id, String body) {
        return "POST /file HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left-Ms: 9000\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String countersText() throws IOException {
        try (Socket socket = connect()) {
            send(socket, COUNTERS_REQUEST);
            return FakeServer.readMessage(socket.getInputStream());
        }
    }

    /** Polls until a counter has this value, for two seconds at most. */
    private void awaitCounter(String expected) throws IOException {
        long start = System.nanoTime();
        String counters = countersText();
        while (!counters.contains(expected + "\n") && System.nanoTime() - start < 2_000_000_000L) {
            counters = countersText();
        }
        assertTrue(counters.contains(expected + "\n"), expected + " is not among\n" + counters);
    }

    /** Waits until the node has started to connect to its server. */
    private void awaitConnectBegun() throws Exception {
        long start = System.nanoTime();
        while (node.snapshot().get().servers() == 0) {
            assertTrue(System.nanoTime() - start < 10_000_000_000L, "the node did not start to connect");
        }
    }

    /** Asserts that another client's request is the first one that the server receives. */
    private void assertOnlyNextRequestIsServed() throws Exception {
        server.responses.add(OK);
        client = connect();
        send(client, fileRequest("next", "next"));
        String answer = FakeServer.readMessage(client.getInputStream());
        assertTrue(answer != null && answer.endsWith("done"), answer + "\n" + countersText());
        assertTrue(server.nextRequest().endsWith("next"));
        awaitCounter("forwards_written 1");
        assertEquals(0, server.requests.size());
    }

    @Test
    void requestReadTogetherWithTheDisconnectIsNotForwarded() throws Exception {
        for (ConnectionEnd end : ConnectionEnd.values()) {
            client = connect();
            clock.pause();
            send(client, fileRequest("a", "a"));
            end.apply(client);
            clock.resume();
            // A response on a later connection shows that earlier input has been read.
            countersText();
            countersText();
        }
        assertTrue(countersText().matches("(?s).*flows_gone [23]\n.*"), "a reset may discard its request unread");
        assertOnlyNextRequestIsServed();
    }

    @Test
    void halfCloseCancelsTheRequestInFlight() throws Exception {
        send(client, fileRequest("a", "a"));
        assertNotNull(server.nextRequest());
        client.shutdownOutput();
        awaitCounter("flows_gone 1");
        awaitCounter("forwards_cancelled 1");
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void disconnectBehindHundredsOfRequestsIsDetected() throws Exception {
        for (ConnectionEnd end : ConnectionEnd.values()) {
            client = connect();
            send(client, fileRequest("a" + end, "a"));
            assertNotNull(server.nextRequest());
            send(client, fileRequest("b", "b").repeat(2000));
            awaitCounter("flows_gone " + end.ordinal());
            end.apply(client);
            awaitCounter("flows_gone " + (end.ordinal() + 1));
        }
        awaitCounter("flows_in 3");
        assertEquals(0, server.requests.size());
    }

    @Test
    void disconnectBehindTheReadAheadLimitIsDetectedWhileTheExcessIsSmall() throws Exception {
        send(client, fileRequest("a", "a"));
        assertNotNull(server.nextRequest());
        String one = fileRequest("b", "b");
        send(client, one.repeat(290_000 / one.length()));
        awaitCounter("flows_in 1");
        client.close();
        awaitCounter("flows_gone 1");
        assertEquals(0, server.requests.size());
    }

    @Test
    void disconnectIsDetectedWhileABodyWaitsForAConnection() throws Exception {
        restartWithFullBacklog(LONG_CONNECT_TIMEOUT);
        send(client, fileRequest("a", "x".repeat(300_000)).substring(0, 250_000));
        awaitCounter("requests_streamed 1");
        client.close();
        awaitCounter("flows_gone 1");
        server.startAccepting();
        assertOnlyNextRequestIsServed();
    }

    @Test
    void requestWaitingForAConnectionIsWithdrawnEvenIfCancellingIsDisabled() throws Exception {
        restartWithFullBacklog(LONG_CONNECT_TIMEOUT.replace("\"mayCancel\":true", "\"mayCancel\":false"));
        send(client, fileRequest("a", "a"));
        awaitCounter("flows_in 1");
        client.close();
        awaitCounter("flows_gone 1");
        server.startAccepting();
        assertOnlyNextRequestIsServed();
    }

    @Test
    void queuedRequestOfADisconnectedClientIsNotForwardedWhenAServerIsAdded() throws Exception {
        restartWithoutServers();
        send(client, fileRequest("a", "a"));
        awaitCounter("flows_in 1");
        client.shutdownOutput();
        awaitCounter("flows_gone 1");
        addServer();
        assertOnlyNextRequestIsServed();
    }

    /** Guards against bytes after a long body overwriting parts of it that have not been sent yet. */
    @Test
    void waitingBodyIsNotOverwrittenByLaterBytes() throws Exception {
        restartWithFullBacklog(LONG_CONNECT_TIMEOUT);
        StringBuilder body = new StringBuilder();
        for (int i = 0; body.length() < 70_000; i++) {
            body.append(i).append(' ');
        }
        String next = fileRequest("b", "behind");
        send(client, fileRequest("a", body.toString()) + next.substring(0, 20));
        awaitCounter("requests_streamed 1");
        send(client, next.substring(20, 40));
        awaitCounter("flows_in 1");
        send(client, next.substring(40));
        awaitCounter("flows_in 1");
        server.responses.add(OK);
        server.responses.add(OK);
        server.startAccepting();
        assertTrue(FakeServer.readMessage(client.getInputStream()).endsWith("done"));
        assertTrue(server.nextRequest().endsWith("\r\n\r\n" + body));
        assertTrue(FakeServer.readMessage(client.getInputStream()).endsWith("done"));
        assertTrue(server.nextRequest().endsWith("behind"));
    }

    /** Returns pipelined requests of about this many bytes together. */
    private static String pipelinedRequests(int bytes) {
        String one = fileRequest("b", "b");
        return one.repeat(bytes / one.length());
    }

    /** Lets the node read up to its limit, then advances the clock until the client's presence has expired. */
    private void letPresenceExpire() throws IOException {
        for (int i = 0; i < 50; i++) {
            countersText();
        }
        clock.pass(200);
    }

    @Test
    void queuedRequestIsRejectedOnceUnreadBytesHideItsClient() throws Exception {
        restartWithoutServers();
        send(client, fileRequest("a", "a") + pipelinedRequests(MORE_THAN_READ_AHEAD_BYTES));
        String answer = FakeServer.readMessage(client.getInputStream());
        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Connection: close\r\n"), answer);
        client.close();
        addServer();
        assertOnlyNextRequestIsServed();
    }

    @Test
    void queuedRequestWithAnUndetectedDisconnectIsNotForwardedWhenAServerIsAdded() throws Exception {
        for (ConnectionEnd end : List.of(ConnectionEnd.CLOSE, ConnectionEnd.HALF_CLOSE)) {
            restartWithoutServers();
            send(client, fileRequest("a", "a") + pipelinedRequests(MORE_THAN_READ_AHEAD_BYTES));
            end.apply(client);
            awaitCounter("flows_in 1");
            letPresenceExpire();
            addServer();
            assertOnlyNextRequestIsServed();
        }
    }

    @Test
    void longBodyWithAnUndetectedDisconnectIsNotForwardedWhenAConnectionOpens() throws Exception {
        restartWithFullBacklog(LONG_CONNECT_TIMEOUT);
        send(client, fileRequest("a", "x".repeat(MORE_THAN_READ_AHEAD_BYTES)));
        client.close();
        awaitCounter("requests_streamed 1");
        server.startAccepting();
        assertOnlyNextRequestIsServed();
    }

    @Test
    void waitingLongBodyIsRejectedOnceUnreadBytesHideItsClient() throws Exception {
        restartWithFullBacklog(LONG_CONNECT_TIMEOUT);
        send(client, fileRequest("a", "x".repeat(MORE_THAN_READ_AHEAD_BYTES)));
        String answer = FakeServer.readMessage(client.getInputStream());
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        awaitCounter("forwards_moot 1");
        server.startAccepting();
        assertOnlyNextRequestIsServed();
    }

    /** Guards against rejecting a request as not run although its server has received all of it. */
    @Test
    void waitingLongBodyIsNotCompletedWhileUnreadBytesHideItsClient() throws Exception {
        restartWithFullBacklog(LONG_CONNECT_TIMEOUT);
        clock.freeze();
        String body = "x".repeat(READ_COMPLETELY_BODY_BYTES);
        send(client, fileRequest("a", body) + pipelinedRequests(MORE_THAN_READ_AHEAD_BYTES));
        awaitCounter("requests_streamed 1");
        server.startAccepting();
        awaitCounter("connections_opened 1");
        // By these responses, the node has run all tasks of the turn in which the connection opened.
        countersText();
        countersText();
        clock.advanceFrozen(200);
        String answer = FakeServer.readMessage(client.getInputStream());
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        Socket connection = server.connections.poll(10, TimeUnit.SECONDS);
        for (long start = System.nanoTime(); !connection.isClosed() && server.requests.isEmpty(); ) {
            assertTrue(System.nanoTime() - start < 10_000_000_000L, "the node did not close the connection");
        }
        assertEquals(0, server.requests.size(), "the server has all of a rejected request");
    }

    @Test
    void noRetryOnceUnreadBytesHideTheClient() throws Exception {
        node.kill();
        try (FakeServer other = new FakeServer()) {
            String hosts = hostJson("s-1", server) + "," + hostJson("s-2", other);
            node = startNodeWithConfig(ConfigTest.TEXT.replace("\"hosts\":[]", "\"hosts\":[" + hosts + "]"));
            client = connect();
            send(client, fileRequest("a", "a"));
            awaitCounter("forwards_written 1");
            send(client, pipelinedRequests(MORE_THAN_READ_AHEAD_BYTES));
            client.close();
            letPresenceExpire();
            server.responses.add(UNPROCESSED_503);
            other.responses.add(UNPROCESSED_503);
            awaitCounter("forwards_turned_away 1");
            awaitCounter("forwards_moot 1");
            awaitCounter("forwards_written 1");
            assertEquals(1, server.requests.size() + other.requests.size());
        }
    }

    @Test
    void attemptInFlightIsAnsweredAfterUnreadBytesHideItsClient() throws Exception {
        send(client, fileRequest("a", "a"));
        assertTrue(server.nextRequest().endsWith("a"));
        send(client, pipelinedRequests(MORE_THAN_READ_AHEAD_BYTES));
        letPresenceExpire();
        // Gives the node's sweep time to find the expired presence.
        letPresenceExpire();
        server.responses.add(OK);
        assertTrue(FakeServer.readMessage(client.getInputStream()).endsWith("done"));
        awaitCounter("answered_served 1");
    }

    @Test
    void requestIsNotForwardedIfTheDisconnectIsReadInALaterTurn() throws Exception {
        String request = fileRequest("a", "x".repeat(BYTES_READ_IN_ONE_TURN));
        int disconnectedCount = 0;
        for (ConnectionEnd end : List.of(ConnectionEnd.CLOSE, ConnectionEnd.HALF_CLOSE)) {
            client = connect();
            clock.pause();
            send(client, request);
            end.apply(client);
            clock.resume();
            awaitCounter("flows_gone " + ++disconnectedCount);
        }
        assertOnlyNextRequestIsServed();
    }

    @Test
    void connectionOpenedInTheTurnOfTheDisconnectCarriesNothing() throws Exception {
        restartWithFullBacklog(LONG_CONNECT_TIMEOUT);
        send(client, fileRequest("a", "a"));
        awaitConnectBegun();
        clock.pause();
        server.startAccepting();
        // The kernel opens the connection while the node is paused; then the node finds it open and the client
        // disconnected in the same turn.
        assertNotNull(server.connections.poll(20, TimeUnit.SECONDS), "the node did not connect");
        client.close();
        clock.resume();
        assertOnlyNextRequestIsServed();
    }

    @Test
    void lastBytesOfALongBodyAreNotForwardedIfADisconnectFollows() throws Exception {
        String body = "x".repeat(200_000);
        String request = fileRequest("a", body);
        int first = request.length() - 100;
        send(client, request.substring(0, first));
        awaitCounter("forwards_sent 1");
        clock.pause();
        send(client, request.substring(first));
        client.close();
        clock.resume();
        awaitCounter("flows_gone 1");
        assertOnlyNextRequestIsServed();
    }
}

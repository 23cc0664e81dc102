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

/**
 * The remaining time that a node announces to servers, and which requests it no longer sends, when the node or a
 * connection is delayed.
 */
class TimeLeftHeaderTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    /** A configuration with a connect timeout that no test reaches. */
    private static final String LONG_CONNECT_TIMEOUT_CONFIG =
            ConfigTest.TEXT.replace("\"connectTimeout\":120000", "\"connectTimeout\":10000000");
    /** Maximum time that may be announced beyond the remaining time. */
    private static final double SLACK_MS = 150;

    private final PausableClock clock = new PausableClock();
    private FakeServer server;
    private Node startNode;
    private Socket client;

    @BeforeEach
    void start() throws IOException {
        server = new FakeServer();
        startNode = startNode(LONG_CONNECT_TIMEOUT_CONFIG);
        client = connect();
    }

    private Node startNode(String text) {
        Node started = new Node(
                config(text, "active"), clock, new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        started.start();
        return started;
    }

    private Config config(String text, String health) {
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"" + health + "\"}";
        return Config.parse(text.replace("\"hosts\":[]", "\"hosts\":[" + host + "]"));
    }

    /** Restarts the node with a server whose connections open only once it accepts. */
    private void restartWithFullBacklog() throws IOException {
        startNode.kill();
        server.close();
        server = FakeServer.withFullBacklog();
        startNode = startNode(LONG_CONNECT_TIMEOUT_CONFIG);
        client = connect();
    }

    private Socket connect() throws IOException {
        Socket socket =
                new Socket(startNode.address().getAddress(), startNode.address().getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    @AfterEach
    void end() throws IOException {
        clock.resume();
        client.close();
        server.close();
        startNode.kill();
    }

    private void sendRequest(String method, String path, int timeLeftMs, int length) throws IOException {
        send(
                client,
                method + " " + path + " HTTP/1.1\r\nX-Correlation-Id: " + timeLeftMs + "\r\nX-Time-Left-Ms: "
                        + timeLeftMs + "\r\nContent-Length: " + length + "\r\n\r\n" + "x".repeat(length));
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String readResponse() throws IOException {
        return String.valueOf(FakeServer.readMessage(client.getInputStream()));
    }

    private static int timeLeftMs(String request) {
        assertNotNull(request);
        return Integer.parseInt(request.replaceAll("(?s).*X-Time-Left-Ms: ([0-9]+).*", "$1"));
    }

    /** Waits until the node has processed everything that has reached it. */
    private void settle() throws Exception {
        for (int i = 0; i < 3; i++) {
            startNode.tenantUse().get(10, TimeUnit.SECONDS);
        }
    }

    private void awaitCounter(String count) throws IOException {
        String counted = "";
        for (int i = 0; i < 2000 && !counted.contains(count + "\n"); i++) {
            try (Socket socket = connect()) {
                send(socket, "GET /health/counters HTTP/1.1\r\n\r\n");
                counted = FakeServer.readMessage(socket.getInputStream());
            }
        }
        assertTrue(counted.contains(count + "\n"), count + " is not among\n" + counted);
    }

    /** Waits until the node has started to connect: a delayed attempt does so later than its request is counted. */
    private void awaitConnectBegun() throws Exception {
        int servers = 0;
        for (int i = 0; i < 2000 && servers == 0; i++) {
            servers = startNode.snapshot().get(10, TimeUnit.SECONDS).servers();
        }
        assertTrue(servers > 0, "the node did not start to connect");
    }

    /**
     * Opens the connection that a request waits for while the node is paused; the node must have started to connect
     * before.
     */
    private void openConnectionWhilePaused() throws Exception {
        awaitConnectBegun();
        // The connect call is made in a later task than the one that counts the connection.
        settle();
        clock.pause();
        server.startAccepting();
        assertNotNull(server.connections.poll(20, TimeUnit.SECONDS));
    }

    @Test
    void connectionThatOpensLateCarriesTheRemainingTime() throws Exception {
        for (int length : new int[] {1, 200_000}) {
            restartWithFullBacklog();
            sendRequest("POST", "/file", 5000, length);
            awaitCounter("flows_in 1");
            openConnectionWhilePaused();
            clock.pass(1500);
            clock.resume();
            int announcedMs = timeLeftMs(server.nextRequest());
            assertTrue(
                    announcedMs > 0 && announcedMs <= 3500, "announced " + announcedMs + " with a body of " + length);
        }
    }

    @Test
    void attemptWithoutTimeLeftWhenItsConnectionOpensIsNotSent() throws Exception {
        restartWithFullBacklog();
        sendRequest("POST", "/file", 60_000, 1);
        awaitCounter("flows_in 1");
        openConnectionWhilePaused();
        clock.pass(60_000);
        clock.resume();
        assertTrue(readResponse().startsWith("HTTP/1.1 503 "), "the request was not rejected");
        awaitCounter("forwards_moot 1");
        awaitCounter("forwards_written 0");
        server.responses.add(OK);
        sendRequest("POST", "/file", 5000, 2);
        assertTrue(readResponse().endsWith("done"), "the connection and the server are used for the next request");
        assertTrue(server.nextRequest().endsWith("\r\n\r\nxx"), "not the first request that the server received");
    }

    @Test
    void retryCarriesTheRemainingTime() throws Exception {
        sendRequest("GET", "/view", 5000, 0);
        assertTrue(timeLeftMs(server.nextRequest()) <= 5000);
        clock.pass(1000);
        server.responses.add(FakeServer.CLOSE_CONNECTION);
        int secondMs = timeLeftMs(server.nextRequest());
        assertTrue(secondMs > 0 && secondMs <= 4000, "announced " + secondMs);
    }

    @Test
    void delayAfterTheLastClockReadingStaysWithinTheSlack() throws Exception {
        clock.pauseAfterReadingIn("ReducerStartCheck.timeLeftMs");
        double sentMs = clock.nowMs();
        sendRequest("POST", "/file", 5000, 1);
        clock.awaitPaused();
        clock.pass(SLACK_MS);
        double leftMs = sentMs + 5000 - clock.nowMs();
        clock.resume();
        int announcedMs = timeLeftMs(server.nextRequest());
        assertTrue(announcedMs <= leftMs + SLACK_MS, "announced " + announcedMs + " of " + leftMs);
    }

    @Test
    void requestIsNotSentIfItsClientDisconnectsWhileTheNodeIsDelayed() throws Exception {
        clock.pauseAfterReadingIn("UpstreamConnections.startAttempt");
        sendRequest("POST", "/file", 5000, 1);
        clock.awaitPaused();
        client.close();
        clock.pass(SLACK_MS);
        clock.resume();
        assertOnlyNextRequestIsServed();
    }

    @Test
    void requestIsNotSentIfItsClientDisconnectsWhileItsConnectionOpens() throws Exception {
        restartWithFullBacklog();
        sendRequest("POST", "/file", 5000, 1);
        awaitCounter("flows_in 1");
        openConnectionWhilePaused();
        client.close();
        clock.resume();
        assertOnlyNextRequestIsServed();
    }

    private void assertOnlyNextRequestIsServed() throws Exception {
        server.responses.add(OK);
        client = connect();
        sendRequest("POST", "/file", 9000, 2);
        assertTrue(readResponse().endsWith("done"));
        assertTrue(server.nextRequest().endsWith("\r\n\r\nxx"), "not the first request that the server received");
        awaitCounter("forwards_written 1");
        awaitCounter("flows_gone 1");
    }

    /** The node learns of the drain, is paused, and finds the connection open before it runs its timers. */
    @Test
    void requestWhoseConnectionOpensAfterTheDrainGraceIsNotSent() throws Exception {
        restartWithFullBacklog();
        sendRequest("POST", "/file", 60_000, 1);
        awaitCounter("flows_in 1");
        clock.freeze();
        startNode.reconfigure(() -> config(LONG_CONNECT_TIMEOUT_CONFIG.replace("\"seq\":41", "\"seq\":42"), "leaving"));
        awaitCounter("reconfigured 1");
        openConnectionWhilePaused();
        clock.advanceFrozen(400);
        clock.resume();
        awaitCounter("forwards_unconnected 1");
        settle();
        assertEquals(0, server.requests.size());
    }

    /** Servers may drop requests with so little time left without a response. */
    @Test
    void requestsWithLittleTimeLeftGetOneResponseEachAndEjectNoServer() throws Exception {
        for (int left = 0; left <= 20; left++) {
            double sentNs = System.nanoTime();
            sendRequest(left % 2 == 0 ? "GET" : "POST", left % 2 == 0 ? "/view" : "/file", left, 0);
            String back = readResponse();
            double elapsedMs = (System.nanoTime() - sentNs) / 1e6;
            assertTrue(back.matches("(?s)HTTP/1.1 50[34] .*"), left + ": " + back);
            assertTrue(elapsedMs < left + 500, "response after " + elapsedMs + " ms of " + left);
        }
        awaitCounter("flows_in 21");
        for (int i = 0; i < 1000 && !startNode.metricsText().contains("proxy.active:0|g\n"); i++) {
            settle();
        }
        assertTrue(startNode.metricsText().contains("proxy.pool_ejected:0|g\n"), startNode.metricsText());
        client.setSoTimeout(100);
        try {
            assertEquals(-1, client.getInputStream().read(), "a second answer");
        } catch (java.net.SocketTimeoutException e) {
            assertNotNull(e, "nothing more comes");
        }
    }
}

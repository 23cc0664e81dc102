package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A node that closes connections, or exits, still serves what clients have sent and does not reset their responses. */
class ConnectionEndTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    private static final String LIVE = "GET /health/live HTTP/1.1\r\n\r\n";
    /** Deadlines of 0.5 s: a stopping node serves for 0.6 s and has answered all requests after 0.9 s. */
    private static final String SHORT_DEADLINES_CONFIG = ConfigTest.TEXT
            .replace("\"aim\":4000000,\"giveUp\":8000000", "\"aim\":9000,\"giveUp\":500000")
            .replace("\"aim\":3000000,\"giveUp\":6000000", "\"aim\":9000,\"giveUp\":500000");

    private final PausableClock clock = new PausableClock();
    private FakeServer server;
    private Node startNode;
    private Socket client;

    @BeforeEach
    void start() throws IOException {
        server = new FakeServer();
        startNode = startNode(server.address());
        client = connect();
    }

    private Node startNode(String... dials) {
        String hosts = "";
        for (String dial : dials) {
            hosts += (hosts.isEmpty() ? "" : ",") + "{\"host\":\"s" + hosts.length() + "\",\"dial\":\"" + dial
                    + "\",\"health\":\"active\"}";
        }
        Node started = new Node(
                Config.parse(SHORT_DEADLINES_CONFIG.replace("\"hosts\":[]", "\"hosts\":[" + hosts + "]")),
                clock,
                new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        started.start();
        return started;
    }

    private Socket connect() throws IOException {
        Socket socket =
                new Socket(startNode.address().getAddress(), startNode.address().getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    @AfterEach
    void end() throws IOException {
        client.close();
        server.close();
        startNode.kill();
    }

    private static String fileRequest(String id, int timeLeftMs) {
        return "POST /file HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left-Ms: " + timeLeftMs
                + "\r\nContent-Length: 1\r\n\r\na";
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readResponse(Socket socket) throws IOException {
        return FakeServer.readMessage(socket.getInputStream());
    }

    private void requestLive(Socket socket) throws IOException {
        send(socket, LIVE);
        assertTrue(readResponse(socket).endsWith("live\n"));
    }

    /** Stops the node and waits until it has closed its idle connections. */
    private CompletableFuture<Void> stopAndAwaitIdleClose() throws Exception {
        Socket idle = connect();
        requestLive(idle);
        CompletableFuture<Void> ended = startNode.stop();
        assertEquals(-1, idle.getInputStream().read());
        idle.close();
        return ended;
    }

    @Test
    void requestThatCrossesTheCloseOfAnIdleConnectionIsNeitherResetNorForwarded() throws Exception {
        Socket busy = connect();
        send(busy, fileRequest("busy", 9000));
        assertNotNull(server.nextRequest());
        requestLive(client);
        CompletableFuture<Void> ended = stopAndAwaitIdleClose();
        assertEquals(-1, client.getInputStream().read(), "the output was not shut down");
        send(client, fileRequest("late0", 400));
        server.responses.add(OK);
        assertTrue(readResponse(busy).contains("Connection: close\r\n"));
        assertEquals(-1, busy.getInputStream().read());
        // A closed connection would have been reset by now, and writing would fail.
        startNode.tenantUse().get(10, TimeUnit.SECONDS);
        send(client, fileRequest("late1", 400));
        startNode.tenantUse().get(10, TimeUnit.SECONDS);
        send(client, fileRequest("late2", 400));
        busy.close();
        client.close();
        ended.get(10, TimeUnit.SECONDS);
        assertNull(server.requests.poll());
    }

    @Test
    void connectionIdleForTooLongEndsWithoutReset() throws Exception {
        requestLive(client);
        // Once later requests have been answered, its response is recorded as written.
        requestLive(connect());
        requestLive(connect());
        clock.pass(61_000);
        assertEquals(-1, client.getInputStream().read());
        for (int i = 0; i < 3; i++) {
            send(client, fileRequest("late" + i, 400));
            requestLive(connect());
        }
        assertNull(server.requests.poll());
    }

    @Test
    void nodeExitsOnceItsLastClientHasSeenTheEndOfItsConnection() throws Exception {
        send(client, fileRequest("a", 9000));
        assertNotNull(server.nextRequest());
        CompletableFuture<Void> ended = stopAndAwaitIdleClose();
        clock.freeze();
        server.responses.add(OK);
        assertTrue(readResponse(client).endsWith("done"));
        assertEquals(-1, client.getInputStream().read());
        startNode.tenantUse().get(10, TimeUnit.SECONDS);
        assertFalse(ended.isDone(), "exiting now would reset the connection and lose the response");
        client.close();
        ended.get(10, TimeUnit.SECONDS);
    }

    @Test
    void incompleteRequestIsRejectedBeforeTheNodeExits() throws Exception {
        send(client, fileRequest("a", 400).substring(0, 40));
        requestLive(connect());
        CompletableFuture<Void> ended = startNode.stop();
        String last = readResponse(client);
        assertTrue(last.startsWith("HTTP/1.1 503 ") && last.contains("Connection: close\r\n"), last);
        assertEquals(-1, client.getInputStream().read());
        ended.get(10, TimeUnit.SECONDS);
    }

    @Test
    void requestCompletedAfterTheLastResponsesIsRejectedAndNotForwarded() throws Exception {
        String late = fileRequest("late", 400);
        // The second server has free capacity for the late request.
        FakeServer secondServer = new FakeServer();
        startNode.kill();
        startNode = startNode(server.address(), secondServer.address());
        client = connect();
        Socket incomplete = connect();
        send(incomplete, late.substring(0, late.length() - 1));
        send(client, fileRequest("a", 9000));
        while (server.requests.size() + secondServer.requests.size() == 0) {
            Thread.onSpinWait();
        }
        startNode.stop();
        // Its server sends no response: the node answers at the deadline.
        assertTrue(readResponse(client).startsWith("HTTP/1.1 504 "));
        send(incomplete, late.substring(late.length() - 1));
        assertTrue(readResponse(incomplete).startsWith("HTTP/1.1 503 "));
        assertEquals(1, server.requests.size() + secondServer.requests.size());
        incomplete.close();
        secondServer.close();
    }

    @Test
    void clientWithTheLargestBufferStillGetsItsResponse() throws Exception {
        send(client, fileRequest("a", 9000));
        assertNotNull(server.nextRequest());
        send(client, fileRequest("b", 9000).repeat(2000));
        Socket[] many = new Socket[150];
        for (int i = 0; i < many.length; i++) {
            many[i] = connect();
            send(
                    many[i],
                    "POST /file HTTP/1.1\r\nX-Correlation-Id: m\r\nContent-Length: 65000\r\n\r\n" + "x".repeat(60_000));
        }
        String counters = "";
        for (int i = 0; i < 10_000 && !counters.matches("(?s).*clients_shed_for_memory [1-9].*"); i++) {
            try (Socket s = connect()) {
                send(s, "GET /health/counters HTTP/1.1\r\n\r\n");
                counters = readResponse(s);
            }
        }
        server.responses.add(OK);
        String last = readResponse(client);
        assertTrue(last != null && last.startsWith("HTTP/1.1 200 ") && last.contains("Connection: close\r\n"), last);
        assertEquals(-1, client.getInputStream().read());
        assertNull(server.requests.poll());
        for (Socket s : many) {
            s.close();
        }
    }

    @Test
    void pipelinedRequestsDoNotResetTheLastResponse() throws Exception {
        send(client, fileRequest("a", 9000));
        assertNotNull(server.nextRequest());
        CompletableFuture<Void> ended = stopAndAwaitIdleClose();
        server.responses.add(OK);
        send(client, fileRequest("b", 9000).repeat(500));
        String last = readResponse(client);
        assertTrue(last.startsWith("HTTP/1.1 200 ") && last.contains("Connection: close\r\n"), last);
        send(client, fileRequest("c", 9000));
        assertEquals(-1, client.getInputStream().read(), "the connection was not closed in order");
        ended.get(10, TimeUnit.SECONDS);
        assertNull(server.requests.poll());
    }
}

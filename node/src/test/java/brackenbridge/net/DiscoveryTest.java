package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
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
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A node on loopback with a discovery service that fails, moves, or sends lists in unusual forms. */
class DiscoveryTest {
    private static final String CONFIG_TEXT = ConfigTest.TEXT;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

    private FakeServer discovery;
    private Node node;

    @BeforeEach
    void listen() throws IOException {
        discovery = new FakeServer();
    }

    @AfterEach
    void end() throws IOException {
        node.kill();
        discovery.close();
    }

    /** Starts a node whose configured list, version 41, has the servers s-0 to s-3. */
    private void start(String text, String dial) {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            hosts.append(i == 0 ? "" : ",").append(host(i, "active"));
        }
        Clock clock = Clock.system();
        node = new Node(
                Config.parse(text.replace("\"hosts\":[]", "\"hosts\":[" + hosts + "]")
                        .replace("127.0.0.1:1\"", dial + "\"")),
                clock,
                new Log(clock, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8)));
        node.start();
    }

    private void moveDiscovery(String dial) {
        node.reconfigure(() -> Config.parse(CONFIG_TEXT.replace("127.0.0.1:1\"", dial + "\"")));
    }

    private static String host(int i, String health) {
        return "{\"host\":\"s-" + i + "\",\"dial\":\"127.0.0.1:" + (2 + i) + "\",\"health\":\"" + health + "\"}";
    }

    /** Returns the connection of the next discovery call. */
    private Socket nextCall() throws InterruptedException {
        assertNotNull(discovery.nextRequest(), "no discovery call");
        return discovery.connections.poll(10, TimeUnit.SECONDS);
    }

    /** Waits until the node's pool has this many servers. */
    private void awaitServers(int listed) {
        long start = System.nanoTime();
        while (!node.metricsText().contains("proxy.pool_size:" + listed + "|g")) {
            assertTrue(System.nanoTime() - start < 6_000_000_000L, node.metricsText());
            Thread.onSpinWait();
        }
    }

    @Test
    void discoveryThatFailedForAWhileIsPolledSoonAfterItIsBack() throws Exception {
        start(CONFIG_TEXT, "127.0.0.1:1");
        moveDiscovery(discovery.address());
        for (int refused = 0; refused < 4; refused++) {
            discovery.responses.add(FakeServer.CLOSE_CONNECTION);
            nextCall();
        }
        long backNs = System.nanoTime();
        discovery.responses.add(HEAD + "{\"seq\":42,\"whole\":true,\"hosts\":[" + host(1, "active") + "]}\n");
        nextCall();
        awaitServers(1);
        double elapsedMs = (System.nanoTime() - backNs) / 1e6;
        assertTrue(elapsedMs < 3000, "known " + elapsedMs + " ms after discovery was back");
    }

    /** An indented list that spans several lines, some of them empty. */
    private static String indented(int seq, String hosts) {
        return "\n{\n  \"seq\": " + seq + ",\r\n\n  \"whole\": true,\n\t\"hosts\": [\n    "
                + hosts.replace(":\"", ": \"").replace(",", ",\n      ") + "\n  ]\n}";
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.setTcpNoDelay(true);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String chunk(String text) {
        return text.isEmpty() ? "" : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void awaitCounter(String text) throws Exception {
        String counted = "";
        for (int i = 0; i < 10_000 && !counted.contains(text); i++) {
            try (Socket socket =
                    new Socket(node.address().getAddress(), node.address().getPort())) {
                send(socket, "GET /health/counters HTTP/1.1\r\n\r\n");
                counted = FakeServer.readMessage(socket.getInputStream());
            }
        }
        assertTrue(counted.contains(text), counted);
    }

    @Test
    void indentedListsSplitAnywhereAreReadOnOneWatch() throws Exception {
        start(CONFIG_TEXT, "127.0.0.1:1");
        moveDiscovery(discovery.address());
        Socket watch = nextCall();
        send(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        int lists = 0;
        for (int splitAt = 0; splitAt < indented(42, host(1, "active")).length(); splitAt++) {
            String list = indented(42 + lists++, host(1, "active"));
            // Splits the list into two chunks there, and the bytes on the connection inside a chunk's framing.
            String framed = chunk(list.substring(0, splitAt)) + chunk(list.substring(splitAt));
            send(watch, framed.substring(0, splitAt));
            send(watch, framed.substring(splitAt));
        }
        String last = indented(42 + lists++, host(1, "active") + "," + host(2, "leaving") + "," + host(3, "active"));
        for (char c : last.toCharArray()) {
            send(watch, chunk(String.valueOf(c)));
        }
        awaitCounter("target_lists " + lists + "\n");
        awaitCounter("discovery_calls 1\n");
        awaitServers(3);
    }

    @Test
    void listIsReadHoweverItsWatchEnds() throws Exception {
        start(CONFIG_TEXT, "127.0.0.1:1");
        moveDiscovery(discovery.address());
        String two = indented(42, host(1, "active") + "," + host(2, "active"));
        nextCall();
        // The complete list lacks s-0 and s-3, and nothing follows its last brace.
        discovery.responses.add("HTTP/1.1 200 OK\r\nContent-Length: " + two.length() + "\r\n\r\n" + two);
        awaitServers(2);
        String request = discovery.nextRequest();
        assertTrue(request.startsWith("GET /registry/instances?watch=1&after=42 "), request);
        Socket toEnd = discovery.connections.take();
        send(toEnd, HEAD + indented(43, host(1, "active")));
        toEnd.close();
        awaitServers(1);
        request = discovery.nextRequest();
        assertTrue(request.startsWith("GET /registry/instances?watch=1&after=43 "), request);
    }

    @Test
    void truncatedListChangesNothingAndIsPolledAgain() throws Exception {
        start(CONFIG_TEXT, "127.0.0.1:1");
        moveDiscovery(discovery.address());
        String list = indented(42, host(1, "active"));
        Socket reset = nextCall();
        send(reset, HEAD + list.substring(0, list.length() - 1));
        reset.setSoLinger(true, 0);
        reset.close();
        Socket silent = nextCall();
        long sentNs = System.nanoTime();
        send(silent, HEAD + list.substring(0, list.length() - 1));
        Socket next = nextCall();
        double elapsedMs = (System.nanoTime() - sentNs) / 1e6;
        assertTrue(elapsedMs > 2500 && elapsedMs < 4000, "polled again after " + elapsedMs + " ms");
        awaitServers(4);
        send(next, HEAD + list);
        awaitServers(1);
    }

    @Test
    void movedDiscoveryIsPolledDuringAListAndTheOldCallEnds() throws Exception {
        try (FakeServer other = new FakeServer()) {
            start(CONFIG_TEXT, "127.0.0.1:1");
            moveDiscovery(other.address());
            assertNotNull(other.nextRequest());
            Socket old = other.connections.take();
            String late = indented(99, host(1, "active"));
            send(old, HEAD + late.substring(0, late.length() - 1));
            moveDiscovery(discovery.address());
            Socket call = nextCall();
            assertEquals(-1, old.getInputStream().read(), "the old call was not ended");
            send(call, HEAD + indented(7, host(1, "active") + "," + host(2, "active")));
            awaitServers(2);
            awaitCounter("target_lists 1\n");
        }
    }

    @Test
    void errorResponseEndsTheCallWithoutWaitingForItsBody() throws Exception {
        start(CONFIG_TEXT, "127.0.0.1:1");
        moveDiscovery(discovery.address());
        Socket refused = nextCall();
        long sentNs = System.nanoTime();
        send(refused, "HTTP/1.1 503 Service Unavailable\r\n\r\n");
        nextCall();
        double elapsedMs = (System.nanoTime() - sentNs) / 1e6;
        assertTrue(elapsedMs < 2000, "polled again after " + elapsedMs + " ms");
    }

    /** Guards a call that waits for its response head: its first empty line is due 2 s after the head. */
    @Test
    void responseHeadCountsAsHeartbeat() throws Exception {
        start(CONFIG_TEXT, "127.0.0.1:1");
        moveDiscovery(discovery.address());
        Socket watch = nextCall();
        assertNull(discovery.requests.poll(1500, TimeUnit.MILLISECONDS));
        send(watch, HEAD);
        assertNull(discovery.requests.poll(2000, TimeUnit.MILLISECONDS), "polled again during the response");
        send(watch, "\n");
        assertNull(discovery.requests.poll(1500, TimeUnit.MILLISECONDS));
    }
}

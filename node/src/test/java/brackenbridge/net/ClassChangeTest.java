package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.core.Event;
import brackenbridge.core.share.TenantQuotas;
import brackenbridge.log.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A request keeps the rules that its class had when it was opened, whatever a SIGHUP changes while it is queued. */
class ClassChangeTest {
    private FakeServer server;
    private Node node;

    @BeforeEach
    void start() throws IOException {
        server = new FakeServer();
        Clock clock = Clock.system();
        node = new Node(
                config(ConfigTest.TEXT), clock, new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        node.start();
        // A quota of one connection: the tenant's next request is queued.
        node.enqueue(new Event.TenantQuotasReceived(
                new TenantQuotas(1, Map.of("a", 1.0), 0, Map.of(), clock.nowMs() + 60_000, Map.of("a", 1.0))));
    }

    @AfterEach
    void end() throws IOException {
        server.close();
        node.kill();
    }

    private Config config(String text) {
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"active\"}";
        return Config.parse(text.replace("\"hosts\":[]", "\"hosts\":[" + host + "]"));
    }

    private Socket send(String method, String path, int id) throws IOException {
        Socket socket = new Socket(node.address().getAddress(), node.address().getPort());
        socket.setSoTimeout(3000);
        socket.getOutputStream()
                .write((method + " " + path + " HTTP/1.1\r\nHost: a\r\nX-Account: a\r\nX-Correlation-Id: " + id
                                + "\r\nX-Time-Left-Ms: 60000\r\nContent-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private void awaitCounter(String line) throws IOException {
        String counted = "";
        for (int i = 0; i < 2000 && !counted.contains(line); i++) {
            try (Socket socket =
                    new Socket(node.address().getAddress(), node.address().getPort())) {
                socket.getOutputStream()
                        .write("GET /health/counters HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                counted = FakeServer.readMessage(socket.getInputStream());
            }
        }
        assertTrue(counted.contains(line), counted);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"name\":\"file\" | \"name\":\"sign\"",
                "\"effect\":\"unsafe\" | \"effect\":\"safe\"",
            })
    void queuedRequestIsRejectedWhenItsClassChanges(String before, String after) throws Exception {
        try (Socket first = send("GET", "/view", 1)) {
            assertNotNull(server.nextRequest());
            try (Socket queued = send("POST", "/file", 2)) {
                awaitCounter("flows_in 2\n");
                node.reconfigure(() -> config(ConfigTest.TEXT.replace(before, after)));
                String back = FakeServer.readMessage(queued.getInputStream());
                assertTrue(back.startsWith("HTTP/1.1 503 "), back);
            }
            server.responses.add("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            assertTrue(
                    FakeServer.readMessage(first.getInputStream()).endsWith("done"),
                    "the open request keeps its rules");
        }
        assertEquals(0, server.requests.size());
    }
}

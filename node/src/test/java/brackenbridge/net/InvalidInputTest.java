package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.handover.Handover;
import brackenbridge.log.Log;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Malformed, truncated or oversized input at each port of a node gets one rejection or one close, counted under its
 * reason, while the open request of another client is still served.
 */
@Timeout(60)
class InvalidInputTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

    @TempDir
    private Path directory;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private FakeServer server;
    private FakeServer discovery;
    private Path handoverPath;
    private Node node;
    private Socket otherClient;

    @BeforeEach
    void start() throws Exception {
        server = new FakeServer();
        discovery = new FakeServer();
        handoverPath = Handover.socketPath(directory.toString(), "n3", "127.0.0.1:0");
        Clock clock = Clock.system();
        node = new Node(
                Config.parse(configText()),
                clock,
                new Log(clock, new PrintStream(log, true, StandardCharsets.UTF_8)),
                handoverPath);
        node.start();
        otherClient = send(node.address(), request("POST", "/file", "other", ""));
        assertNotNull(server.nextRequest());
    }

    @AfterEach
    void end() throws IOException {
        otherClient.close();
        server.close();
        discovery.close();
        node.kill();
    }

    /** A configuration with pushed endpoint lists, one server and a management address. */
    private String configText() {
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"active\"}";
        return ConfigTest.TEXT
                .replace("\"hosts\":[]", "\"hosts\":[" + host + "]")
                .replace("\"discovery\":\"on_request\"", "\"discovery\":\"pushed\"")
                .replace(
                        "\"discovery\":\"127.0.0.1:1\"",
                        "\"mgmt\":\"127.0.0.1:0\",\"discovery\":\"" + discovery.address() + "\"");
    }

    private static String request(String method, String path, String id, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: " + id + "\r\n" + more + "\r\n";
    }

    private static Socket send(InetSocketAddress to, String text) throws IOException {
        Socket socket = new Socket(to.getAddress(), to.getPort());
        socket.setSoTimeout(10_000);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** Sends the text on a new connection and returns everything received until the end of the connection. */
    private static String exchange(InetSocketAddress to, String text) throws IOException {
        try (Socket socket = send(to, text)) {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private String counters() throws IOException {
        return exchange(node.address(), "GET /health/counters HTTP/1.1\r\nConnection: close\r\n\r\n");
    }

    private static void awaitCondition(BooleanSupplier condition, String message) {
        for (int i = 0; i < 5000 && !condition.getAsBoolean(); i++) {
            LockSupport.parkNanos(2_000_000);
        }
        assertTrue(condition.getAsBoolean(), message);
    }

    private void awaitCounter(String line) throws IOException {
        String counted = counters();
        for (int i = 0; i < 5000 && !counted.contains(line); i++) {
            counted = counters();
        }
        assertTrue(counted.contains("\n" + line + "\n"), counted);
        assertEquals(line.startsWith("refused_") ? 1 : 0, counted.split("\nrefused_", -1).length - 1, counted);
    }

    private void assertOtherClientIsServed() throws IOException {
        server.responses.add(OK);
        assertTrue(FakeServer.readMessage(otherClient.getInputStream()).endsWith("done"));
    }

    private int countLogged(String part) {
        return log.toString(StandardCharsets.UTF_8).split(java.util.regex.Pattern.quote(part), -1).length - 1;
    }

    @ParameterizedTest
    @CsvSource({
        "malformed, bytes", "malformed, binary", "malformed, name", "malformed, framing", "malformed, chunk",
        "malformed, version", "malformed, time", "oversized, target", "oversized, head", "oversized, fields",
        "oversized, body", "unknown, class", "unknown, method", "unknown, expectation", "out_of_turn, id",
    })
    void invalidRequestGetsOneResponseAndOneCountedReason(String reason, String what) throws IOException {
        String text = Map.ofEntries(
                        Map.entry("bytes", "\u0016\u0003\u0001\u0002\u0000\u0001\r\n\r\n"),
                        Map.entry("binary", request("GET", "/view", "1", "A: \u0000\r\n")),
                        Map.entry("name", request("GET", "/view", "1", "A : b\r\n")),
                        Map.entry(
                                "framing", request("POST", "/file", "1", "Content-Length: 1\r\nContent-Length: 2\r\n")),
                        Map.entry("chunk", request("POST", "/file", "1", "Transfer-Encoding: chunked\r\n") + "zz\r\n"),
                        Map.entry("version", "GET /view HTTP/2.0\r\n\r\n"),
                        Map.entry("time", request("GET", "/view", "1", "X-Time-Left-Ms: -1\r\n")),
                        Map.entry("target", "GET /" + "x".repeat(10_000) + " HTTP/1.1\r\n\r\n"),
                        Map.entry("head", request("GET", "/view", "1", "A: " + "x".repeat(20_000) + "\r\n")),
                        Map.entry("fields", request("GET", "/view", "1", "A: b\r\n".repeat(101))),
                        Map.entry("body", request("POST", "/file", "1", "Content-Length: 33554433\r\n")),
                        Map.entry("class", request("GET", "/nothing", "1", "")),
                        Map.entry("method", request("GET", "/file", "1", "")),
                        Map.entry("expectation", request("GET", "/view", "1", "Expect: miracles\r\n")),
                        Map.entry("id", request("POST", "/file", "other", "")))
                .get(what);
        String back = exchange(node.address(), text);
        assertTrue(back.matches("(?s)HTTP/1.1 [45][0-9][0-9] .*"), back);
        assertEquals(1, back.split("HTTP/1.1 ", -1).length - 1, back);
        awaitCounter("refused_requests_" + reason + " 1");
        assertOtherClientIsServed();
        assertEquals(0, server.requests.size(), "nothing is forwarded");
    }

    @ParameterizedTest
    @CsvSource({
        "malformed, HTTP/1.1 200 OK, Content-Length: 1x",
        "malformed, zzz, A: b",
        "oversized, HTTP/1.1 200 OK, Content-Length: 99999999999",
        "malformed, HTTP/1.1 101 Now something else, A: b"
    })
    void invalidResponseFailsItsOwnRequestOnly(String reason, String status, String field) throws Exception {
        String head = "\r\n" + field + "\r\n\r\nx";
        try (Socket mine = send(node.address(), request("POST", "/file", "mine", ""))) {
            assertNotNull(server.nextRequest());
            // Either request may get it: both have been forwarded, and the server's connections respond in any order.
            server.responses.add(status + head);
            awaitCounter("refused_answers_" + reason + " 1");
            server.responses.add(OK);
            String ownResponse = FakeServer.readMessage(mine.getInputStream());
            String otherResponse = FakeServer.readMessage(otherClient.getInputStream());
            assertTrue(
                    ownResponse.startsWith("HTTP/1.1 502 ") && otherResponse.endsWith("done")
                            || otherResponse.startsWith("HTTP/1.1 502 ") && ownResponse.endsWith("done"),
                    ownResponse + otherResponse);
        }
    }

    @ParameterizedTest
    @CsvSource({"list", "unnamed", "truncated", "long", "status", "head"})
    void invalidDiscoveryResponseEndsItsCallAndKeepsTheList(String what) throws Exception {
        assertNotNull(discovery.nextRequest());
        String head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        // Before the response: afterwards the server reads the end of the connection and closes its socket, which then
        // has no input to shut down.
        discovery.connections.poll().shutdownInput();
        discovery.responses.add(Map.of(
                        "list", head + "{\"seq\":43,\"whole\":true}\n",
                        "unnamed", head + "{\"seq\":43,\"whole\":true,\"hosts\":[{\"dial\":\"127.0.0.1:7\"}]}\n",
                        "truncated", head + "{\"seq\":43,\"whole\":true,\"hosts\":[",
                        "long", head + " ".repeat((1 << 20) + 1),
                        "status", "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
                        "head", "{\"seq\":43,\"whole\":true,\"hosts\":[]}\n\n")
                .get(what));
        awaitCondition(() -> countLogged("discovery call ") > 0, "the call has not ended");
        awaitCounter("discovery_failed 1");
        assertEquals(1, countLogged("discovery call "), log.toString(StandardCharsets.UTF_8));
        assertOtherClientIsServed();
        server.responses.add(OK);
        assertTrue(
                exchange(node.address(), request("POST", "/file", "next", "Connection: close\r\n"))
                        .endsWith("done"),
                "the endpoint list was not kept");
    }

    @ParameterizedTest
    @CsvSource({"malformed, P\u0001NG", "oversized, long", "unknown, HELP", "cut, cut", "slow, silent"})
    void invalidManagementCallGetsOneLineAndOneCountedReason(String reason, String what) throws IOException {
        String text = what.equals("long") ? "x".repeat(1000) : what.equals("silent") ? "" : what + "\n";
        if (what.equals("cut")) {
            send(node.managementAddress(), "PIN").close();
        } else {
            try {
                String back = exchange(node.managementAddress(), text);
                assertTrue(what.equals("silent") ? back.isEmpty() : back.matches("-ERR [a-z ]+\n"), back);
            } catch (SocketException e) {
                assertEquals("long", what, "a close with unread bytes may reset: " + e);
            }
        }
        awaitCounter("refused_calls_" + reason + " 1");
        assertEquals("+OK\n", exchange(node.managementAddress(), "PING\n"));
        assertOtherClientIsServed();
    }

    @ParameterizedTest
    @CsvSource({
        "malformed, GET / HTTP/1.1\\n",
        "oversized, long",
        "cut, brackenbridge-handover 1 succ",
        "slow, silent",
        "out_of_turn, ready\\n",
        "slow, brackenbridge-handover 1 successor\\n",
        "malformed, brackenbridge-handover 1 successor\\njunk\\n",
    })
    void invalidSuccessorMessageClosesTheConnectionAndIsCounted(String reason, String what) throws Exception {
        awaitCondition(() -> Files.exists(handoverPath), "the node does not listen for a successor");
        String text = what.equals("long")
                ? "x".repeat((1 << 20) + 1)
                : what.equals("silent") ? "" : what.replace("\\n", "\n");
        try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(handoverPath))) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            ByteBuffer back = ByteBuffer.allocate(4096);
            if (reason.equals("cut")) {
                channel.shutdownOutput();
            }
            while (channel.read(back) >= 0) {
                back.clear();
            }
        }
        awaitCounter("refused_handovers_" + reason + " 1");
        // Lines are written by the log's own thread.
        awaitCondition(() -> countLogged("rejected: ") > 0, "the rejection was not logged");
        assertEquals(1, countLogged("rejected: " + reason), log.toString(StandardCharsets.UTF_8));
        assertOtherClientIsServed();
    }

    @Test
    void successorWithoutManagementPortDoesNotReplaceTheOldProcess() throws Exception {
        awaitCondition(() -> Files.exists(handoverPath), "the node does not listen for a successor");
        Clock clock = Clock.system();
        String taken = "127.0.0.1:" + node.managementAddress().getPort();
        Node next = new Node(
                Config.parse(configText()
                                .replace(
                                        "\"listen\":\"127.0.0.1:0",
                                        "\"listen\":\"127.0.0.1:"
                                                + node.address().getPort()))
                        .withManagement(taken),
                clock,
                new Log(clock, new PrintStream(OutputStream.nullOutputStream())),
                handoverPath);
        String why = assertThrows(IllegalArgumentException.class, next::start).getMessage();
        assertTrue(why.startsWith("mgmt " + taken), why);
        next.kill();
        awaitCondition(() -> countLogged("the new process has ended") > 0, "the old process did not notice the end");
        assertEquals(0, countLogged("the new process serves"), "no client could have reached the new process");
        assertOtherClientIsServed();
    }

    @Test
    void invalidConfigurationIsCountedAndLoggedOnceAndChangesNothing() throws Exception {
        String good = configText();
        String[] texts = {
            "",
            good.substring(0, 200),
            "{}",
            "[]",
            "x".repeat(5 << 20),
            good.replace("\"tier\":1", "\"tier\":\"x\""),
            good.replace("\"tier\":1", "\"tier\":1,\"tier\":2"),
            good.replace("\"name\":\"n3\"", "\"name\":3"),
            good.replace("\"giveUp\":8000000", "\"giveUp\":1e30"),
            good.replace(discovery.address(), "nowhere:80"),
            good.replace("\"health\":\"active\"", "\"health\":7")
        };
        for (int i = 0; i < texts.length; i++) {
            Path file = Files.writeString(directory.resolve("config" + i), texts[i]);
            node.reconfigure(() -> Config.read(file));
        }
        node.reconfigure(() -> Config.read(directory));
        node.reconfigure(() -> Config.parse(good));
        awaitCounter("reconfigured 1");
        awaitCounter("reconfigure_failed " + (texts.length + 1));
        awaitCondition(
                () -> countLogged("configuration rejected, the previous one stays in force: ") > texts.length,
                "not every rejection was logged");
        assertEquals(
                texts.length + 1,
                countLogged("configuration rejected, the previous one stays in force: "),
                log.toString(StandardCharsets.UTF_8));
        assertOtherClientIsServed();
    }
}

package brackenbridge.net;

import static brackenbridge.net.HttpIo.millisecondsSince;
import static brackenbridge.net.HttpIo.patternBytes;
import static brackenbridge.net.HttpIo.readChunks;
import static brackenbridge.net.HttpIo.readHead;
import static brackenbridge.net.HttpIo.write;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Long uploads whose first attempt ends before its last byte: a server that is sent the request again gets the whole
 * body, and without a whole body there is no second attempt.
 */
class UploadRetryTest {
    /** The part of a long body with which its request is opened, and which is kept for a retry. */
    private static final int FIRST_PART_BYTES = 65_536;

    private static final int PIECE_BYTES = 4_096;
    private static final int BODY_BYTES = FIRST_PART_BYTES + 2 * PIECE_BYTES;
    private static final int LINE_END_BYTES = "\r\n".length();
    private static final int WAIT_MS = 6000;
    private static final int READ_TIMEOUT_MS = 10_000;
    /** An upload that can't be sent again is answered within this time, long before its client gives up. */
    private static final long ANSWER_LIMIT_MS = 2000;

    /** What a server records when an attempt has reached it. */
    private static final String BEGAN = "began";

    private static final String LIST_HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

    private final ScriptedServer server = new ScriptedServer();
    private final byte[] body = patternBytes(BODY_BYTES);
    private final CountDownLatch endNow = new CountDownLatch(1);
    private FakeServer agent;
    private Socket watch;
    private Node node;
    private Socket client;

    /** How a request's body is framed. */
    private enum Framing {
        LENGTH,
        CHUNKED
    }

    /** What ends the first attempt. */
    private enum Ending {
        RESET,
        CLOSE,
        EARLY_REJECTION,
        DRAIN,
        RESET_IN_SHUTDOWN,
        SERVER_WAITS
    }

    /** When the client sends the end of the body. */
    private enum BodyEnd {
        BEFORE_RETRY,
        AFTER_RETRY
    }

    private static Stream<Arguments> endings() {
        return Stream.of(Ending.values())
                .filter(ending -> ending != Ending.SERVER_WAITS)
                .flatMap(ending -> Stream.of(Framing.values()).map(framing -> Arguments.of(ending, framing)));
    }

    private static Stream<Arguments> endingsAndBodyEnds() {
        return endings()
                .flatMap(arguments -> Stream.of(BodyEnd.values())
                        .map(bodyEnd ->
                                Arguments.of(arguments.get()[0], arguments.get()[1], bodyEnd)));
    }

    /** Starts a node that knows one server and gets further lists pushed by its agent. */
    @BeforeEach
    void start() throws Exception {
        agent = new FakeServer();
        agent.responses.add(LIST_HEAD);
        Clock clock = Clock.system();
        node = new Node(
                Config.parse(ConfigTest.TEXT
                        .replace("\"hosts\":[]", "\"hosts\":[" + host("s-1", "active") + "]")
                        .replace("\"discovery\":\"on_request\"", "\"discovery\":\"pushed\"")
                        .replace("127.0.0.1:1\"", agent.address() + "\"")),
                clock,
                new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        node.start();
        assertNotNull(agent.nextRequest());
        watch = agent.connections.poll(10, TimeUnit.SECONDS);
        client = new Socket(node.address().getAddress(), node.address().getPort());
        client.setSoTimeout(READ_TIMEOUT_MS);
    }

    @AfterEach
    void end() throws IOException {
        endNow.countDown();
        client.close();
        server.close();
        node.kill();
        agent.close();
    }

    private String host(String name, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + server.address() + "\",\"health\":\"" + health + "\"}";
    }

    private void pushList(int version, String... hosts) throws IOException {
        write(watch, "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}\n");
    }

    /** The first server as it is listed from the end of the first attempt on. */
    private String firstHost(Ending ending) {
        return host("s-1", ending == Ending.DRAIN ? "leaving" : "active");
    }

    private void sendHead(Framing framing) throws IOException {
        write(
                client,
                "POST /file HTTP/1.1\r\nX-Correlation-Id: 9\r\nX-Time-Left-Ms: " + WAIT_MS + "\r\n"
                        + (framing == Framing.CHUNKED ? "Transfer-Encoding: chunked" : "Content-Length: " + BODY_BYTES)
                        + "\r\n\r\n");
    }

    /** Sends this part of the body, as one chunk where it is chunked. */
    private void sendPart(Framing framing, int from, int length) throws IOException {
        if (framing == Framing.CHUNKED) {
            write(client, Integer.toHexString(length) + "\r\n");
        }
        client.getOutputStream().write(body, from, length);
        if (framing == Framing.CHUNKED) {
            write(client, "\r\n");
        }
    }

    /** Sends what follows the first part of the body. */
    private void sendRest(Framing framing) throws IOException {
        sendPart(framing, FIRST_PART_BYTES, PIECE_BYTES);
        sendPart(framing, FIRST_PART_BYTES + PIECE_BYTES, PIECE_BYTES);
        if (framing == Framing.CHUNKED) {
            write(client, "0\r\n\r\n");
        }
    }

    /** Reads a part of the body in its framing; with a chunk, its size before it and its end behind it. */
    private static void readPart(Socket connection, Framing framing, int length) throws IOException {
        int framingBytes =
                framing == Framing.CHUNKED ? Integer.toHexString(length).length() + 2 * LINE_END_BYTES : 0;
        connection.getInputStream().readNBytes(length + framingBytes);
    }

    /** Adds the script of the first attempt: reads these parts of the body and ends the attempt when told to. */
    private void addBrokenAttempt(Ending ending, Framing framing, int... parts) {
        server.scripts.add(connection -> {
            readHead(connection.getInputStream());
            for (int part : parts) {
                readPart(connection, framing, part);
            }
            server.observed.add(BEGAN);
            endNow.await();
            if (ending == Ending.EARLY_REJECTION) {
                write(connection, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
            }
            if (ending == Ending.RESET || ending == Ending.RESET_IN_SHUTDOWN) {
                connection.setSoLinger(true, 0);
            } else if (ending != Ending.CLOSE) {
                // The node closes the connection.
                connection.getInputStream().readAllBytes();
            }
        });
    }

    /** Adds the script of a second attempt: records the body that it gets. */
    private void addWholeAttempt(Framing framing) {
        server.scripts.add(connection -> {
            readHead(connection.getInputStream());
            server.observed.add(BEGAN);
            server.observed.add(
                    framing == Framing.CHUNKED
                            ? readChunks(connection.getInputStream())
                            : connection.getInputStream().readNBytes(BODY_BYTES));
            write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        });
    }

    private Object nextObserved() throws InterruptedException {
        return server.observed.poll(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void endFirstAttempt(Ending ending) {
        if (ending == Ending.RESET_IN_SHUTDOWN) {
            node.stop();
        }
        endNow.countDown();
    }

    private void awaitNoServerConnection() throws Exception {
        while (node.snapshot().get(10, TimeUnit.SECONDS).servers() > 0) {
            Thread.onSpinWait();
        }
    }

    /** Guards against running the first part of a body as the whole, and against a retry that never gets the rest. */
    @ParameterizedTest
    @MethodSource("endingsAndBodyEnds")
    void uploadWhoseFirstPartWasSentInVainIsSentAgainAsAWhole(Ending ending, Framing framing, BodyEnd bodyEnd)
            throws Exception {
        addBrokenAttempt(ending, framing, FIRST_PART_BYTES);
        sendHead(framing);
        sendPart(framing, 0, FIRST_PART_BYTES);
        assertEquals(BEGAN, nextObserved());
        addWholeAttempt(framing);
        if (bodyEnd == BodyEnd.AFTER_RETRY) {
            pushList(42, firstHost(ending), host("s-2", "active"));
            endFirstAttempt(ending);
            assertEquals(BEGAN, nextObserved(), "no second attempt");
            sendRest(framing);
        } else {
            pushList(42, firstHost(ending));
            endFirstAttempt(ending);
            awaitNoServerConnection();
            sendRest(framing);
            pushList(43, firstHost(ending), host("s-2", "active"));
            assertEquals(BEGAN, nextObserved(), "no second attempt");
        }
        assertArrayEquals(body, (byte[]) nextObserved());
        String head = readHead(client.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 200 "), head);
    }

    /** Guards against a second attempt without the whole body, and against waiting when there can be none. */
    @ParameterizedTest
    @MethodSource("endings")
    void uploadOfWhichMoreWasSentInVainIsRefusedAtOnce(Ending ending, Framing framing) throws Exception {
        addBrokenAttempt(ending, framing, FIRST_PART_BYTES, PIECE_BYTES);
        sendHead(framing);
        sendPart(framing, 0, FIRST_PART_BYTES);
        sendPart(framing, FIRST_PART_BYTES, PIECE_BYTES);
        assertEquals(BEGAN, nextObserved());
        addWholeAttempt(framing);
        pushList(42, firstHost(ending), host("s-2", "active"));
        long endedNs = System.nanoTime();
        endFirstAttempt(ending);
        String head = readHead(client.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 503 "), head);
        long afterMs = millisecondsSince(endedNs);
        assertTrue(afterMs < ANSWER_LIMIT_MS, "answered after " + afterMs + " ms");
        NodeMetrics.expectCounter(node, "forwards_sent 1");
    }

    /** Guards against a second attempt at the exit of a process, and against leaving the upload without an answer. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void uploadThatIsIncompleteWhenItsProcessExitsIsRefused(Framing framing) throws Exception {
        addBrokenAttempt(Ending.SERVER_WAITS, framing, FIRST_PART_BYTES);
        sendHead(framing);
        sendPart(framing, 0, FIRST_PART_BYTES);
        assertEquals(BEGAN, nextObserved());
        addWholeAttempt(framing);
        pushList(42, host("s-1", "active"), host("s-2", "active"));
        endFirstAttempt(Ending.SERVER_WAITS);
        CompletableFuture<Void> exited = node.stop();
        String head = readHead(client.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 503 ") || head.startsWith("HTTP/1.1 408 "), head);
        exited.get(10, TimeUnit.SECONDS);
        assertTrue(server.observed.isEmpty(), "a second attempt: " + server.observed);
    }
}

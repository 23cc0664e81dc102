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
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Responses whose bytes arrive late, in part, or without an end. */
class LateResponseBytesTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

    private final PausableClock clock = new PausableClock();
    private FakeServer server;
    private Node node;
    private Socket client;

    @BeforeEach
    void start() throws IOException {
        server = new FakeServer();
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"active\"}";
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
        clock.resume();
        client.close();
        server.close();
        node.kill();
    }

    private void sendRequest(String id, int timeLeftMs) throws IOException {
        write(
                client,
                "POST /file HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left-Ms: " + timeLeftMs
                        + "\r\nContent-Length: 1\r\n\r\na");
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String readResponse() throws IOException {
        return String.valueOf(FakeServer.readMessage(client.getInputStream()));
    }

    /** Serves one request and waits until the connection to the server may be reused. */
    private Socket serveAndKeepConnection() throws Exception {
        server.responses.add(OK);
        sendRequest("first", 5000);
        assertTrue(readResponse().endsWith("done"));
        assertNotNull(server.nextRequest());
        long start = System.nanoTime();
        while (System.nanoTime() - start < 8_000_000) {
            node.tenantUse().get(10, TimeUnit.SECONDS);
        }
        return server.connections.take();
    }

    @Test
    void bytesOnAnIdleConnectionAreNoPartOfTheNextResponse() throws Exception {
        for (String late : new String[] {"HTTP/1.1 2", "\r\n", OK}) {
            for (boolean closes : new boolean[] {true, false}) {
                Socket connection = serveAndKeepConnection();
                clock.pause();
                sendRequest("next", 5000);
                write(connection, late);
                if (closes) {
                    connection.close();
                }
                server.responses.add(OK.replace("done", "mine"));
                clock.resume();
                assertTrue(readResponse().endsWith("mine"));
                assertNotNull(server.nextRequest());
                assertEquals(0, server.requests.size());
                server.connections.take().close();
            }
        }
    }

    /** Serves a request, then the next one while a second copy of the first response comes; returns the response. */
    private String responseBesideALateCopy() throws Exception {
        Socket connection = serveAndKeepConnection();
        sendRequest("next", 5000);
        assertNotNull(server.nextRequest());
        write(connection, OK);
        node.tenantUse().get(10, TimeUnit.SECONDS);
        server.responses.add(OK.replace("done", "mine"));
        String response = readResponse();
        server.connections.clear();
        return response;
    }

    /** Guards clients against another request's response: after late bytes of a server, connections rest longer. */
    @Test
    void lateCopyOfAResponseIsNotTakenForTheNextOne() throws Exception {
        Socket connection = serveAndKeepConnection();
        write(connection, OK);
        node.tenantUse().get(10, TimeUnit.SECONDS);
        // A round is void if the machine delayed it beyond the time for which a connection rests.
        boolean inTime = false;
        for (int i = 0; i < 20 && !inTime; i++) {
            long startNs = System.nanoTime();
            String response = responseBesideALateCopy();
            inTime = HttpIo.millisecondsSince(startNs) < 25;
            assertTrue(response.endsWith("mine") || !inTime, response);
        }
        assertTrue(inTime, "no round was quick enough");
    }

    /** Heads of responses that are delimited by the end of the connection. */
    private static final String[] HEADS_WITHOUT_LENGTH = {
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n"
    };

    /** When the connection ends after the last byte. */
    private enum When {
        /** After the node has read everything before it. */
        AFTER_READING,
        /** Together with the last bytes, in the same poll of the node. */
        WITH_LAST_BYTES
    }

    /** Lets the server send this text and end the connection, in order or with a reset; returns the node's response. */
    private String exchangeThenEnd(String text, When when, boolean reset) throws Exception {
        // Uses a new node each time: after repeated broken connections, a node ejects the server for a while.
        end();
        start();
        sendRequest("a", 5000);
        assertNotNull(server.nextRequest());
        Socket connection = server.connections.take();
        if (when == When.WITH_LAST_BYTES) {
            clock.pause();
        }
        write(connection, text);
        if (when == When.AFTER_READING) {
            node.tenantUse().get(10, TimeUnit.SECONDS);
            node.tenantUse().get(10, TimeUnit.SECONDS);
        }
        connection.setSoLinger(reset, 0);
        connection.close();
        if (when == When.WITH_LAST_BYTES) {
            clock.resume();
        }
        return readResponse();
    }

    @Test
    void responseWithoutLengthEndsWithItsConnection() throws Exception {
        for (String head : HEADS_WITHOUT_LENGTH) {
            for (When when : When.values()) {
                for (String body : new String[] {"complete", "", "x".repeat(60_000)}) {
                    String back = exchangeThenEnd(head + body, when, false);
                    assertTrue(back.startsWith("HTTP/1.1 200 "), head + when + back);
                    assertEquals(body, back.substring(back.indexOf("\r\n\r\n") + 4));
                }
            }
        }
    }

    @Test
    void resetDoesNotCompleteAResponseWithoutLength() throws Exception {
        for (String head : HEADS_WITHOUT_LENGTH) {
            for (When when : When.values()) {
                String back = exchangeThenEnd(head + "half", when, true);
                assertTrue(back.startsWith("HTTP/1.1 502 "), head + when + back);
            }
        }
    }

    @Test
    void closeDoesNotCompleteAResponseWithLength() throws Exception {
        for (String half : new String[] {
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n"
        }) {
            for (When when : When.values()) {
                assertTrue(exchangeThenEnd(half, when, false).startsWith("HTTP/1.1 502 "), half + when);
            }
        }
    }

    /** Guards against a failed write that consumes the error of a reset, so that the next read sees an orderly end. */
    @Test
    void resetSeenByAWriteFirstDoesNotCompleteAResponse() throws Exception {
        write(
                client,
                "POST /file HTTP/1.1\r\nX-Correlation-Id: w\r\nX-Time-Left-Ms: 5000\r\nContent-Length: 300000\r\n\r\n"
                        + "x".repeat(100_000));
        Socket connection = server.connections.poll(10, TimeUnit.SECONDS);
        assertNotNull(connection);
        write(connection, "HTTP/1.1 200 OK\r\n\r\nhalf");
        node.tenantUse().get(10, TimeUnit.SECONDS);
        node.tenantUse().get(10, TimeUnit.SECONDS);
        clock.pause();
        write(client, "x".repeat(100_000));
        connection.setSoLinger(true, 0);
        connection.close();
        clock.resume();
        String back = readResponse();
        assertTrue(!back.startsWith("HTTP/1.1 200 "), back);
    }

    /** Starts a response without an end that is written in chunks of this size, one each millisecond. */
    private Thread startEndlessResponse(int chunkBytes) throws Exception {
        sendRequest("a", 400);
        assertNotNull(server.nextRequest());
        Socket connection = server.connections.take();
        write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
        Thread trickle = new Thread(() -> {
            try {
                while (true) {
                    write(connection, chunk);
                    LockSupport.parkNanos(1_000_000);
                }
            } catch (Exception e) {
                return;
            }
        });
        trickle.setDaemon(true);
        trickle.start();
        return trickle;
    }

    private static void expectEnd(Thread trickle) throws InterruptedException {
        trickle.join(10_000);
        assertTrue(!trickle.isAlive(), "the connection was not closed");
    }

    @Test
    void endlessResponseFailsAtTheDeadline() throws Exception {
        Thread trickle = startEndlessResponse(1);
        assertTrue(readResponse().startsWith("HTTP/1.1 504 "));
        expectEnd(trickle);
    }

    /** It can't be told from a long response: its first bytes come in time, and it ends with its client. */
    @Test
    void fastEndlessResponseIsStreamedAtTheDeadlineUntilItsClientLeaves() throws Exception {
        long startNs = System.nanoTime();
        Thread trickle = startEndlessResponse(60);
        String head = HttpIo.readHead(client.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 200 ") && head.contains("Transfer-Encoding: chunked\r\n"), head);
        long afterMs = HttpIo.millisecondsSince(startNs);
        assertTrue(afterMs < 900, "first bytes after " + afterMs + " ms");
        client.close();
        expectEnd(trickle);
    }
}

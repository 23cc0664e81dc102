package brackenbridge.net;

import static brackenbridge.net.HttpIo.patternBytes;
import static brackenbridge.net.HttpIo.readChunks;
import static brackenbridge.net.HttpIo.readHead;
import static brackenbridge.net.HttpIo.write;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.net.ScriptedServer.Script;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Long bodies streamed through a node, and failures during the transfer. */
class LongBodyTest {
    private static final int BODY_BYTES = 3_000_000;
    /** Long enough to be streamed, and within the read-ahead limit behind a request. */
    private static final int BODY_BEHIND_REQUEST_BYTES = 150_000;
    /** Each round takes a turn of the node's event loop, which reads at most 128 KB of a connection. */
    private static final int ROUNDS_UNTIL_ALL_READ = 20;

    private static final int LIVE_BODY_BYTES = "live\n".length();

    private final ScriptedServer server = new ScriptedServer();
    private final LinkedBlockingQueue<Script> scripts = server.scripts;
    private final LinkedBlockingQueue<Object> observed = server.observed;
    private Node node;
    private Socket client;

    @BeforeEach
    void start() throws IOException {
        node = server.startNode();
        client = connect();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(node.address().getAddress(), node.address().getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    @AfterEach
    void end() throws IOException {
        client.close();
        server.close();
        node.kill();
    }

    private void sendGet(String version, String fields) throws IOException {
        write(client, "GET /view HTTP/" + version + "\r\nX-Correlation-Id: 7\r\n" + fields + "\r\n");
    }

    /** Returns a script that reads one head and then sends these headers and this much of a body. */
    private static Script sendsResponse(String fields, byte[] body, int bytesSent) {
        return s -> {
            readHead(s.getInputStream());
            write(s, "HTTP/1.1 200 OK\r\n" + fields + "\r\n");
            s.getOutputStream().write(body, 0, bytesSent);
        };
    }

    @Test
    void longResponseIsCompleteForASlowReader() throws Exception {
        byte[] body = patternBytes(20_000_000);
        scripts.add(sendsResponse("Content-Length: 20000000\r\n", body, body.length));
        sendGet("1.1", "");
        Socket slow = client;
        String head = readHead(slow.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 200 ") && head.contains("Content-Length: 20000000\r\n"), head);
        client = connect();
        scripts.add(sendsResponse("Content-Length: 2\r\n", body, 2));
        write(client, "GET /view HTTP/1.1\r\nX-Correlation-Id: 8\r\n\r\n");
        assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 200 "), "other clients are served meanwhile");
        assertArrayEquals(body, slow.getInputStream().readNBytes(body.length));
        write(slow, "GET /health/live HTTP/1.1\r\n\r\n");
        assertTrue(readHead(slow.getInputStream()).startsWith("HTTP/1.1 200 "), "the connection is kept alive");
        slow.close();
    }

    @Test
    void bodiesWithoutALengthArePassedOnInChunks() throws Exception {
        byte[] body = patternBytes(BODY_BYTES);
        scripts.add(s -> {
            readHead(s.getInputStream());
            write(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < BODY_BYTES; i += 100_000) {
                write(s, "186a0;x=y\r\n");
                s.getOutputStream().write(body, i, 100_000);
                write(s, "\r\n");
            }
            write(s, "0\r\nTrailer: t\r\n\r\n");
        });
        scripts.add(sendsResponse("Connection: close\r\n", body, BODY_BYTES));
        scripts.add(sendsResponse("", body, BODY_BYTES));
        for (int i = 0; i < 3; i++) {
            sendGet("1.1", "");
            assertTrue(readHead(client.getInputStream()).contains("Transfer-Encoding: chunked\r\n"));
            assertArrayEquals(body, readChunks(client.getInputStream()));
        }
        scripts.add(sendsResponse("Connection: close\r\n", body, BODY_BYTES));
        sendGet("1.0", "");
        String head = readHead(client.getInputStream());
        assertTrue(head.contains("Connection: close\r\n") && !head.contains("chunked"), head);
        assertArrayEquals(body, client.getInputStream().readAllBytes());
    }

    /** Makes requests on another connection until everything that reached the node before them has been read. */
    private void awaitAllRead() throws IOException {
        try (Socket other = connect()) {
            for (int i = 0; i < ROUNDS_UNTIL_ALL_READ; i++) {
                write(other, "GET /health/live HTTP/1.1\r\n\r\n");
                assertTrue(readHead(other.getInputStream()).startsWith("HTTP/1.1 200 "));
                other.getInputStream().readNBytes(LIVE_BODY_BYTES);
            }
        }
    }

    /** Guards against holding back the last byte until a client sends more, when it has nothing more to send. */
    @Test
    void longBodyThatWasReadBeforeItsTurnIsPassedOn() throws Exception {
        CountDownLatch bodyRead = new CountDownLatch(1);
        byte[] body = patternBytes(BODY_BEHIND_REQUEST_BYTES);
        scripts.add(s -> {
            readHead(s.getInputStream());
            bodyRead.await();
            write(s, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        });
        scripts.add(s -> {
            readHead(s.getInputStream());
            observed.add(readChunks(s.getInputStream()).length);
            write(s, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
        sendGet("1.1", "");
        write(
                client,
                "POST /file HTTP/1.1\r\nX-Correlation-Id: 8\r\nX-Time-Left-Ms: 4000\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length) + "\r\n");
        client.getOutputStream().write(body);
        write(client, "\r\n0\r\n\r\n");
        awaitAllRead();
        bodyRead.countDown();
        assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 200 "));
        String head = readHead(client.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 200 "), head);
        assertEquals(body.length, observed.poll(10, TimeUnit.SECONDS));
    }

    @Test
    void responseThatBreaksIsTruncatedForTheClient() throws Exception {
        byte[] body = patternBytes(BODY_BYTES);
        scripts.add(sendsResponse("Content-Length: 3000000\r\n", body, 1_000_000));
        sendGet("1.1", "");
        readHead(client.getInputStream());
        assertEquals(1_000_000, client.getInputStream().readAllBytes().length);
        client = connect();
        scripts.add(s -> {
            readHead(s.getInputStream());
            write(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(200_000) + "\r\n");
            s.getOutputStream().write(body, 0, 200_000);
            write(s, "\r\nnonsense\r\n");
        });
        sendGet("1.1", "");
        readHead(client.getInputStream());
        assertEquals(200_001, readChunks(client.getInputStream()).length, "no last chunk");
        NodeMetrics.await(node, "proxy.errors.view:2|c");
    }

    /** The client detects the truncation by the missing last chunk, or by a reset if the response is not chunked. */
    @Test
    void responseWithoutALengthThatIsResetIsTruncated() throws Exception {
        byte[] body = patternBytes(BODY_BYTES);
        for (String version : new String[] {"1.1", "1.0"}) {
            client = connect();
            scripts.add(s -> {
                sendsResponse("", body, 1_000_000).play(s);
                observed.poll(10, TimeUnit.SECONDS);
                s.setSoLinger(true, 0);
            });
            sendGet(version, "");
            String head = readHead(client.getInputStream());
            assertTrue(head.startsWith("HTTP/1.1 200 "), head);
            if (version.equals("1.1")) {
                client.getInputStream().read();
                observed.add("begun");
                byte[] rest = client.getInputStream().readAllBytes();
                String end = new String(
                        rest, Math.max(0, rest.length - 5), Math.min(5, rest.length), StandardCharsets.ISO_8859_1);
                assertTrue(!end.equals("0\r\n\r\n"), "no last chunk");
            } else {
                client.getInputStream().read();
                observed.add("begun");
                assertThrows(IOException.class, () -> client.getInputStream().readAllBytes());
            }
            client.close();
        }
        NodeMetrics.await(node, "proxy.errors.view:2|c");
    }

    /** Adds a script that reads a long request to its end and records the body. */
    private void addUploadServer(boolean chunked, int size) {
        scripts.add(s -> {
            String head = readHead(s.getInputStream());
            assertEquals(chunked, head.contains("Transfer-Encoding: chunked\r\n"), head);
            observed.add(
                    chunked
                            ? readChunks(s.getInputStream())
                            : s.getInputStream().readNBytes(size));
            write(s, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        });
    }

    private void sendPostHead(String framing) throws IOException {
        write(client, "POST /file HTTP/1.1\r\nX-Correlation-Id: 9\r\n" + framing + "\r\n\r\n");
    }

    @Test
    void longRequestsArePassedOnInEitherFraming() throws Exception {
        byte[] body = patternBytes(BODY_BYTES);
        addUploadServer(false, BODY_BYTES);
        sendPostHead("Content-Length: 3000000\r\nExpect: 100-continue");
        assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 100 "));
        client.getOutputStream().write(body);
        assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 200 "));
        assertEquals("done", new String(client.getInputStream().readNBytes(4), StandardCharsets.US_ASCII));
        assertArrayEquals(body, (byte[]) observed.poll(10, TimeUnit.SECONDS));
        addUploadServer(true, BODY_BYTES);
        sendPostHead("Transfer-Encoding: chunked");
        write(client, "200000\r\n");
        client.getOutputStream().write(body, 0, 0x200000);
        write(client, "\r\n" + Integer.toHexString(BODY_BYTES - 0x200000) + "\r\n");
        client.getOutputStream().write(body, 0x200000, BODY_BYTES - 0x200000);
        write(client, "\r\n0\r\n\r\nGET /health/live HTTP/1.1\r\n\r\n");
        assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 200 "));
        assertEquals("done", new String(client.getInputStream().readNBytes(4), StandardCharsets.US_ASCII));
        assertArrayEquals(body, (byte[]) observed.poll(10, TimeUnit.SECONDS));
        assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 200 "), "the pipelined request is served");
    }

    @Test
    void uploadThatItsServerBreaksOffIsRejected() throws Exception {
        scripts.add(s -> s.getInputStream().readNBytes(500_000));
        sendPostHead("Content-Length: 30000000");
        byte[] piece = patternBytes(100_000);
        try {
            for (int i = 0; i < 300; i++) {
                client.getOutputStream().write(piece);
            }
        } catch (IOException e) {
            // The node may stop reading a body that is not forwarded any more.
            assertTrue(e.getMessage() != null);
        }
        NodeMetrics.await(node, "proxy.shed.file:1|c");
    }

    @Test
    void earlyResponseEndsTheUploadAndItsConnection() throws Exception {
        scripts.add(s -> {
            readHead(s.getInputStream());
            s.getInputStream().readNBytes(200_000);
            write(s, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
            observed.add(s.getInputStream().readAllBytes().length);
        });
        sendPostHead("Content-Length: 300000");
        client.getOutputStream().write(patternBytes(250_000));
        String head = readHead(client.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 400 ") && head.contains("Connection: close\r\n"), head);
    }

    @Test
    void clientThatDisconnectsInMidUploadEndsItAtTheServer() throws Exception {
        scripts.add(s -> {
            readHead(s.getInputStream());
            observed.add(s.getInputStream().readAllBytes().length);
        });
        sendPostHead("Content-Length: 300000");
        client.getOutputStream().write(patternBytes(250_000));
        client.close();
        Object read = observed.poll(10, TimeUnit.SECONDS);
        assertTrue(read instanceof IOException || (Integer) read < 300_000, "read " + read);
        NodeMetrics.await(node, "proxy.active:0|g");
    }

    @Test
    void responseOverTheLimitIsMalformedIfItSaysSoAndElseTruncated() throws Exception {
        scripts.add(sendsResponse("Content-Length: 33554433\r\n", new byte[0], 0));
        write(client, "POST /file HTTP/1.1\r\nX-Correlation-Id: 7\r\nContent-Length: 0\r\n\r\n");
        assertTrue(readHead(client.getInputStream()).startsWith("HTTP/1.1 502 "));
        client = connect();
        scripts.add(sendsResponse("Connection: close\r\n", new byte[34_000_000], 34_000_000));
        sendGet("1.1", "");
        readHead(client.getInputStream());
        byte[] received = readChunks(client.getInputStream());
        assertEquals(0, Arrays.copyOf(received, 1)[0]);
        assertTrue(received.length <= 33_554_433, "got " + received.length);
        NodeMetrics.await(node, "proxy.errors.view:1|c");
    }
}

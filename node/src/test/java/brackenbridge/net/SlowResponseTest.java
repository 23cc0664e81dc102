package brackenbridge.net;

import static brackenbridge.net.HttpIo.inOneChunk;
import static brackenbridge.net.HttpIo.millisecondsSince;
import static brackenbridge.net.HttpIo.patternBytes;
import static brackenbridge.net.HttpIo.readChunks;
import static brackenbridge.net.HttpIo.readHead;
import static brackenbridge.net.HttpIo.readSteadily;
import static brackenbridge.net.HttpIo.write;
import static brackenbridge.net.HttpIo.writeSteadily;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.net.ScriptedServer.Script;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Long responses that their server writes slowly, or that their client reads slowly: they are not cut off. */
class SlowResponseTest {
    private static final int BODY_BYTES = 116_179;
    /** Less than 64 KiB come within the client's time. */
    private static final int BYTES_PER_SECOND = 84_000;

    private static final int WAIT_MS = 683;
    /** Small, so that what a client has not read waits on the node's side. */
    private static final int SLOW_READER_RECEIVE_BUFFER_BYTES = 65_536;

    private static final int READ_AT_FULL_SPEED_BYTES = 1_500_000;
    private static final int READ_SLOWLY_BYTES = 600_000;
    private static final int SLOW_READ_BYTES_PER_SECOND = 100_000;
    /** An answer may come so long after the client's time. */
    private static final long LATENESS_LIMIT_MS = 500;

    private final ScriptedServer server = new ScriptedServer();
    private final CountDownLatch testOver = new CountDownLatch(1);
    private final Node node = server.startNode();
    private final List<Socket> clients = new ArrayList<>();

    /** How a response's body is framed. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        TO_END
    }

    @AfterEach
    void end() throws IOException {
        testOver.countDown();
        for (Socket client : clients) {
            client.close();
        }
        server.close();
        node.kill();
    }

    private Socket connect(int receiveBufferBytes) throws IOException {
        Socket client = new Socket();
        if (receiveBufferBytes > 0) {
            client.setReceiveBufferSize(receiveBufferBytes);
        }
        client.connect(new InetSocketAddress(
                node.address().getAddress(), node.address().getPort()));
        client.setSoTimeout(15_000);
        clients.add(client);
        return client;
    }

    private static void sendGet(Socket client, String version, int waitMs) throws IOException {
        write(
                client,
                "GET /view HTTP/" + version + "\r\nX-Correlation-Id: " + client.getLocalPort() + "\r\nX-Time-Left-Ms: "
                        + waitMs + "\r\n\r\n");
    }

    private static String head(Framing framing, int bodyBytes) {
        return "HTTP/1.1 200 OK\r\n"
                + switch (framing) {
                    case LENGTH -> "Content-Length: " + bodyBytes + "\r\n\r\n";
                    case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n";
                    case TO_END -> "Connection: close\r\n\r\n";
                };
    }

    private static byte[] framed(Framing framing, byte[] body) {
        return framing == Framing.CHUNKED ? inOneChunk(body) : body;
    }

    /** Returns a script that writes this response at a steady rate, and stands still once after so many bytes. */
    private Script writesSteadily(
            Framing framing, byte[] body, int bytesPerSecond, int pausesAfterBytes, long pauseMs) {
        return connection -> {
            readHead(connection.getInputStream());
            write(connection, head(framing, body.length));
            byte[] bytes = framed(framing, body);
            writeSteadily(connection, bytes, 0, pausesAfterBytes, bytesPerSecond);
            testOver.await(pauseMs, TimeUnit.MILLISECONDS);
            writeSteadily(connection, bytes, pausesAfterBytes, bytes.length, bytesPerSecond);
        };
    }

    private static byte[] readBody(InputStream in, String head, int bodyBytes) throws IOException {
        if (head.contains("Transfer-Encoding: chunked\r\n")) {
            return readChunks(in);
        }
        return in.readNBytes(bodyBytes);
    }

    private void expectWhole(Framing framing, String version, int pausesAfterBytes, long pauseMs) throws Exception {
        expectWhole(framing, version, pausesAfterBytes, pauseMs, WAIT_MS);
    }

    private void expectWhole(Framing framing, String version, int pausesAfterBytes, long pauseMs, int waitMs)
            throws Exception {
        byte[] body = patternBytes(BODY_BYTES);
        server.scripts.add(writesSteadily(framing, body, BYTES_PER_SECOND, pausesAfterBytes, pauseMs));
        Socket client = connect(0);
        long startNs = System.nanoTime();
        sendGet(client, version, waitMs);
        String head = readHead(client.getInputStream());
        long afterMs = millisecondsSince(startNs);
        assertTrue(head.startsWith("HTTP/1.1 200 "), framing + " got " + head);
        assertArrayEquals(body, readBody(client.getInputStream(), head, BODY_BYTES));
        assertTrue(afterMs < waitMs + LATENESS_LIMIT_MS, "first bytes after " + afterMs + " ms");
    }

    @Test
    void slowlyWrittenResponseWithALengthIsNotCutOffAtTheDeadline() throws Exception {
        expectWhole(Framing.LENGTH, "1.1", 0, 0);
    }

    @Test
    void slowlyWrittenChunkedResponseIsNotCutOffAtTheDeadline() throws Exception {
        expectWhole(Framing.CHUNKED, "1.1", 0, 0);
    }

    @Test
    void slowlyWrittenResponseUpToTheEndOfItsConnectionIsNotCutOffAtTheDeadline() throws Exception {
        expectWhole(Framing.TO_END, "1.1", 0, 0);
        expectWhole(Framing.TO_END, "1.0", 0, 0);
    }

    @Test
    void responseWithALengthThatPausesAroundTheDeadlineIsNotCutOff() throws Exception {
        expectWhole(Framing.LENGTH, "1.1", 50_000, 1500);
    }

    @Test
    void responseWithoutALengthThatPausesAroundTheDeadlineIsNotCutOff() throws Exception {
        expectWhole(Framing.CHUNKED, "1.1", 50_000, 1200);
        expectWhole(Framing.TO_END, "1.1", 50_000, 1200);
    }

    @Test
    void responseWithoutALengthThatPausesLongBeforeTheDeadlineIsNotCutOff() throws Exception {
        expectWhole(Framing.CHUNKED, "1.1", 50_000, 1300, 4000);
        expectWhole(Framing.TO_END, "1.1", 50_000, 1300, 4000);
    }

    /** The end of the answer that a client sees: its status, or that it is truncated; with the time until then. */
    private void expectFailureInTime(Framing framing, byte[] body, int bytesPerSecond, int bytesWritten)
            throws Exception {
        server.scripts.add(connection -> {
            readHead(connection.getInputStream());
            write(connection, head(framing, body.length));
            writeSteadily(connection, framed(framing, body), 0, bytesWritten, bytesPerSecond);
            testOver.await();
        });
        Socket client = connect(0);
        long startNs = System.nanoTime();
        sendGet(client, "1.1", WAIT_MS);
        String head = readHead(client.getInputStream());
        if (head.startsWith("HTTP/1.1 200 ")) {
            byte[] read = readBody(client.getInputStream(), head, body.length);
            assertTrue(read.length != body.length, "a response that its server did not finish is whole");
        } else {
            assertTrue(head.startsWith("HTTP/1.1 50"), head);
        }
        long afterMs = millisecondsSince(startNs);
        assertTrue(afterMs < WAIT_MS + LATENESS_LIMIT_MS, framing + " ended after " + afterMs + " ms");
    }

    /** Guards against streaming at the deadline what is not a long response: its last byte would come too late. */
    @Test
    void responseThatItsServerNeverEndsFailsInTime() throws Exception {
        byte[] body = patternBytes(20_000);
        expectFailureInTime(Framing.CHUNKED, body, 1_000_000, 2000);
        expectFailureInTime(Framing.TO_END, body, 1_000_000, 2000);
        expectFailureInTime(Framing.CHUNKED, body, 30_000, 19_000);
    }

    @Test
    void shortResponseThatIsTooSlowFailsInTime() throws Exception {
        byte[] body = patternBytes(20_000);
        expectFailureInTime(Framing.LENGTH, body, 12_000, body.length);
        expectFailureInTime(Framing.CHUNKED, patternBytes(3000), 1600, 3000);
    }

    /** Reads a response at full speed but for a part in its middle, which is read at a steady low rate. */
    private static byte[] readSlowlyInTheMiddle(InputStream in, int bodyBytes) throws IOException {
        String head = readHead(in);
        assertTrue(head.startsWith("HTTP/1.1 200 "), head);
        byte[] first = in.readNBytes(READ_AT_FULL_SPEED_BYTES);
        byte[] second = readSteadily(in, READ_SLOWLY_BYTES, SLOW_READ_BYTES_PER_SECOND);
        InputStream middle = new SequenceInputStream(new ByteArrayInputStream(first), new ByteArrayInputStream(second));
        return readBody(new SequenceInputStream(middle, in), head, bodyBytes);
    }

    /** Writes the response that the request names: requests reach the server in any order. */
    private void writeNamedResponse(Socket connection) throws Exception {
        String[] named = readHead(connection.getInputStream()).split("[/ ]");
        Framing framing = Framing.valueOf(named[3]);
        byte[] body = patternBytes(Integer.parseInt(named[4]));
        write(connection, head(framing, body.length));
        connection.getOutputStream().write(framed(framing, body));
        if (framing != Framing.TO_END) {
            testOver.await();
        }
    }

    private Thread startSlowReader(Framing framing, int bodyBytes, List<String> failures) throws IOException {
        byte[] body = patternBytes(bodyBytes);
        server.scripts.add(this::writeNamedResponse);
        Socket client = connect(SLOW_READER_RECEIVE_BUFFER_BYTES);
        write(
                client,
                "GET /view/" + framing + "/" + bodyBytes + " HTTP/1.1\r\nX-Correlation-Id: " + client.getLocalPort()
                        + "\r\nX-Time-Left-Ms: 2000\r\n\r\n");
        Thread reader = new Thread(() -> {
            try {
                assertArrayEquals(body, readSlowlyInTheMiddle(client.getInputStream(), body.length));
            } catch (IOException | AssertionError e) {
                failures.add(framing + " of " + bodyBytes + " bytes: " + e);
            }
        });
        reader.start();
        return reader;
    }

    /**
     * Guards clients that read steadily. The system takes bytes of a response in large steps, so that a slow reader
     * seems to make no progress; the sizes differ by less than what the node itself buffers, so that one of them is in
     * that state at the response's end.
     */
    @Test
    void slowlyReadResponseIsNotCutOff() throws Exception {
        List<Thread> readers = new ArrayList<>();
        List<String> failures = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < 9; i++) {
            int bodyBytes = 5_600_000 + i * 100_000;
            readers.add(startSlowReader(Framing.values()[i % Framing.values().length], bodyBytes, failures));
        }
        for (Thread reader : readers) {
            reader.join();
        }
        assertTrue(failures.isEmpty(), failures.toString());
    }
}

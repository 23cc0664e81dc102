package brackenbridge.net;

import static brackenbridge.net.HttpIo.inOneChunk;
import static brackenbridge.net.HttpIo.millisecondsSince;
import static brackenbridge.net.HttpIo.patternBytes;
import static brackenbridge.net.HttpIo.readChunks;
import static brackenbridge.net.HttpIo.readHead;
import static brackenbridge.net.HttpIo.readSteadily;
import static brackenbridge.net.HttpIo.write;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Uploads whose server reads slowly or stops reading: the client's time begins when it has written its last byte,
 * however late the node can read it.
 */
class SlowUploadTest {
    /** Small, so that a server that stops reading soon stops the node. */
    private static final int SERVER_RECEIVE_BUFFER_BYTES = 8192;
    /** More than the buffers on the way to a server hold, less than those on the way from the client hold as well. */
    private static final int STUCK_BODY_BYTES = 5_000_000;

    private static final int SLOWLY_READ_BODY_BYTES = 8_000_000;
    private static final int LARGEST_BODY_BYTES = 32 * 1024 * 1024;
    /** An answer may come so long after the client's time. */
    private static final long LATENESS_LIMIT_MS = 500;

    private final ScriptedServer server = new ScriptedServer(SERVER_RECEIVE_BUFFER_BYTES);
    private final CountDownLatch testOver = new CountDownLatch(1);
    private final Node node = server.startNode();
    private Socket client;

    /** How a request's body is framed. */
    private enum Framing {
        LENGTH,
        CHUNKED
    }

    @BeforeEach
    void connect() throws IOException {
        client = new Socket(node.address().getAddress(), node.address().getPort());
        client.setSoTimeout(15_000);
    }

    @AfterEach
    void end() throws IOException {
        testOver.countDown();
        client.close();
        server.close();
        node.kill();
    }

    /** Writes an upload at full speed on a thread of its own; returns when its last byte was written, if ever. */
    private CompletableFuture<Long> startUpload(Framing framing, int bodyBytes, int waitMs) throws IOException {
        boolean chunked = framing == Framing.CHUNKED;
        write(
                client,
                "POST /file HTTP/1.1\r\nX-Correlation-Id: 9\r\nX-Time-Left-Ms: " + waitMs + "\r\n"
                        + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + bodyBytes) + "\r\n\r\n");
        byte[] body = patternBytes(bodyBytes);
        byte[] bytes = chunked ? inOneChunk(body) : body;
        CompletableFuture<Long> writtenNs = new CompletableFuture<>();
        ScriptedServer.startDaemon(() -> {
            try {
                client.getOutputStream().write(bytes);
                writtenNs.complete(System.nanoTime());
            } catch (IOException e) {
                writtenNs.completeExceptionally(e);
            }
        });
        return writtenNs;
    }

    /** Asserts that the upload gets an answer of the node's own in the client's time, counted from its last byte. */
    private void expectAnswerInTime(Framing framing, int bodyBytes, int waitMs) throws Exception {
        CompletableFuture<Long> writtenNs = startUpload(framing, bodyBytes, waitMs);
        String head = readHead(client.getInputStream());
        long answeredNs = System.nanoTime();
        assertTrue(head.startsWith("HTTP/1.1 503 ") || head.startsWith("HTTP/1.1 504 "), head);
        if (writtenNs.isDone() && !writtenNs.isCompletedExceptionally()) {
            long afterMs = (answeredNs - writtenNs.join()) / 1_000_000;
            assertTrue(afterMs < waitMs + LATENESS_LIMIT_MS, "answered " + afterMs + " ms after the last byte");
        }
    }

    private void expectAnswerAlthoughServerStops(Framing framing, int stopsAfterBytes, int waitMs) throws Exception {
        server.scripts.add(connection -> {
            connection.getInputStream().readNBytes(stopsAfterBytes);
            testOver.await();
        });
        long startNs = System.nanoTime();
        expectAnswerInTime(framing, STUCK_BODY_BYTES, waitMs);
        long afterMs = millisecondsSince(startNs);
        assertTrue(afterMs < waitMs + 2 * LATENESS_LIMIT_MS, "answered " + afterMs + " ms after the start");
        // Guards against a second attempt, for which a part of the body would be missing.
        NodeMetrics.expectCounter(node, "forwards_sent 1");
    }

    @Test
    void uploadWithALengthIsAnsweredInTimeAlthoughItsServerStopsReading() throws Exception {
        expectAnswerAlthoughServerStops(Framing.LENGTH, 31_454, 2000);
    }

    @Test
    void chunkedUploadIsAnsweredInTimeAlthoughItsServerStopsReading() throws Exception {
        expectAnswerAlthoughServerStops(Framing.CHUNKED, 10_844, 593);
    }

    @Test
    void uploadIsAnsweredInTimeAlthoughItsServerReadsNothing() throws Exception {
        expectAnswerAlthoughServerStops(Framing.CHUNKED, 0, 1000);
    }

    /** Guards clients that write their whole request before they read: the end of the connection fails their write. */
    @Test
    void clientThatReadsOnlyAfterItsWriteGetsTheAnswer() throws Exception {
        for (Framing framing : Framing.values()) {
            server.scripts.add(connection -> testOver.await());
            connect();
            CompletableFuture<Long> writtenNs = startUpload(framing, LARGEST_BODY_BYTES, 500);
            writtenNs.handle((written, failure) -> null).get(10, TimeUnit.SECONDS);
            String head = readHead(client.getInputStream());
            assertTrue(head.startsWith("HTTP/1.1 503 "), framing + " got " + head);
        }
    }

    private void expectAnswerAlthoughServerReadsSlowly(Framing framing, int waitMs) throws Exception {
        int bytesPerSecond = (int) (SLOWLY_READ_BODY_BYTES * 1000L / (3 * waitMs));
        server.scripts.add(connection -> {
            readSteadily(connection.getInputStream(), Integer.MAX_VALUE, bytesPerSecond);
            testOver.await();
        });
        expectAnswerInTime(framing, SLOWLY_READ_BODY_BYTES, waitMs);
    }

    @Test
    void uploadWithALengthIsAnsweredInTimeAlthoughItsServerReadsSlowly() throws Exception {
        expectAnswerAlthoughServerReadsSlowly(Framing.LENGTH, 1000);
    }

    @Test
    void chunkedUploadIsAnsweredInTimeAlthoughItsServerReadsSlowly() throws Exception {
        expectAnswerAlthoughServerReadsSlowly(Framing.CHUNKED, 1000);
    }

    /** Guards large uploads: their client writes for longer than it waits for the answer afterwards. */
    private void expectServed(Framing framing, int waitMs, int bytesPerSecond) throws Exception {
        server.scripts.add(connection -> {
            InputStream in = connection.getInputStream();
            readHead(in);
            if (framing == Framing.LENGTH) {
                readSteadily(in, LARGEST_BODY_BYTES, bytesPerSecond);
            } else {
                readChunks(new SteadyStream(in, bytesPerSecond));
            }
            write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            testOver.await();
        });
        startUpload(framing, LARGEST_BODY_BYTES, waitMs);
        String head = readHead(client.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 200 "), head);
    }

    /** A stream that is read at a steady rate. */
    private static final class SteadyStream extends InputStream {
        private final InputStream in;
        private final int bytesPerSecond;

        SteadyStream(InputStream in, int bytesPerSecond) {
            this.in = in;
            this.bytesPerSecond = bytesPerSecond;
        }

        @Override
        public int read() throws IOException {
            return in.read();
        }

        @Override
        public byte[] readNBytes(int length) throws IOException {
            return readSteadily(in, length, bytesPerSecond);
        }
    }

    @Test
    void largeUploadWithALengthThatItsServerReadsForLongerThanTheWaitIsServed() throws Exception {
        expectServed(Framing.LENGTH, 1000, LARGEST_BODY_BYTES / 2);
    }

    @Test
    void largeChunkedUploadThatItsServerReadsForLongerThanTheWaitIsServed() throws Exception {
        expectServed(Framing.CHUNKED, 1000, LARGEST_BODY_BYTES / 2);
    }
}

package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Long bodies through a whole node, and what may befall them on the way. */
class LongBodyTest {
    private static final int SIZE = 3_000_000;

    /** What a server does with one connection. */
    private interface Script {
        void play(Socket s) throws Exception;
    }

    private final ServerSocket server = listen();
    private final LinkedBlockingQueue<Script> scripts = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Object> seen = new LinkedBlockingQueue<>();
    private Node node;
    private Socket client;

    private static ServerSocket listen() {
        try {
            return new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void daemon(Runnable work) {
        Thread t = new Thread(work);
        t.setDaemon(true);
        t.start();
    }

    @BeforeEach
    void start() throws IOException {
        CompletableFuture.runAsync(
                () -> {
                    while (true) {
                        try {
                            Socket s = server.accept();
                            CompletableFuture.runAsync(
                                    () -> {
                                        try (s) {
                                            scripts.take().play(s);
                                        } catch (Exception e) {
                                            seen.add(e);
                                        }
                                    },
                                    LongBodyTest::daemon);
                        } catch (IOException e) {
                            return;
                        }
                    }
                },
                LongBodyTest::daemon);
        String host = "{\"host\":\"s-1\",\"dial\":\"127.0.0.1:" + server.getLocalPort() + "\",\"health\":\"active\"}";
        Clock clock = Clock.system();
        node = new Node(
                Config.parse(ConfigTest.TEXT.replace("\"hosts\":[]", "\"hosts\":[" + host + "]")),
                clock,
                new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        node.start();
        client = connect();
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(node.address().getAddress(), node.address().getPort());
        s.setSoTimeout(10_000);
        return s;
    }

    @AfterEach
    void end() throws IOException {
        client.close();
        server.close();
        node.kill();
    }

    private static byte[] body(int size) {
        byte[] b = new byte[size];
        for (int i = 0; i < size; i++) {
            b[i] = (byte) (i * 31 >> 3);
        }
        return b;
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        while (s.length() < 4 || !s.substring(s.length() - 4).equals("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return s.toString();
            }
            s.append((char) b);
        }
        return s.toString();
    }

    /** A body in chunks; what has come of it if the last chunk is missing, with a byte more. */
    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
            String line = line(in);
            if (line.isEmpty()) {
                all.write(0);
                return all.toByteArray();
            }
            int size = Integer.parseInt(line, 16);
            all.write(in.readNBytes(size));
            line(in);
            if (size == 0) {
                return all.toByteArray();
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
            s.append((char) b);
        }
        return s.toString().trim();
    }

    private static void write(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void ask(String version, String more) throws IOException {
        write(client, "GET /view HTTP/" + version + "\r\nX-Correlation-Id: 7\r\n" + more + "\r\n");
    }

    /** A server that reads one head and then sends this head and this much of a body. */
    private static Script answers(String fields, byte[] body, int upTo) {
        return s -> {
            head(s.getInputStream());
            write(s, "HTTP/1.1 200 OK\r\n" + fields + "\r\n");
            s.getOutputStream().write(body, 0, upTo);
        };
    }

    @Test
    void longAnswerComesWholeHoweverItsReaderDawdles() throws Exception {
        byte[] body = body(20_000_000);
        scripts.add(answers("Content-Length: 20000000\r\n", body, body.length));
        ask("1.1", "");
        Socket slow = client;
        String head = head(slow.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 200 ") && head.contains("Content-Length: 20000000\r\n"), head);
        client = connect();
        scripts.add(answers("Content-Length: 2\r\n", body, 2));
        write(client, "GET /view HTTP/1.1\r\nX-Correlation-Id: 8\r\n\r\n");
        assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 200 "), "others are served meanwhile");
        assertArrayEquals(body, slow.getInputStream().readNBytes(body.length));
        write(slow, "GET /health/live HTTP/1.1\r\n\r\n");
        assertTrue(head(slow.getInputStream()).startsWith("HTTP/1.1 200 "), "the connection goes on");
        slow.close();
    }

    @Test
    void chunksAndBodiesThatEndWithTheirConnectionGoOnInChunks() throws Exception {
        byte[] body = body(SIZE);
        scripts.add(s -> {
            head(s.getInputStream());
            write(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < SIZE; i += 100_000) {
                write(s, "186a0;x=y\r\n");
                s.getOutputStream().write(body, i, 100_000);
                write(s, "\r\n");
            }
            write(s, "0\r\nTrailer: t\r\n\r\n");
        });
        scripts.add(answers("Connection: close\r\n", body, SIZE));
        scripts.add(answers("", body, SIZE));
        for (int i = 0; i < 3; i++) {
            ask("1.1", "");
            assertTrue(head(client.getInputStream()).contains("Transfer-Encoding: chunked\r\n"));
            assertArrayEquals(body, chunks(client.getInputStream()));
        }
        scripts.add(answers("Connection: close\r\n", body, SIZE));
        ask("1.0", "");
        String head = head(client.getInputStream());
        assertTrue(head.contains("Connection: close\r\n") && !head.contains("chunked"), head);
        assertArrayEquals(body, client.getInputStream().readAllBytes());
    }

    @Test
    void answerThatBreaksIsCutSoThatTheClientCanTell() throws Exception {
        byte[] body = body(SIZE);
        scripts.add(answers("Content-Length: 3000000\r\n", body, 1_000_000));
        ask("1.1", "");
        head(client.getInputStream());
        assertEquals(1_000_000, client.getInputStream().readAllBytes().length);
        client = connect();
        scripts.add(s -> {
            head(s.getInputStream());
            write(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(200_000) + "\r\n");
            s.getOutputStream().write(body, 0, 200_000);
            write(s, "\r\nnonsense\r\n");
        });
        ask("1.1", "");
        head(client.getInputStream());
        assertEquals(200_001, chunks(client.getInputStream()).length, "no last chunk");
        await("proxy.errors.view:2|c");
    }

    /** The client can tell by a last chunk that is missing, or by a reset where there are no chunks. */
    @Test
    void longAnswerWithoutALengthThatIsResetIsCut() throws Exception {
        byte[] body = body(SIZE);
        for (String version : new String[] {"1.1", "1.0"}) {
            client = connect();
            scripts.add(s -> {
                answers("", body, 1_000_000).play(s);
                seen.poll(10, TimeUnit.SECONDS);
                s.setSoLinger(true, 0);
            });
            ask(version, "");
            String head = head(client.getInputStream());
            assertTrue(head.startsWith("HTTP/1.1 200 "), head);
            if (version.equals("1.1")) {
                client.getInputStream().read();
                seen.add("begun");
                byte[] rest = client.getInputStream().readAllBytes();
                String end = new String(
                        rest, Math.max(0, rest.length - 5), Math.min(5, rest.length), StandardCharsets.ISO_8859_1);
                assertTrue(!end.equals("0\r\n\r\n"), "no last chunk");
            } else {
                client.getInputStream().read();
                seen.add("begun");
                assertThrows(IOException.class, () -> client.getInputStream().readAllBytes());
            }
            client.close();
        }
        await("proxy.errors.view:2|c");
    }

    /** Waits until a figure has this value. */
    private void await(String figure) throws InterruptedException {
        for (int i = 0; i < 2000 && !node.metricsText().contains(figure); i++) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertTrue(node.metricsText().contains(figure + "\n"), node.metricsText());
    }

    /** A server that reads a long request to its end and tells the body. */
    private void takes(boolean chunked, int size) {
        scripts.add(s -> {
            String head = head(s.getInputStream());
            assertEquals(chunked, head.contains("Transfer-Encoding: chunked\r\n"), head);
            seen.add(chunked ? chunks(s.getInputStream()) : s.getInputStream().readNBytes(size));
            write(s, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        });
    }

    private void post(String framing) throws IOException {
        write(client, "POST /file HTTP/1.1\r\nX-Correlation-Id: 9\r\n" + framing + "\r\n\r\n");
    }

    @Test
    void longRequestsGoThroughInEitherFraming() throws Exception {
        byte[] body = body(SIZE);
        takes(false, SIZE);
        post("Content-Length: 3000000\r\nExpect: 100-continue");
        assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 100 "));
        client.getOutputStream().write(body);
        assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 200 "));
        assertEquals("done", new String(client.getInputStream().readNBytes(4), StandardCharsets.US_ASCII));
        assertArrayEquals(body, (byte[]) seen.poll(10, TimeUnit.SECONDS));
        takes(true, SIZE);
        post("Transfer-Encoding: chunked");
        write(client, "200000\r\n");
        client.getOutputStream().write(body, 0, 0x200000);
        write(client, "\r\n" + Integer.toHexString(SIZE - 0x200000) + "\r\n");
        client.getOutputStream().write(body, 0x200000, SIZE - 0x200000);
        write(client, "\r\n0\r\n\r\nGET /health/live HTTP/1.1\r\n\r\n");
        assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 200 "));
        assertEquals("done", new String(client.getInputStream().readNBytes(4), StandardCharsets.US_ASCII));
        assertArrayEquals(body, (byte[]) seen.poll(10, TimeUnit.SECONDS));
        assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 200 "), "what waits behind it has its turn");
    }

    @Test
    void serverThatBreaksInMidBodyLeavesAnHonestRefusal() throws Exception {
        scripts.add(s -> s.getInputStream().readNBytes(500_000));
        post("Content-Length: 30000000");
        byte[] piece = body(100_000);
        try {
            for (int i = 0; i < 300; i++) {
                client.getOutputStream().write(piece);
            }
        } catch (IOException e) {
            // The node need not read what nobody wants any more.
            assertTrue(e.getMessage() != null);
        }
        await("proxy.shed.file:1|c");
    }

    @Test
    void earlyAnswerEndsTheUploadAndItsConnection() throws Exception {
        scripts.add(s -> {
            head(s.getInputStream());
            s.getInputStream().readNBytes(200_000);
            write(s, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
            seen.add(s.getInputStream().readAllBytes().length);
        });
        post("Content-Length: 300000");
        client.getOutputStream().write(body(250_000));
        String head = head(client.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 400 ") && head.contains("Connection: close\r\n"), head);
    }

    @Test
    void clientThatLeavesInMidUploadEndsItAtTheServer() throws Exception {
        scripts.add(s -> {
            head(s.getInputStream());
            seen.add(s.getInputStream().readAllBytes().length);
        });
        post("Content-Length: 300000");
        client.getOutputStream().write(body(250_000));
        client.close();
        Object read = seen.poll(10, TimeUnit.SECONDS);
        assertTrue(read instanceof IOException || (Integer) read < 300_000, "read " + read);
        await("proxy.active:0|g");
    }

    @Test
    void answerOverTheLimitIsSpoiltWhenItSaysSoAndCutWhenItDoesNot() throws Exception {
        scripts.add(answers("Content-Length: 33554433\r\n", new byte[0], 0));
        write(client, "POST /file HTTP/1.1\r\nX-Correlation-Id: 7\r\nContent-Length: 0\r\n\r\n");
        assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 502 "));
        client = connect();
        scripts.add(answers("Connection: close\r\n", new byte[34_000_000], 34_000_000));
        ask("1.1", "");
        head(client.getInputStream());
        byte[] got = chunks(client.getInputStream());
        assertEquals(0, Arrays.copyOf(got, 1)[0]);
        assertTrue(got.length <= 33_554_433, "got " + got.length);
        await("proxy.errors.view:1|c");
    }
}

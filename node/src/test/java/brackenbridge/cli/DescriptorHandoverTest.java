package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.cli.NodeProcesses.Running;
import brackenbridge.config.ConfigTest;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Real processes of one node that replace one another while clients hold a third of its descriptors: the clients that
 * the old process leaves find room in the new one, and both together stay within the limit.
 */
class DescriptorHandoverTest {
    private static final int UPGRADES = 3;
    private static final int TIME_LEFT_MS = 600;
    /** A request that has no answer so long after its time is lost. */
    private static final int LATENESS_LIMIT_MS = 500;

    private static final String SERVER_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    @TempDir
    private static Path unpacked;

    private static String classPath;

    @TempDir
    private Path directory;

    private final AtomicInteger ids = new AtomicInteger(1);
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger mostDescriptors = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;
    private ServerSocket server;
    private NodeProcesses node;

    /** When a client sends its next request. */
    private enum Pace {
        /** As soon as it has the answer to the one before. */
        BUSY,
        /** Once its connection has been closed, which it may leave idle for long. */
        IDLE
    }

    @BeforeAll
    static void unpackClassPath() throws IOException {
        classPath = UnpackedClassPath.createIn(unpacked);
    }

    @BeforeEach
    void startServer() throws IOException {
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        startThread(this::acceptFromNode);
    }

    @AfterEach
    void end() throws Exception {
        over = true;
        server.close();
        node.close();
        for (Thread thread : threads) {
            thread.join(10_000);
        }
    }

    private void startThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void acceptFromNode() {
        try {
            while (true) {
                Socket connection = server.accept();
                Thread handler = new Thread(() -> serve(connection));
                handler.setDaemon(true);
                handler.start();
            }
        } catch (IOException e) {
            return;
        }
    }

    /** Answers each request as soon as its head has come. */
    private static void serve(Socket connection) {
        try (connection) {
            while (readHead(reader(connection)) != null) {
                connection.getOutputStream().write(SERVER_RESPONSE.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            return;
        }
    }

    private static BufferedReader reader(Socket connection) throws IOException {
        return new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII), 1);
    }

    /** Reads a message without a body, or a head; null at the end of the connection. */
    private static String readHead(BufferedReader reader) throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.isEmpty()) {
                return head.toString();
            }
            head.append(line).append('\n');
        }
        return null;
    }

    /** Sends requests until the test is over, on one connection as long as the node keeps it. */
    private void request(Pace pace) {
        while (!over) {
            try (Socket connection = new Socket("127.0.0.1", node.port())) {
                useConnection(connection, pace);
            } catch (SocketTimeoutException e) {
                lost.incrementAndGet();
            } catch (IOException e) {
                // The node has ended the connection before it read a request: the next one is used.
                continue;
            }
        }
    }

    private void useConnection(Socket connection, Pace pace) throws IOException {
        BufferedReader reader = reader(connection);
        while (!over) {
            connection.setSoTimeout(TIME_LEFT_MS + LATENESS_LIMIT_MS);
            String request = "GET /view HTTP/1.1\r\nX-Correlation-Id: " + Integer.toHexString(ids.incrementAndGet())
                    + "\r\nX-Time-Left-Ms: " + TIME_LEFT_MS + "\r\n\r\n";
            connection.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String head = readHead(reader);
            if (head == null) {
                return;
            }
            answered.incrementAndGet();
            skipBody(reader, head);
            if (head.contains("Connection: close")) {
                return;
            }
            if (pace == Pace.IDLE) {
                connection.setSoTimeout(0);
                reader.read();
                return;
            }
        }
    }

    private static void skipBody(BufferedReader reader, String head) throws IOException {
        int start = head.indexOf("Content-Length: ") + "Content-Length: ".length();
        int length = Integer.parseInt(head.substring(start, head.indexOf('\n', start)));
        for (int i = 0; i < length; i++) {
            reader.read();
        }
    }

    private void watchDescriptors() {
        while (!over) {
            int open = 0;
            for (Process process : node.all()) {
                String[] descriptors =
                        Path.of("/proc/" + process.pid() + "/fd").toFile().list();
                open += descriptors == null ? 0 : descriptors.length;
            }
            mostDescriptors.accumulateAndGet(open, Math::max);
            Thread.onSpinWait();
        }
    }

    /** Replaces the node's process several times while so many clients of this pace use it. */
    private void replaceUnderClients(int descriptors, int clients, Pace pace) throws Exception {
        String host = "{\"host\":\"s-1\",\"dial\":\"127.0.0.1:" + server.getLocalPort() + "\",\"health\":\"active\"}";
        node = new NodeProcesses(
                directory,
                ConfigTest.TEXT
                        .replace("\"hosts\":[]", "\"hosts\":[" + host + "]")
                        .replace("\"sockets\":1024", "\"sockets\":" + descriptors),
                classPath);
        Running old = node.start();
        startThread(this::watchDescriptors);
        for (int i = 0; i < clients; i++) {
            startThread(() -> request(pace));
        }
        NodeProcesses.await(() -> answered.get() >= clients);
        for (int i = 0; i < UPGRADES; i++) {
            Running next = node.start();
            int before = answered.get();
            NodeProcesses.stop(old);
            NodeProcesses.await(() -> answered.get() >= before + clients);
            old = next;
        }
        assertEquals(0, lost.get(), "requests without an answer, of " + answered);
        assertTrue(mostDescriptors.get() <= descriptors, mostDescriptors + " descriptors of " + descriptors);
    }

    /** Guards against requests that wait in the new process's backlog until the old one has ended. */
    @ParameterizedTest
    @CsvSource({"128, 32", "256, 85", "512, 170"})
    void busyClientsFindRoomInTheNewProcess(int descriptors, int clients) throws Exception {
        replaceUnderClients(descriptors, clients, Pace.BUSY);
    }

    /** Guards against the same where the old process's clients are idle. */
    @ParameterizedTest
    @CsvSource({"128, 32", "256, 85", "1024, 341"})
    void idleClientsFindRoomInTheNewProcess(int descriptors, int clients) throws Exception {
        replaceUnderClients(descriptors, clients, Pace.IDLE);
    }
}

package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.ConfigTest;
import brackenbridge.mgmt.ManagementCall;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A separate process with few descriptors, while discovery is down and many idle clients connect. */
class DescriptorExhaustionTest {
    private static final int LIMIT = 200;

    @TempDir
    private Path directory;

    private final List<Socket> idleClients = new ArrayList<>();
    private Process process;
    private int port;

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    private String start(int discovery, FakeServer server) throws Exception {
        port = freePort();
        String management = "127.0.0.1:" + freePort();
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"active\"}";
        Files.writeString(
                directory.resolve("config.json"),
                ConfigTest.TEXT
                        .replace("127.0.0.1:0", "127.0.0.1:" + port)
                        .replace("127.0.0.1:1\"", "127.0.0.1:" + discovery + "\"")
                        .replace("\"sockets\":1024", "\"sockets\":" + LIMIT)
                        .replace("\"hosts\":[]", "\"hosts\":[" + host + "]"));
        ProcessBuilder builder = new ProcessBuilder(
                        "sh",
                        "-c",
                        "ulimit -n " + LIMIT + "; exec \"$0\" \"$@\"",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "brackenbridge.cli.Main",
                        "serve")
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve("log").toFile());
        builder.environment()
                .put("PROXY_CONFIG", directory.resolve("config.json").toString());
        builder.environment().put("PROXY_MGMT", management);
        builder.environment().put("TMPDIR", directory.toString());
        process = builder.start();
        return management;
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(2000);
        return socket;
    }

    /** Polls the readiness of the process; returns after how many milliseconds it was ready. */
    private long awaitReadyMs() throws Exception {
        long start = System.nanoTime();
        while (process.isAlive() && System.nanoTime() - start < 30_000_000_000L) {
            try (Socket socket = connect()) {
                if (exchange(socket, "GET /health/ready HTTP/1.1\r\n\r\n").startsWith("HTTP/1.1 200 ")) {
                    return (System.nanoTime() - start) / 1_000_000;
                }
            } catch (IOException e) {
                Thread.onSpinWait();
            }
        }
        throw new AssertionError("not ready within 30 s: " + Files.readString(directory.resolve("log")));
    }

    private static String exchange(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return String.valueOf(FakeServer.readMessage(socket.getInputStream()));
    }

    private void assertServed(FakeServer server, String id) throws IOException {
        server.responses.add("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        try (Socket socket = connect()) {
            String response = exchange(
                    socket, "POST /file HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            assertTrue(response.endsWith("done"), id + " got " + response);
        }
    }

    @AfterEach
    void end() throws IOException {
        for (Socket s : idleClients) {
            s.close();
        }
        process.destroyForcibly();
    }

    @Test
    void idleClientsTakeNoDescriptorFromDiscoveryManagementOrServers() throws Exception {
        int discovery = freePort();
        try (FakeServer server = new FakeServer()) {
            String management = start(discovery, server);
            long ready = awaitReadyMs();
            assertTrue(ready < 10_000, "without discovery, ready after " + ready + " ms");
            for (int i = 0; i < 3 * LIMIT; i++) {
                idleClients.add(connect());
            }
            assertServed(server, "amongSilentClients");
            assertEquals("+OK\n", ManagementCall.send(management, "PING"));
            for (int i = 0; i < LIMIT; i++) {
                Socket socket = connect();
                idleClients.add(socket);
                assertTrue(exchange(socket, "GET /health/live HTTP/1.1\r\n\r\n").endsWith("live\n"), "client " + i);
            }
            assertServed(server, "amongIdleClients");
            assertEquals("+OK\n", ManagementCall.send(management, "PING"));
            try (ServerSocket back = new ServerSocket()) {
                back.bind(new InetSocketAddress("127.0.0.1", discovery));
                back.setSoTimeout(15_000);
                try (Socket watch = back.accept()) {
                    String call = FakeServer.readMessage(watch.getInputStream());
                    assertTrue(call.startsWith("GET /registry/instances?watch=1"), call);
                }
            }
            assertServed(server, "afterDiscoveryIsBack");
            String log = Files.readString(directory.resolve("log"));
            assertTrue(!log.contains("Too many open files"), log);
        }
    }
}

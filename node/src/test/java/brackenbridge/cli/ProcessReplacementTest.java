package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.ConfigTest;
import brackenbridge.mgmt.ManagementCall;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Replaces real processes one after another: after a crash of a successor, during a drain and after a reload. */
class ProcessReplacementTest {
    @TempDir
    private Path directory;

    private final List<Process> processes = new ArrayList<>();
    private final List<Exception> failures = Collections.synchronizedList(new ArrayList<>());
    private int port;

    /** A process and its management address. */
    private record Running(Process process, String management) {
        String send(String call) throws IOException {
            return ManagementCall.send(management, call);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private Running start() throws Exception {
        String management = "127.0.0.1:" + freePort();
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "brackenbridge.cli.Main",
                        "serve")
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve("log" + processes.size()).toFile());
        builder.environment()
                .put("PROXY_CONFIG", directory.resolve("config.json").toString());
        builder.environment().put("PROXY_MGMT", management);
        builder.environment().put("TMPDIR", directory.toString());
        Running running = new Running(builder.start(), management);
        processes.add(running.process());
        await(() -> running.send("PING").equals("+OK\n"));
        return running;
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        for (int i = 0; i < 3000; i++) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException e) {
                // The management address is not open yet.
                assertTrue(i < 2999, e.toString());
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        throw new AssertionError("the condition was not met in time");
    }

    private String get(String path) throws IOException {
        try (Socket s = new Socket("127.0.0.1", port)) {
            s.setSoTimeout(10_000);
            s.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private void stop(Running old) throws InterruptedException {
        old.process().destroy();
        assertTrue(old.process().waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, old.process().exitValue());
    }

    @AfterEach
    void end() {
        processes.forEach(Process::destroyForcibly);
    }

    @Test
    void noConnectionIsLostInConsecutiveReplacements() throws Exception {
        port = freePort();
        String host = "{\"host\":\"s-1\",\"dial\":\"127.0.0.1:1\",\"health\":\"active\"}";
        Files.writeString(
                directory.resolve("config.json"),
                ConfigTest.TEXT
                        .replace("127.0.0.1:0", "127.0.0.1:" + port)
                        .replace("\"hosts\":[]", "\"hosts\":[" + host + "]"));
        Running first = start();
        Running crashing = start();
        crashing.process().destroyForcibly().waitFor();
        await(() -> Files.readString(directory.resolve("log0")).contains("the new process has ended"));
        assertEquals("+OK\n", first.send("PING"));
        Thread requester = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                try {
                    assertTrue(get("/health/live").startsWith("HTTP/1.1 200 "));
                } catch (IOException | AssertionError e) {
                    failures.add(new Exception(e));
                }
            }
        });
        requester.start();
        first.send("LAMEDUCK");
        Running second = start();
        assertEquals("+OK\n", first.send("PING"), "a drained process still accepts clients");
        stop(first);
        assertTrue(get("/health/ready").startsWith("HTTP/1.1 200 "), "the new process serves");
        new ProcessBuilder("kill", "-HUP", Long.toString(second.process().pid()))
                .start()
                .waitFor();
        Running third = start();
        await(() -> second.send("INFO").contains("proxy.config_applied:1|c\n"));
        stop(second);
        assertTrue(get("/health/ready").startsWith("HTTP/1.1 200 "));
        assertTrue(third.send("INFO").contains("proxy.pool_size:1|g\n"), "the endpoint list was handed over");
        requester.interrupt();
        requester.join();
        assertEquals(List.of(), failures);
    }
}

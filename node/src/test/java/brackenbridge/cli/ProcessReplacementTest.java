package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.cli.NodeProcesses.Running;
import brackenbridge.config.ConfigTest;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Replaces real processes one after another: after a crash of a successor, during a drain and after a reload. */
class ProcessReplacementTest {
    @TempDir
    private Path directory;

    private final List<Exception> failures = Collections.synchronizedList(new ArrayList<>());
    private NodeProcesses node;

    private String get(String path) throws IOException {
        try (Socket s = new Socket("127.0.0.1", node.port())) {
            s.setSoTimeout(10_000);
            s.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @AfterEach
    void end() {
        node.close();
    }

    @Test
    void noConnectionIsLostInConsecutiveReplacements() throws Exception {
        String host = "{\"host\":\"s-1\",\"dial\":\"127.0.0.1:1\",\"health\":\"active\"}";
        node = new NodeProcesses(directory, ConfigTest.TEXT.replace("\"hosts\":[]", "\"hosts\":[" + host + "]"));
        Running first = node.start();
        Running crashing = node.start();
        crashing.process().destroyForcibly().waitFor();
        NodeProcesses.await(() -> node.logOf(0).contains("the new process has ended"));
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
        Running second = node.start();
        assertEquals("+OK\n", first.send("PING"), "a drained process still accepts clients");
        NodeProcesses.stop(first);
        assertTrue(get("/health/ready").startsWith("HTTP/1.1 200 "), "the new process serves");
        new ProcessBuilder("kill", "-HUP", Long.toString(second.process().pid()))
                .start()
                .waitFor();
        Running third = node.start();
        NodeProcesses.await(() -> second.send("INFO").contains("proxy.config_applied:1|c\n"));
        NodeProcesses.stop(second);
        assertTrue(get("/health/ready").startsWith("HTTP/1.1 200 "));
        assertTrue(third.send("INFO").contains("proxy.pool_size:1|g\n"), "the endpoint list was handed over");
        requester.interrupt();
        requester.join();
        assertEquals(List.of(), failures);
    }
}

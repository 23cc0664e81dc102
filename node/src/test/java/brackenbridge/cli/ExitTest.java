package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.ConfigTest;
import brackenbridge.mgmt.ManagementCall;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A real process exits before the platform would kill it, 0.7 s after the longest deadline. */
@Timeout(20)
class ExitTest {
    private static final int MAX_DEADLINE_MS = 400;
    /** For a stop that takes its time. */
    private static final int LONG_DEADLINE_MS = 3000;

    private static final int KILL_AFTER_DEADLINE_MS = 700;
    /** Writes as much as a pipe holds on Linux, so that the next write blocks until there is a reader. */
    private static final String FILL_PIPE = "head -c 65536 /dev/zero >&2; ";

    private static final String COMPILER_THREAD = "C1 Compiler";
    private static final int POLL_MS = 5;

    @TempDir
    private Path directory;

    private final Map<String, String> environment = new HashMap<>();
    private int maxDeadlineMs = MAX_DEADLINE_MS;
    private int port;
    private String management;

    // Guards against an exit that waits for threads inside system calls.
    @Test
    void processWithAnIncompleteRequestExitsBeforeItIsKilled() throws Exception {
        assertExitsBeforeKill("2>" + directory.resolve("log"));
    }

    // Guards against an exit that waits for the thread that writes a log nobody reads.
    @Test
    void processWithAnUnreadLogExitsBeforeItIsKilled() throws Exception {
        assertExitsBeforeKill("");
    }

    // Guards against an exit that waits for several threads of the virtual machine in turn.
    @Test
    void processEndsWithoutTheVirtualMachinesOwnExit() throws Exception {
        maxDeadlineMs = LONG_DEADLINE_MS;
        Path operations = directory.resolve("operations");
        environment.put("JAVA_TOOL_OPTIONS", "-Xlog:vmthread=debug:file=" + operations);
        Process process = startNode("2>" + directory.resolve("log"));
        try (Socket client = new Socket()) {
            awaitReady(management, process);
            openIncompleteRequest(client);
            process.destroy();
            assertEquals(0, process.waitFor());
            assertFalse(Files.readString(operations).contains("VM operation: Exit"));
        } finally {
            process.destroyForcibly();
        }
    }

    // Guards against a stop that begins late on a crowded machine, where a new thread waits long for its first turn.
    @Test
    void stopStartsNoThreadButThatOfTheSignal() throws Exception {
        Process process = startNode("2>" + directory.resolve("log"));
        try (Socket client = new Socket()) {
            awaitReady(management, process);
            openIncompleteRequest(client);
            Set<String> before = threadNames(process);
            process.destroy();
            awaitLine(directory.resolve("log"), " info stopping");
            Set<String> started = threadNames(process);
            started.removeAll(before);
            assertEquals(Set.of("SIGTERM handler"), started);
        } finally {
            process.destroyForcibly();
        }
    }

    /** The names of a process's threads, of which the system keeps 15 characters, without those of the compiler. */
    private static Set<String> threadNames(Process process) throws IOException {
        Set<String> names = new HashSet<>();
        try (DirectoryStream<Path> threads =
                Files.newDirectoryStream(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path thread : threads) {
                names.add(Files.readString(thread.resolve("comm")).strip());
            }
        }
        names.removeIf(name -> name.startsWith(COMPILER_THREAD));
        return names;
    }

    private static void awaitLine(Path file, String text) throws IOException, InterruptedException {
        while (!Files.readString(file).contains(text)) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    private void assertExitsBeforeKill(String redirection) throws Exception {
        Process process = startNode(redirection);
        try (Socket client = new Socket()) {
            awaitReady(management, process);
            openIncompleteRequest(client);
            long stopNs = System.nanoTime();
            process.destroy();
            assertTrue(
                    process.waitFor(MAX_DEADLINE_MS + KILL_AFTER_DEADLINE_MS, TimeUnit.MILLISECONDS),
                    () -> "still running " + (System.nanoTime() - stopNs) / 1_000_000 + " ms after SIGTERM");
            assertEquals(0, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    private Process startNode(String redirection) throws IOException {
        port = freePort();
        management = "127.0.0.1:" + freePort();
        Path config = Files.writeString(
                directory.resolve("config.json"),
                ConfigTest.TEXT
                        .replace("127.0.0.1:0", "127.0.0.1:" + port)
                        .replaceAll("\"aim\":[0-9]+", "\"aim\":" + maxDeadlineMs * 500)
                        .replaceAll("\"giveUp\":[0-9]+", "\"giveUp\":" + maxDeadlineMs * 1000));
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                (redirection.isEmpty() ? FILL_PIPE : "") + "exec '"
                        + Path.of(System.getProperty("java.home"), "bin/java")
                        + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp '" + System.getProperty("java.class.path")
                        + "' brackenbridge.cli.Main serve " + redirection);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_MGMT", management);
        builder.environment().put("TMPDIR", directory.toString());
        builder.environment().putAll(environment);
        return builder.start();
    }

    /** The request stays incomplete, so the process waits for the rest for as long as it may. */
    private void openIncompleteRequest(Socket client) throws IOException {
        client.connect(new InetSocketAddress("127.0.0.1", port));
        client.getOutputStream().write("GET /view HTTP/1.1\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static void awaitReady(String management, Process process) throws InterruptedException {
        while (process.isAlive()) {
            try {
                if (ManagementCall.send(management, "PING").startsWith("+OK")) {
                    return;
                }
            } catch (IOException e) {
                // The management address is not open yet.
                TimeUnit.MILLISECONDS.sleep(POLL_MS);
            }
        }
    }
}

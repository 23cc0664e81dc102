package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.mgmt.ManagementCall;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** The processes of one node, which replace one another; all have their files in one directory. */
final class NodeProcesses implements AutoCloseable {
    private final Path directory;
    private final String classPath;
    private final int port;
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    /** A process and its management address. */
    record Running(Process process, String management) {
        String send(String call) throws IOException {
            return ManagementCall.send(management, call);
        }
    }

    /** Creates a node without any process; its configuration is this text, but listening on a port of its own. */
    NodeProcesses(Path directory, String configuration) throws IOException {
        this(directory, configuration, System.getProperty("java.class.path"));
    }

    /** Creates a node as the other constructor does, whose processes have this class path. */
    NodeProcesses(Path directory, String configuration, String classPath) throws IOException {
        this.directory = directory;
        this.classPath = classPath;
        port = freePort();
        Files.writeString(directory.resolve("config.json"), configuration.replace("127.0.0.1:0", "127.0.0.1:" + port));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** The port that clients connect to. */
    int port() {
        return port;
    }

    /** All processes that were started, the oldest first. */
    List<Process> all() {
        return processes;
    }

    /** What the process with this number has logged. */
    String logOf(int number) throws IOException {
        return Files.readString(directory.resolve("log" + number));
    }

    /** Starts a process and waits until it serves. */
    Running start() throws Exception {
        String management = "127.0.0.1:" + freePort();
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        classPath,
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

    /** Stops a process by SIGTERM and waits for its exit. */
    static void stop(Running old) throws InterruptedException {
        old.process().destroy();
        assertTrue(old.process().waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, old.process().exitValue());
    }

    /** Waits until the condition is met; a failure to connect counts as not met. */
    static void await(Callable<Boolean> condition) throws Exception {
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

    /** Kills all processes. */
    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
    }
}

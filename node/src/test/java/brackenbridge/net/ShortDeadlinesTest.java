package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.Config;
import brackenbridge.log.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A node whose longest deadline is 0.1 s may be killed 0.8 s after SIGTERM: it answers all requests and exits before
 * that.
 */
class ShortDeadlinesTest {
    private static final long DEADLINE_MS = 100;
    private static final double KILL_MS = DEADLINE_MS + 700;
    /** The test waits in real time, while the node's clock runs at a quarter of its speed. */
    private static final double CLOCK_SLOWDOWN = 4;

    private final SlowClock clock = new SlowClock(CLOCK_SLOWDOWN);
    private FakeServer server;
    private Node node;

    @BeforeEach
    void start() throws IOException {
        server = new FakeServer();
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"active\"}";
        node = new Node(
                Config.parse(ClientNode.withDeadlines(DEADLINE_MS).replace("\"hosts\":[]", "\"hosts\":[" + host + "]")),
                clock,
                new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        node.start();
    }

    @AfterEach
    void end() throws IOException {
        server.close();
        node.kill();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(node.address().getAddress(), node.address().getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    /** Makes requests until the connection is closed; returns the last response. */
    private String requestUntilClose(Socket client) throws IOException {
        String last = "";
        for (int i = 0; !last.contains("Connection: close\r\n"); i++) {
            ClientNode.send(client, ClientNode.fileRequest("r" + i, (int) DEADLINE_MS, "a"));
            last = ClientNode.readResponse(client);
            assertTrue(last != null && last.matches("(?s)HTTP/1.1 50[34] .*"), i + " got " + last);
        }
        return last;
    }

    /** The server hangs, one client keeps making requests, another one stops in the middle of a request. */
    @Test
    void stoppedNodeAnswersAllAndExitsBeforeItIsKilled() throws Exception {
        try (Socket client = connect();
                Socket incomplete = connect()) {
            ClientNode.send(
                    incomplete,
                    ClientNode.fileRequest("half", (int) DEADLINE_MS, "a").substring(0, 40));
            ClientNode.requestLive(connect());
            double stopRequestedMs = clock.nowMs();
            CompletableFuture<Double> ended = node.stop().thenApply(v -> clock.nowMs());
            requestUntilClose(client);
            assertTrue(ClientNode.readResponse(incomplete).startsWith("HTTP/1.1 503 "));
            assertEquals(-1, incomplete.getInputStream().read());
            double elapsedMs = ended.get(20, TimeUnit.SECONDS) - stopRequestedMs;
            assertTrue(elapsedMs < KILL_MS - 100, "exited after " + elapsedMs + " ms");
        }
    }
}

package brackenbridge.net;

import static brackenbridge.net.HttpIo.write;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/** Waits for a node's metrics, and checks its counters. */
final class NodeMetrics {
    private static final int POLLS = 2000;
    private static final int POLL_MS = 5;

    private NodeMetrics() {}

    /** Waits until a metric has this value. */
    static void await(Node node, String figure) throws InterruptedException {
        for (int i = 0; i < POLLS && !node.metricsText().contains(figure); i++) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        assertTrue(node.metricsText().contains(figure + "\n"), node.metricsText());
    }

    /** Asserts that a counter has this value now. */
    static void expectCounter(Node node, String nameAndValue) throws IOException {
        try (Socket client =
                new Socket(node.address().getAddress(), node.address().getPort())) {
            write(client, "GET /health/counters HTTP/1.1\r\n\r\n");
            String counters = FakeServer.readMessage(client.getInputStream());
            assertTrue(counters.contains(nameAndValue + "\n"), counters);
        }
    }
}

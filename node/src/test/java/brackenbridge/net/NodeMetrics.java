package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;

/** Waits for a node's metrics. */
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
}

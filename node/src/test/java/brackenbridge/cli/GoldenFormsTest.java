package brackenbridge.cli;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import brackenbridge.mgmt.ManagementCall;
import brackenbridge.net.Node;
import brackenbridge.testing.GoldenText;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Compares the output of a running node for operators with the golden files. Numbers vary and are masked by {@code N};
 * their form and order are checked by the golden files of the counters.
 */
@Timeout(60)
class GoldenFormsTest {
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final long POLL_INTERVAL_NANOS = 2_000_000;
    private static final int MAX_POLLS = 5000;
    /** Matches a value, a length or a time, but not the version and the status of a response. */
    private static final Pattern NUMBER =
            Pattern.compile("(?m)(?<!HTTP/1\\.1 )(?<=[:= ]|^)-?[0-9]+(\\.[0-9]+)?(?=[\\s|]|$)");

    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final Clock clock = Clock.system();
    private final Log log = new Log(clock, new PrintStream(logOutput, true, StandardCharsets.UTF_8));
    private Node node;

    @BeforeEach
    void start() throws Exception {
        node = new Node(Config.parse(ConfigTest.TEXT).withManagement("127.0.0.1:0"), clock, log, null);
        node.start();
    }

    @AfterEach
    void kill() {
        node.kill();
    }

    private String logOutput() {
        return logOutput.toString(StandardCharsets.UTF_8);
    }

    private static String maskNumbers(String text) {
        return NUMBER.matcher(text).replaceAll("N");
    }

    @Test
    void responseToTheInfoCall() throws IOException {
        String at = "127.0.0.1:" + node.managementAddress().getPort();
        GoldenText.check("manage-info.txt", maskNumbers(ManagementCall.send(at, "INFO")));
    }

    @Test
    void responseOfTheCountersEndpoint() throws IOException {
        try (Socket client = new Socket("127.0.0.1", node.address().getPort())) {
            client.setSoTimeout(READ_TIMEOUT_MS);
            String request = "GET /health/counters HTTP/1.1\r\nConnection: close\r\n\r\n";
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String response = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            GoldenText.check("health-counters.txt", maskNumbers(response));
        }
    }

    @Test
    void logLineOfAStoppedNode() throws Exception {
        // The line contains the counters that are not 0, so the failed call to discovery has to be counted first.
        for (int i = 0; i < MAX_POLLS && !logOutput().contains("discovery call 1 ended"); i++) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        node.stop().get(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        log.flush();
        String line = logOutput()
                .lines()
                .filter(text -> text.contains("stopped: "))
                .findFirst()
                .orElse(null);
        assertNotNull(line, "the node logs that it has stopped");
        GoldenText.check("log-stopped.txt", maskNumbers(line) + "\n");
    }
}

package brackenbridge.fleet.agreed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.fleet.GoldenFiles;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The replies of the command {@code settings} and the metric names must match the golden files. Values in the status
 * that depend on time are masked.
 */
@Timeout(60)
class OperatorFormsTest {
    private static final int WITHIN_MS = 5000;
    private static final long POLL_INTERVAL_NANOS = 5_000_000;
    private static final int MAX_POLLS = 2000;

    @TempDir
    private Path directory;

    private static void check(String name, String text) throws IOException {
        GoldenFiles.check("agreed/" + name, text, String::getBytes, String::new);
    }

    /** Masks the random id of a voter's disk and all numbers, which depend on time. */
    private static String maskStatus(String status) {
        return status.replaceAll("@[0-9a-f]{24}", "@ID").replaceAll("\\b[0-9]+\\b", "N");
    }

    private static String format(SettingsAdminHandler.Reply reply) {
        return (reply.succeeded() ? "done: " : "not done: ") + reply.text() + "\n";
    }

    /** Repeats a request until it succeeds: a member that has just started knows no leader yet. */
    private static SettingsAdminHandler.Reply pollUntilSucceeded(Supplier<SettingsAdminHandler.Reply> request) {
        SettingsAdminHandler.Reply reply = request.get();
        for (int i = 0; i < MAX_POLLS && !reply.succeeded(); i++) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
            reply = request.get();
        }
        assertTrue(reply.succeeded(), reply.text());
        return reply;
    }

    @Test
    void settingsRepliesMatchGoldenFile() throws IOException {
        try (InProcessFleet members = new InProcessFleet(1, directory, 1)) {
            SettingsAdminHandler calls = new SettingsAdminHandler(members.member("m0"), WITHIN_MS);
            String name = AgreedValues.SETTINGS;
            pollUntilSucceeded(calls::status);
            StringBuilder answers = new StringBuilder();
            answers.append(format(calls.show(name)));
            answers.append(format(calls.history(name)));
            answers.append(format(calls.propose(name, "first\nsame\n", 0)));
            answers.append(format(calls.propose(name, "late\n", 0)));
            answers.append(format(calls.propose(name, "bad at m0\n", -1)));
            answers.append(format(calls.propose(name, "second\nsame\n", -1)));
            answers.append(format(pollUntilSucceeded(() -> calls.show(name))));
            answers.append(format(calls.history(name)));
            answers.append(format(calls.diff(name, 1, 2)));
            answers.append(format(calls.diff(name, 1, 99)));
            answers.append(format(calls.withdraw(name, 99)));
            answers.append(maskStatus(format(pollUntilSucceeded(calls::status))));
            answers.append(format(calls.propose(name, "x".repeat(AgreedState.MAX_CONTENT_BYTES + 1), -1)));
            check("settings-answers", answers.toString());
        }
    }

    @Test
    void metricNamesMatchGoldenFile() throws IOException {
        try (InProcessFleet members = new InProcessFleet(1, directory, 1)) {
            SimpleMeterRegistry metrics = new SimpleMeterRegistry();
            members.member("m0").registerMetrics(metrics);
            String names = metrics.getMeters().stream()
                    .map(meter -> meter.getId().getName() + " " + meter.getId().getTags() + "\n")
                    .sorted()
                    .collect(Collectors.joining());
            check("metrics", names);
        }
    }
}

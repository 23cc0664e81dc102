package brackenbridge.fleet.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.GoldenFiles;
import brackenbridge.fleet.config.FleetFile;
import brackenbridge.fleet.config.FleetFileException;
import io.micrometer.core.instrument.Meter;
import java.io.IOException;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Compares the output of a member for operators with the golden files: the responses of the command {@code state} and
 * the names of all metrics. The member has just been created, so that its values are always the same; its incarnation
 * is masked.
 */
class OperatorFormsTest {
    private static final int INCARNATION_DIGITS = 13;
    private static final Pattern INCARNATION = Pattern.compile("\\b[0-9]{" + INCARNATION_DIGITS + "}\\b");
    private static final byte[] NO_BODY = new byte[0];

    private FleetNode member;

    @BeforeEach
    void create() throws IOException, FleetFileException {
        String text = """
                fleet = "f"
                [[member]]
                name = "a"
                address = "127.0.0.1:1"
                [[member]]
                name = "b"
                address = "127.0.0.1:2"
                """;
        member = new FleetNode(FleetFile.parse("fleet.toml", text), "a", Clock.system());
    }

    @AfterEach
    void close() {
        member.close();
    }

    private static void check(String name, String text) throws IOException {
        GoldenFiles.check("node/" + name, text, String::getBytes, String::new);
    }

    /** Returns the response with incarnations masked, since they are derived from the time. */
    private String maskedResponse(String word, boolean json) {
        AdminHttpServer.Reply answer = new StateAdminHandler(member.replica()).handle(List.of(word), NO_BODY, json);
        assertTrue(answer.succeeded(), answer.text());
        return INCARNATION.matcher(answer.text()).replaceAll("N".repeat(INCARNATION_DIGITS));
    }

    @Test
    void responsesOfTheStateCommand() throws IOException {
        check("state-status", maskedResponse("status", false));
        check("state-status-json", maskedResponse("status", true));
        check("state-diff", maskedResponse("diff", false));
        check("state-diff-json", maskedResponse("diff", true));
    }

    @Test
    void namesOfTheMetrics() throws IOException {
        String names = member.metrics().getMeters().stream()
                .map(Meter::getId)
                .map(id -> id.getName() + " " + id.getTags() + "\n")
                .sorted()
                .collect(Collectors.joining());
        check("metrics", names);
    }
}

package brackenbridge.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.TestedNode;
import brackenbridge.lab.rules.RuleChecker.Breach;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A short soak of one seed of each kind; a seed that KNOWN-RED.txt lists is passed over. */
class SoakTest {
    private static final long FIRST_SEED = 1;
    private static final double SECONDS = 6;
    /** Seeds with commas, as {@code .ci/run} reads them from KNOWN-RED.txt. */
    private static final String KNOWN_RED = System.getProperty("soak.knownRedSeeds", "");

    static LongStream seeds() {
        Set<String> knownRed = Set.copyOf(Arrays.asList(KNOWN_RED.split(",")));
        return LongStream.range(FIRST_SEED, FIRST_SEED + SoakKind.values().length)
                .filter(seed -> !knownRed.contains(Long.toString(seed)));
    }

    @ParameterizedTest(name = "lab soak --seed {0}")
    @MethodSource("seeds")
    @Timeout(120)
    void aNodeKeepsItsPromisesThroughSignalsAndFailures(long seed) throws Exception {
        SoakOutcome outcome = SoakRunner.play(
                SoakPlanner.plan(seed, SECONDS),
                Set.of(),
                TestedNode.HOME,
                TestedNode.command(),
                Path.of("target", "soak", "seed-" + seed));
        assertEquals(
                Map.of(),
                outcome.broken(),
                () -> outcome.text() + "\n"
                        + outcome.breaches().stream().map(Breach::text).collect(Collectors.joining("\n")));
        assertTrue(outcome.served() > 500, outcome.text());
        assertTrue(outcome.signals() > 0, outcome.text());
    }
}

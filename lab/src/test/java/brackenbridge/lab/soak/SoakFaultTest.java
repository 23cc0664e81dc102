package brackenbridge.lab.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.TestedNode;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The checker is checked: each fault that is done on purpose is found by its rule. */
@Timeout(120)
class SoakFaultTest {
    private static final double SECONDS = 6;

    @Test
    void eachFaultAtRequestsServersAndTheExitIsFound() throws Exception {
        findsAll(SoakKind.RELOADS, EnumSet.complementOf(EnumSet.of(SoakFault.HIGHER_LIMIT)));
    }

    @Test
    void aLimitThatTheNodeIsNotToldOfIsFound() throws Exception {
        findsAll(SoakKind.CROWD, EnumSet.of(SoakFault.HIGHER_LIMIT));
    }

    private static void findsAll(SoakKind kind, Set<SoakFault> faults) throws Exception {
        SoakOutcome outcome = SoakRunner.play(
                SoakPlanner.plan(kind.ordinal(), SECONDS),
                faults,
                TestedNode.HOME,
                TestedNode.command(),
                Path.of("target", "soak", "faults-" + kind));
        for (SoakFault fault : faults) {
            assertTrue(
                    outcome.breaches().stream()
                            .anyMatch(breach -> breach.rule() == fault.rule()
                                    && breach.what().contains(fault.words())),
                    () -> fault + " was not found: " + outcome.text() + " " + outcome.breaches());
        }
    }
}

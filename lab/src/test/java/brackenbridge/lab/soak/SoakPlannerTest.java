package brackenbridge.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.soak.SoakStep.Action;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class SoakPlannerTest {
    private static final double SECONDS = 8;

    @Test
    void aSeedDecidesTheWholePlay() throws Exception {
        for (long seed = 1; seed < 30; seed++) {
            assertEquals(SoakPlanner.plan(seed, SECONDS), SoakPlanner.plan(seed, SECONDS));
        }
        assertNotEquals(
                SoakPlanner.plan(1, SECONDS).steps(),
                SoakPlanner.plan(8, SECONDS).steps());
    }

    @Test
    void seedsInARowPlayEachKindAndEachAction() throws Exception {
        Set<SoakKind> kinds = new HashSet<>();
        Set<Action> actions = new HashSet<>();
        for (long seed = 1; seed <= 50; seed++) {
            SoakPlan plan = SoakPlanner.plan(seed, SECONDS);
            kinds.add(plan.kind());
            actions.addAll(plan.steps().stream().map(SoakStep::action).collect(Collectors.toSet()));
            assertEquals(Set.of(ClientHabit.values()), Set.copyOf(plan.clients()));
        }
        assertEquals(Set.of(SoakKind.values()), kinds);
        assertEquals(Set.of(Action.values()), actions);
    }

    @Test
    void aProcessIsKilledAsEarlyAsThePlatformMay() throws Exception {
        for (long seed = 1; seed <= 50; seed++) {
            SoakPlan plan = SoakPlanner.plan(seed, SECONDS);
            double longestMs = plan.longestDeadlineMs();
            assertEquals(longestMs > 3000 ? 3700 : longestMs + 700, plan.killAfterMs());
        }
    }

    @Test
    void aStallIsNotLongerThanANodeHasToBear() throws Exception {
        for (long seed = 6; seed <= 50; seed += SoakKind.values().length) {
            for (SoakStep step : SoakPlanner.plan(seed, SECONDS).steps()) {
                assertTrue(step.action() != Action.STALL || step.amountMs() <= 150);
            }
        }
    }
}

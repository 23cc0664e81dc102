package brackenbridge;

import static brackenbridge.Script.MS;
import static brackenbridge.Script.SECOND;
import static brackenbridge.Script.safe;
import static brackenbridge.Script.settings;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.BalancerApi.EndpointState;
import brackenbridge.BalancerApi.ListKind;
import brackenbridge.BalancerApi.Outcome;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Lists and times that no sane party would send: the module goes on deciding. */
class AbsurdInputTest {

    /** How many of so many calls each server gets, one after the other. */
    private static Map<Long, Integer> turns(Script s, long firstId, int calls) {
        Map<Long, Integer> turns = new HashMap<>();
        for (long id = firstId; id < firstId + calls; id++) {
            s.ask(id, "read").pass(MS).answer(id, 0, Outcome.OK, MS);
            turns.merge(s.target(id), 1, Integer::sum);
        }
        return turns;
    }

    @ParameterizedTest
    @ValueSource(doubles = {Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, -3, 0, 1e-300, 1e300})
    void oneAbsurdWeightLeavesTheOthersTheirTurns(double weight) {
        Script s = new Script(settings(safe("read", 1))).list(ListKind.SAVED, Script.up(1, weight));
        turns(s, 0, 5);
        s.list(ListKind.FULL, Script.up(1, weight), Script.up(2, 1), Script.up(3, 1), Script.up(4, 1));
        Map<Long, Integer> turns = turns(s, 100, 4000);
        for (long id = 2; id <= 4; id++) {
            int others = (4000 - turns.getOrDefault(1L, 0)) / 3;
            int own = turns.getOrDefault(id, 0);
            assertTrue(own > 0 && Math.abs(own - others) <= 3, id + " of " + turns);
        }
    }

    @Test
    void serverThatSaysItWillStartInAHundredYearsIsColdNoLongerThanAnyOther() {
        Script s = new Script(settings(safe("read", 1))).servers(4);
        long far = s.now + 100L * 365 * 86_400 * SECOND;
        for (int i = 0; i < 25; i++) {
            // The list comes again and again: its word is the same, so the server has not started again.
            s.list(ListKind.CHANGES, Script.at(9, "here", far, EndpointState.UP)).pass(SECOND);
        }
        int turns = turns(s, 0, 400).getOrDefault(9L, 0);
        assertTrue(turns > 60, "turns of the server by now: " + turns);
    }

    @Test
    void answerThatTakesNoTimeSpoilsNoEstimate() {
        Script s = new Script(settings(safe("read", 1))).servers(1);
        s.ask(1, "read").answer(1, 0, Outcome.OK, 0);
        for (int i = 2; i < 80; i++) {
            s.ask(i, "read").pass(100 * MS).answer(i, 0, Outcome.OK, 100 * MS);
        }
        // Servers that now answer ten times as slowly have to be told apart by their pace.
        s.list(ListKind.CHANGES, Script.up(2, 1));
        int slow = 0;
        for (int i = 100; i < 400; i++) {
            s.ask(i, "read");
            boolean first = s.target(i) == 1;
            s.pass(first ? 1000 * MS : 100 * MS).answer(i, 0, Outcome.OK, first ? 1000 * MS : 100 * MS);
            slow += first ? 1 : 0;
        }
        assertTrue(slow < 100, "turns of the slow server: " + slow);
    }
}

package brackenbridge.lab.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.lab.rules.RuleChecker.Rule;
import org.junit.jupiter.api.Test;

class RuleCheckerTest {
    private final RuleChecker rules = new RuleChecker(550, 550);

    private RuleChecker.Entry request() {
        return rules.taken(0, "1", "quick", "n0", true, 1000);
    }

    @Test
    void aServerIsToldNoMoreThanWhatIsLeftAndTheSlack() {
        request().timeTold(100, "s", 1100);
        assertEquals(0, rules.broken(Rule.TIME_TOLD));
        request().timeTold(100, "s", 1101);
        assertEquals(1, rules.broken(Rule.TIME_TOLD));
    }

    @Test
    void anAttemptForAClientThatHasGoneIsFoundFromItsGraceOn() {
        RuleChecker.Entry entry = request();
        entry.gone(100);
        entry.begunFor(250, "s");
        assertEquals(0, rules.broken(Rule.CLIENT_GONE));
        entry.begunFor(251, "s");
        assertEquals(1, rules.broken(Rule.CLIENT_GONE));
    }

    @Test
    void aRequestBehindAnotherIsJudgedFromItsTurnOn() {
        RuleChecker.Entry entry = rules.taken(0, "1", "quick", "n0", false, Double.POSITIVE_INFINITY);
        entry.turnCame(5000, 6000);
        entry.timeTold(5100, "s", 900);
        entry.answered(6500, RuleChecker.Answer.SERVED);
        assertEquals(0, rules.broken());
        entry.timeTold(5100, "s", 1200);
        assertEquals(1, rules.broken(Rule.TIME_TOLD));
    }

    @Test
    void aConnectionThatEndsUnderARequestLosesItOnce() {
        RuleChecker.Entry entry = request();
        entry.connectionEnded(500, "its connection ended");
        entry.close(2000);
        assertEquals(1, rules.broken(Rule.LOST));
        RuleChecker.Entry answered = request();
        answered.answered(100, RuleChecker.Answer.SERVED);
        answered.connectionEnded(500, "its connection ended");
        assertEquals(1, rules.broken(Rule.LOST));
    }

    @Test
    void aProcessThatTakesOverIsHeldToWhatTheOtherWasTold() {
        rules.told(0, "n0/1", "s", false);
        assertFalse(rules.isTooLate(1000, "n0/2", "s"));
        rules.inherit("n0/1", "n0/2");
        rules.told(900, "n0/2", "s", false);
        assertFalse(rules.isTooLate(550, "n0/2", "s"));
        assertTrue(rules.isTooLate(551, "n0/2", "s"));
    }
}

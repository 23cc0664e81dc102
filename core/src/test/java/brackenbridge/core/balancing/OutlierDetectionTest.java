package brackenbridge.core.balancing;

import static brackenbridge.core.balancing.Script.MILLISECOND_US;
import static brackenbridge.core.balancing.Script.SECOND_US;
import static brackenbridge.core.balancing.Script.safe;
import static brackenbridge.core.balancing.Script.settings;
import static brackenbridge.core.balancing.Script.unsafe;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Ejection of servers, the trials that end it, and the limit on attempts. */
class OutlierDetectionTest {
    @Test
    void serverThatFailsFastIsEjected() {
        // It frees its slot at once and would draw every call that waits.
        Script script = new Script(settings(safe("read", 1))).servers(4);
        int bad = 0;
        for (int i = 0; i < 200; i++) {
            script.ask(i, "read").pass(2 * MILLISECOND_US);
            while (script.target(i) == 3
                    && script.attempts.get((long) i) <= 2
                    && !script.requests("refuse").contains((long) i)) {
                bad++;
                script.answer(i, script.attempts.get((long) i) - 1, AttemptOutcome.ERROR, 2 * MILLISECOND_US);
            }
            if (!script.requests("refuse").contains((long) i)) {
                script.answer(i, script.attempts.get((long) i) - 1, AttemptOutcome.OK, 2 * MILLISECOND_US);
            }
        }
        assertTrue(bad >= 1 && bad < 12, "calls that met it: " + bad);
    }

    @Test
    void serverThatFailsOneClassIsAvoidedByThatClassAlone() {
        Script script = new Script(settings(unsafe("sign", 1), unsafe("file", 1))).servers(5);
        int failed = 0;
        int others = 0;
        for (int i = 0; i < 400; i++) {
            String name = i % 7 % 2 == 0 ? "sign" : "file";
            script.ask(i, name).pass(20 * MILLISECOND_US);
            boolean fails = name.equals("sign") && script.target(i) == 3;
            failed += fails ? 1 : 0;
            others += name.equals("file") && script.target(i) == 3 ? 1 : 0;
            script.answer(i, 0, fails ? AttemptOutcome.ERROR : AttemptOutcome.OK, 20 * MILLISECOND_US);
        }
        assertTrue(failed >= 2 && failed < 8, "calls that failed: " + failed);
        assertTrue(others > 15, "the other class's calls there: " + others);
    }

    @Test
    void serverThatLosesHalfOfItsResponsesIsEjectedLongerEachTime() {
        Script script = new Script(settings(unsafe("file", 1))).servers(5);
        int lost = 0;
        int there = 0;
        for (int i = 0; i < 1000; i++) {
            script.ask(i, "file").pass(20 * MILLISECOND_US);
            boolean sick = script.target(i) == 3 && ++there % 2 == 0;
            lost += sick ? 1 : 0;
            script.answer(i, 0, sick ? AttemptOutcome.RESET : AttemptOutcome.OK, 20 * MILLISECOND_US);
        }
        assertTrue(lost < 12, "lost of " + there + ": " + lost);
    }

    @Test
    void ejectedServerGetsTrialEvenIfOnlyNonIdempotentRequestsArrive() {
        Script script = new Script(settings(safe("read", 1), unsafe("write", 5))).servers(1);
        script.ask(1, "write").answer(1, 0, AttemptOutcome.CONNECT_FAILED, MILLISECOND_US);
        long served = -1;
        for (long id = 2; id < 40 && served < 0; id++) {
            script.ask(id, "write").pass(SECOND_US / 2);
            served = script.target(id);
        }
        assertEquals(1, served, "the only server is never tried again");
    }

    @Test
    void ejectedServerAmongOthersGetsTrialEvenIfOnlyNonIdempotentRequestsArrive() {
        Script script = new Script(settings(safe("read", 1), unsafe("write", 5))).servers(4);
        script.ask(1, "write");
        long sick = script.target(1);
        script.answer(1, 0, AttemptOutcome.TIMEOUT, MILLISECOND_US);
        boolean again = false;
        for (long id = 2; id < 400 && !again; id++) {
            script.ask(id, "write").pass(20 * MILLISECOND_US).answer(id, 0, AttemptOutcome.OK, 20 * MILLISECOND_US);
            again = script.target(id) == sick;
        }
        assertTrue(again, "no call reaches it any more");
    }

    @Test
    void attemptsNeverExceedTheSettings() {
        Script script = new Script(settings(safe("read", 1))).servers(9).ask(1, "read");
        for (int attempt = 0; attempt < 4; attempt++) {
            assertEquals(attempt + 1, script.attempts.get(1L));
            script.answer(1, attempt, AttemptOutcome.FULL, MILLISECOND_US);
        }
        assertEquals(4, script.attempts.get(1L));
        assertEquals(List.of(1L), script.requests("refuse"), "at once");
    }

    @Test
    void oneBrokenConnectionEjectsNoServer() {
        Script script = new Script(settings(unsafe("file", 1))).servers(1);
        script.ask(1, "file").answer(1, 0, AttemptOutcome.RESET, 20 * MILLISECOND_US);
        script.ask(2, "file");
        assertEquals(1, script.target(2));
    }

    @Test
    void removedServersNoLongerCountAsEjected() {
        Script script = new Script(Script.settings(unsafe("file", 1))).servers(4);
        long id = 1;
        for (int round = 0; round < 6; round++) {
            script.ask(id, "file");
            long sick = script.target(id);
            script.answer(id++, 0, AttemptOutcome.TIMEOUT, 1000);
            script.list(
                            EndpointListKind.CHANGES,
                            Script.at(sick, "here", 0, EndpointState.REMOVED),
                            Script.up(100 + round, 1))
                    .pass(2 * Script.SECOND_US);
        }
        script.ask(id, "file");
        long sick = script.target(id);
        script.answer(id++, 0, AttemptOutcome.TIMEOUT, 1000);
        for (int i = 0; i < 6; i++) {
            script.ask(id, "file");
            assertNotEquals(sick, script.target(id), "a server that has just failed is still taken out");
            script.answer(id++, 0, AttemptOutcome.OK, 1000);
        }
    }

    @Test
    void serverThatLetsARequestTimeOutIsEjectedThoughItAnswersOthers() {
        Script script = new Script(settings(2, false, List.of(), unsafe("write", 5))).servers(1);
        script.ask(1, "write")
                .ask(2, "write")
                .pass(200 * MILLISECOND_US)
                .answer(2, 0, AttemptOutcome.OK, 200 * MILLISECOND_US);
        script.pass(400 * MILLISECOND_US).answer(1, 0, AttemptOutcome.TIMEOUT, 600 * MILLISECOND_US);
        assertEquals(1, script.balancer.ejectedEndpoints());
    }

    /** Asks until a call goes to this server; how long that took. */
    private static long runUntilTrial(Script script, long from, long server) {
        long since = script.now;
        long id = from;
        do {
            script.pass(50 * MILLISECOND_US).ask(++id, "read");
            if (script.target(id) != server) {
                script.answer(id, 0, AttemptOutcome.OK, 20 * MILLISECOND_US);
            }
        } while (script.target(id) != server && script.now < since + 60 * SECOND_US);
        return script.now - since;
    }

    @Test
    void trialWithoutResultIsFollowedByAnother() {
        Script script = new Script(settings(safe("read", 1))).servers(4).ask(1, "read");
        long sick = script.target(1);
        script.answer(1, 0, AttemptOutcome.CONNECT_FAILED, MILLISECOND_US);
        runUntilTrial(script, 100, sick);
        long trial = script.actions.get(script.actions.size() - 1).request();
        script.balancer.onClientDisconnected(script.now, trial);
        script.answer(trial, 0, AttemptOutcome.CANCELLED, MILLISECOND_US);
        assertTrue(runUntilTrial(script, 10_000, sick) < SECOND_US, "out for good");
    }

    @Test
    void timeoutOfARequestThatArrivedTooLateCountsAgainstNoServer() {
        Script script = new Script(settings(unsafe("file", 1))).servers(4);
        for (int id = 1; id < 40; id++) {
            script.ask(id, "file").pass(100 * MILLISECOND_US).answer(id, 0, AttemptOutcome.OK, 100 * MILLISECOND_US);
        }
        script.ask(100, "file", null, -1, 10 * MILLISECOND_US)
                .pass(10 * MILLISECOND_US)
                .answer(100, 0, AttemptOutcome.TIMEOUT, 10 * MILLISECOND_US);
        assertEquals(0, script.balancer.ejectedEndpoints());
        script.ask(101, "file").pass(3 * SECOND_US).answer(101, 0, AttemptOutcome.TIMEOUT, 3 * SECOND_US);
        assertEquals(1, script.balancer.ejectedEndpoints());
    }

    @Test
    void requestsInFlightTogetherCountOnceAgainstTheirServer() {
        Script script = new Script(settings(1, false, List.of(), safe("read", 1), unsafe("write", 5))).servers(2);
        for (int id = 1; id <= 8; id++) {
            script.ask(id, "write");
        }
        long sick = script.target(1);
        List<Long> there = script.of("send").stream()
                .filter(a -> a.endpoint() == sick)
                .map(Script.Action::request)
                .toList();
        assertTrue(there.size() >= 3, "calls at one server: " + there);
        for (long id = 1; id <= 8; id++) {
            script.answer(id, 0, there.contains(id) ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK, 3 * SECOND_US);
        }
        assertTrue(runUntilTrial(script, 100, sick) < 1500 * MILLISECOND_US, "as if it had failed again and again");
    }

    /** Servers may drop it without a word, or end its connection; also before any answer has told what is usual. */
    @Test
    void requestWithVeryLittleTimeLeftSaysNothingAboutItsServer() {
        for (AttemptOutcome silence : List.of(AttemptOutcome.TIMEOUT, AttemptOutcome.RESET)) {
            for (int known : new int[] {0, 40}) {
                Script script = new Script(settings(safe("read", 1))).servers(4);
                for (int id = 0; id < known; id++) {
                    script.ask(id, "read").pass(MILLISECOND_US).answer(id, 0, AttemptOutcome.OK, MILLISECOND_US);
                }
                for (int left = 1; left <= 20; left++) {
                    int id = 100 + left;
                    script.ask(id, "read", null, -1, left * MILLISECOND_US).pass(left * MILLISECOND_US);
                    script.balancer.onAttemptEnded(script.now, id, 0, true, silence, 200 * MILLISECOND_US, null);
                }
                assertEquals(0, script.balancer.ejectedEndpoints(), silence + " after " + known);
                script.ask(200, "read").pass(3 * SECOND_US).answer(200, 0, AttemptOutcome.TIMEOUT, 3 * SECOND_US);
                assertEquals(1, script.balancer.ejectedEndpoints(), "one that had its time does");
            }
        }
    }
}

package brackenbridge.core.balancing;

import static brackenbridge.core.balancing.Script.MS;
import static brackenbridge.core.balancing.Script.SECOND;
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
        Script s = new Script(settings(safe("read", 1))).servers(4);
        int bad = 0;
        for (int i = 0; i < 200; i++) {
            s.ask(i, "read").pass(2 * MS);
            while (s.target(i) == 3
                    && s.attempts.get((long) i) <= 2
                    && !s.requests("refuse").contains((long) i)) {
                bad++;
                s.answer(i, s.attempts.get((long) i) - 1, AttemptOutcome.ERROR, 2 * MS);
            }
            if (!s.requests("refuse").contains((long) i)) {
                s.answer(i, s.attempts.get((long) i) - 1, AttemptOutcome.OK, 2 * MS);
            }
        }
        assertTrue(bad >= 1 && bad < 12, "calls that met it: " + bad);
    }

    @Test
    void serverThatFailsOneClassIsAvoidedByThatClassAlone() {
        Script s = new Script(settings(unsafe("sign", 1), unsafe("file", 1))).servers(5);
        int failed = 0;
        int others = 0;
        for (int i = 0; i < 400; i++) {
            String name = i % 7 % 2 == 0 ? "sign" : "file";
            s.ask(i, name).pass(20 * MS);
            boolean fails = name.equals("sign") && s.target(i) == 3;
            failed += fails ? 1 : 0;
            others += name.equals("file") && s.target(i) == 3 ? 1 : 0;
            s.answer(i, 0, fails ? AttemptOutcome.ERROR : AttemptOutcome.OK, 20 * MS);
        }
        assertTrue(failed >= 2 && failed < 8, "calls that failed: " + failed);
        assertTrue(others > 15, "the other class's calls there: " + others);
    }

    @Test
    void serverThatLosesHalfOfItsResponsesIsEjectedLongerEachTime() {
        Script s = new Script(settings(unsafe("file", 1))).servers(5);
        int lost = 0;
        int there = 0;
        for (int i = 0; i < 1000; i++) {
            s.ask(i, "file").pass(20 * MS);
            boolean sick = s.target(i) == 3 && ++there % 2 == 0;
            lost += sick ? 1 : 0;
            s.answer(i, 0, sick ? AttemptOutcome.RESET : AttemptOutcome.OK, 20 * MS);
        }
        assertTrue(lost < 12, "lost of " + there + ": " + lost);
    }

    @Test
    void ejectedServerGetsTrialEvenIfOnlyNonIdempotentRequestsArrive() {
        Script s = new Script(settings(safe("read", 1), unsafe("write", 5))).servers(1);
        s.ask(1, "write").answer(1, 0, AttemptOutcome.CONNECT_FAILED, MS);
        long served = -1;
        for (long id = 2; id < 40 && served < 0; id++) {
            s.ask(id, "write").pass(SECOND / 2);
            served = s.target(id);
        }
        assertEquals(1, served, "the only server is never tried again");
    }

    @Test
    void ejectedServerAmongOthersGetsTrialEvenIfOnlyNonIdempotentRequestsArrive() {
        Script s = new Script(settings(safe("read", 1), unsafe("write", 5))).servers(4);
        s.ask(1, "write");
        long sick = s.target(1);
        s.answer(1, 0, AttemptOutcome.TIMEOUT, MS);
        boolean again = false;
        for (long id = 2; id < 400 && !again; id++) {
            s.ask(id, "write").pass(20 * MS).answer(id, 0, AttemptOutcome.OK, 20 * MS);
            again = s.target(id) == sick;
        }
        assertTrue(again, "no call reaches it any more");
    }

    @Test
    void attemptsNeverExceedTheSettings() {
        Script s = new Script(settings(safe("read", 1))).servers(9).ask(1, "read");
        for (int attempt = 0; attempt < 4; attempt++) {
            assertEquals(attempt + 1, s.attempts.get(1L));
            s.answer(1, attempt, AttemptOutcome.FULL, MS);
        }
        assertEquals(4, s.attempts.get(1L));
        assertEquals(List.of(1L), s.requests("refuse"), "at once");
    }

    @Test
    void oneBrokenConnectionEjectsNoServer() {
        Script s = new Script(settings(unsafe("file", 1))).servers(1);
        s.ask(1, "file").answer(1, 0, AttemptOutcome.RESET, 20 * MS);
        s.ask(2, "file");
        assertEquals(1, s.target(2));
    }

    @Test
    void removedServersNoLongerCountAsEjected() {
        Script s = new Script(Script.settings(unsafe("file", 1))).servers(4);
        long id = 1;
        for (int round = 0; round < 6; round++) {
            s.ask(id, "file");
            long sick = s.target(id);
            s.answer(id++, 0, AttemptOutcome.TIMEOUT, 1000);
            s.list(
                            EndpointListKind.CHANGES,
                            Script.at(sick, "here", 0, EndpointState.REMOVED),
                            Script.up(100 + round, 1))
                    .pass(2 * Script.SECOND);
        }
        s.ask(id, "file");
        long sick = s.target(id);
        s.answer(id++, 0, AttemptOutcome.TIMEOUT, 1000);
        for (int i = 0; i < 6; i++) {
            s.ask(id, "file");
            assertNotEquals(sick, s.target(id), "a server that has just failed is still taken out");
            s.answer(id++, 0, AttemptOutcome.OK, 1000);
        }
    }

    @Test
    void serverThatLetsARequestTimeOutIsEjectedThoughItAnswersOthers() {
        Script s = new Script(settings(2, false, List.of(), unsafe("write", 5))).servers(1);
        s.ask(1, "write").ask(2, "write").pass(200 * MS).answer(2, 0, AttemptOutcome.OK, 200 * MS);
        s.pass(400 * MS).answer(1, 0, AttemptOutcome.TIMEOUT, 600 * MS);
        assertEquals(1, s.balancer.ejectedEndpoints());
    }

    /** Asks until a call goes to this server; how long that took. */
    private static long runUntilTrial(Script s, long from, long server) {
        long since = s.now;
        long id = from;
        do {
            s.pass(50 * MS).ask(++id, "read");
            if (s.target(id) != server) {
                s.answer(id, 0, AttemptOutcome.OK, 20 * MS);
            }
        } while (s.target(id) != server && s.now < since + 60 * SECOND);
        return s.now - since;
    }

    @Test
    void trialWithoutResultIsFollowedByAnother() {
        Script s = new Script(settings(safe("read", 1))).servers(4).ask(1, "read");
        long sick = s.target(1);
        s.answer(1, 0, AttemptOutcome.CONNECT_FAILED, MS);
        runUntilTrial(s, 100, sick);
        long trial = s.acts.get(s.acts.size() - 1).request();
        s.balancer.onClientDisconnected(s.now, trial);
        s.answer(trial, 0, AttemptOutcome.CANCELLED, MS);
        assertTrue(runUntilTrial(s, 10_000, sick) < SECOND, "out for good");
    }

    @Test
    void timeoutOfARequestThatArrivedTooLateCountsAgainstNoServer() {
        Script s = new Script(settings(unsafe("file", 1))).servers(4);
        for (int id = 1; id < 40; id++) {
            s.ask(id, "file").pass(100 * MS).answer(id, 0, AttemptOutcome.OK, 100 * MS);
        }
        s.ask(100, "file", null, -1, 10 * MS).pass(10 * MS).answer(100, 0, AttemptOutcome.TIMEOUT, 10 * MS);
        assertEquals(0, s.balancer.ejectedEndpoints());
        s.ask(101, "file").pass(3 * SECOND).answer(101, 0, AttemptOutcome.TIMEOUT, 3 * SECOND);
        assertEquals(1, s.balancer.ejectedEndpoints());
    }

    @Test
    void requestsInFlightTogetherCountOnceAgainstTheirServer() {
        Script s = new Script(settings(1, false, List.of(), safe("read", 1), unsafe("write", 5))).servers(2);
        for (int id = 1; id <= 8; id++) {
            s.ask(id, "write");
        }
        long sick = s.target(1);
        List<Long> there = s.of("send").stream()
                .filter(a -> a.endpoint() == sick)
                .map(Script.Act::request)
                .toList();
        assertTrue(there.size() >= 3, "calls at one server: " + there);
        for (long id = 1; id <= 8; id++) {
            s.answer(id, 0, there.contains(id) ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK, 3 * SECOND);
        }
        assertTrue(runUntilTrial(s, 100, sick) < 1500 * MS, "as if it had failed again and again");
    }

    /** Servers may drop it without a word, or end its connection; also before any answer has told what is usual. */
    @Test
    void requestWithVeryLittleTimeLeftSaysNothingAboutItsServer() {
        for (AttemptOutcome silence : List.of(AttemptOutcome.TIMEOUT, AttemptOutcome.RESET)) {
            for (int known : new int[] {0, 40}) {
                Script s = new Script(settings(safe("read", 1))).servers(4);
                for (int id = 0; id < known; id++) {
                    s.ask(id, "read").pass(MS).answer(id, 0, AttemptOutcome.OK, MS);
                }
                for (int left = 1; left <= 20; left++) {
                    int id = 100 + left;
                    s.ask(id, "read", null, -1, left * MS).pass(left * MS);
                    s.balancer.onAttemptEnded(s.now, id, 0, true, silence, 200 * MS, null);
                }
                assertEquals(0, s.balancer.ejectedEndpoints(), silence + " after " + known);
                s.ask(200, "read").pass(3 * SECOND).answer(200, 0, AttemptOutcome.TIMEOUT, 3 * SECOND);
                assertEquals(1, s.balancer.ejectedEndpoints(), "one that had its time does");
            }
        }
    }
}

package brackenbridge.core.balancing;

import static brackenbridge.core.balancing.ScriptedBalancer.MILLISECOND_US;
import static brackenbridge.core.balancing.ScriptedBalancer.SECOND_US;
import static brackenbridge.core.balancing.ScriptedBalancer.idempotentClass;
import static brackenbridge.core.balancing.ScriptedBalancer.nonIdempotentClass;
import static brackenbridge.core.balancing.ScriptedBalancer.settings;
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
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(4);
        int bad = 0;
        for (int i = 0; i < 200; i++) {
            script.submit(i, "read").advance(2 * MILLISECOND_US);
            while (script.lastServerOf(i) == 3
                    && script.attempts.get((long) i) <= 2
                    && !script.requestsOfType("reject").contains((long) i)) {
                bad++;
                script.endAttempt(i, script.attempts.get((long) i) - 1, AttemptOutcome.ERROR, 2 * MILLISECOND_US);
            }
            if (!script.requestsOfType("reject").contains((long) i)) {
                script.endAttempt(i, script.attempts.get((long) i) - 1, AttemptOutcome.OK, 2 * MILLISECOND_US);
            }
        }
        assertTrue(bad >= 1 && bad < 12, "calls that met it: " + bad);
    }

    @Test
    void serverThatFailsOneClassIsAvoidedByThatClassAlone() {
        ScriptedBalancer script = new ScriptedBalancer(
                        settings(nonIdempotentClass("sign", 1), nonIdempotentClass("file", 1)))
                .listServers(5);
        int failed = 0;
        int others = 0;
        for (int i = 0; i < 400; i++) {
            String name = i % 7 % 2 == 0 ? "sign" : "file";
            script.submit(i, name).advance(20 * MILLISECOND_US);
            boolean fails = name.equals("sign") && script.lastServerOf(i) == 3;
            failed += fails ? 1 : 0;
            others += name.equals("file") && script.lastServerOf(i) == 3 ? 1 : 0;
            script.endAttempt(i, 0, fails ? AttemptOutcome.ERROR : AttemptOutcome.OK, 20 * MILLISECOND_US);
        }
        assertTrue(failed >= 2 && failed < 8, "calls that failed: " + failed);
        assertTrue(others > 15, "the other class's calls there: " + others);
    }

    @Test
    void serverThatLosesHalfOfItsResponsesIsEjectedLongerEachTime() {
        ScriptedBalancer script = new ScriptedBalancer(settings(nonIdempotentClass("file", 1))).listServers(5);
        int lost = 0;
        int there = 0;
        for (int i = 0; i < 1000; i++) {
            script.submit(i, "file").advance(20 * MILLISECOND_US);
            boolean sick = script.lastServerOf(i) == 3 && ++there % 2 == 0;
            lost += sick ? 1 : 0;
            script.endAttempt(i, 0, sick ? AttemptOutcome.RESET : AttemptOutcome.OK, 20 * MILLISECOND_US);
        }
        assertTrue(lost < 12, "lost of " + there + ": " + lost);
    }

    @Test
    void ejectedServerGetsTrialEvenIfOnlyNonIdempotentRequestsArrive() {
        ScriptedBalancer script = new ScriptedBalancer(
                        settings(idempotentClass("read", 1), nonIdempotentClass("write", 5)))
                .listServers(1);
        script.submit(1, "write").endAttempt(1, 0, AttemptOutcome.CONNECT_FAILED, MILLISECOND_US);
        long served = -1;
        for (long id = 2; id < 40 && served < 0; id++) {
            script.submit(id, "write").advance(SECOND_US / 2);
            served = script.lastServerOf(id);
        }
        assertEquals(1, served, "the only server is never tried again");
    }

    @Test
    void ejectedServerAmongOthersGetsTrialEvenIfOnlyNonIdempotentRequestsArrive() {
        ScriptedBalancer script = new ScriptedBalancer(
                        settings(idempotentClass("read", 1), nonIdempotentClass("write", 5)))
                .listServers(4);
        script.submit(1, "write");
        long sick = script.lastServerOf(1);
        script.endAttempt(1, 0, AttemptOutcome.TIMEOUT, MILLISECOND_US);
        boolean again = false;
        for (long id = 2; id < 400 && !again; id++) {
            script.submit(id, "write")
                    .advance(20 * MILLISECOND_US)
                    .endAttempt(id, 0, AttemptOutcome.OK, 20 * MILLISECOND_US);
            again = script.lastServerOf(id) == sick;
        }
        assertTrue(again, "no call reaches it any more");
    }

    @Test
    void attemptsNeverExceedTheSettings() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1)))
                .listServers(9)
                .submit(1, "read");
        for (int attempt = 0; attempt < 4; attempt++) {
            assertEquals(attempt + 1, script.attempts.get(1L));
            script.endAttempt(1, attempt, AttemptOutcome.FULL, MILLISECOND_US);
        }
        assertEquals(4, script.attempts.get(1L));
        assertEquals(List.of(1L), script.requestsOfType("reject"), "at once");
    }

    @Test
    void oneBrokenConnectionEjectsNoServer() {
        ScriptedBalancer script = new ScriptedBalancer(settings(nonIdempotentClass("file", 1))).listServers(1);
        script.submit(1, "file").endAttempt(1, 0, AttemptOutcome.RESET, 20 * MILLISECOND_US);
        script.submit(2, "file");
        assertEquals(1, script.lastServerOf(2));
    }

    @Test
    void removedServersNoLongerCountAsEjected() {
        ScriptedBalancer script =
                new ScriptedBalancer(ScriptedBalancer.settings(nonIdempotentClass("file", 1))).listServers(4);
        long id = 1;
        for (int round = 0; round < 6; round++) {
            script.submit(id, "file");
            long sick = script.lastServerOf(id);
            script.endAttempt(id++, 0, AttemptOutcome.TIMEOUT, 1000);
            script.sendList(
                            EndpointListKind.CHANGES,
                            ScriptedBalancer.endpoint(sick, "here", 0, EndpointState.REMOVED),
                            ScriptedBalancer.endpointUp(100 + round, 1))
                    .advance(2 * ScriptedBalancer.SECOND_US);
        }
        script.submit(id, "file");
        long sick = script.lastServerOf(id);
        script.endAttempt(id++, 0, AttemptOutcome.TIMEOUT, 1000);
        for (int i = 0; i < 6; i++) {
            script.submit(id, "file");
            assertNotEquals(sick, script.lastServerOf(id), "a server that has just failed is still taken out");
            script.endAttempt(id++, 0, AttemptOutcome.OK, 1000);
        }
    }

    @Test
    void timeoutEjectsServerThatAnswersOtherRequests() {
        ScriptedBalancer script =
                new ScriptedBalancer(settings(2, false, List.of(), nonIdempotentClass("write", 5))).listServers(1);
        script.submit(1, "write")
                .submit(2, "write")
                .advance(200 * MILLISECOND_US)
                .endAttempt(2, 0, AttemptOutcome.OK, 200 * MILLISECOND_US);
        script.advance(400 * MILLISECOND_US).endAttempt(1, 0, AttemptOutcome.TIMEOUT, 600 * MILLISECOND_US);
        assertEquals(1, script.balancer.ejectedEndpoints());
    }

    /** Asks until a call goes to this server; how long that took. */
    private static long runUntilTrial(ScriptedBalancer script, long from, long server) {
        long since = script.now;
        long id = from;
        do {
            script.advance(50 * MILLISECOND_US).submit(++id, "read");
            if (script.lastServerOf(id) != server) {
                script.endAttempt(id, 0, AttemptOutcome.OK, 20 * MILLISECOND_US);
            }
        } while (script.lastServerOf(id) != server && script.now < since + 60 * SECOND_US);
        return script.now - since;
    }

    @Test
    void trialWithoutResultIsFollowedByAnother() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1)))
                .listServers(4)
                .submit(1, "read");
        long sick = script.lastServerOf(1);
        script.endAttempt(1, 0, AttemptOutcome.CONNECT_FAILED, MILLISECOND_US);
        runUntilTrial(script, 100, sick);
        long trial = script.actions.get(script.actions.size() - 1).request();
        script.balancer.onClientDisconnected(script.now, trial);
        script.endAttempt(trial, 0, AttemptOutcome.CANCELLED, MILLISECOND_US);
        assertTrue(runUntilTrial(script, 10_000, sick) < SECOND_US, "out for good");
    }

    @Test
    void timeoutOfRequestThatArrivedTooLateEjectsNoServer() {
        ScriptedBalancer script = new ScriptedBalancer(settings(nonIdempotentClass("file", 1))).listServers(4);
        for (int id = 1; id < 40; id++) {
            script.submit(id, "file")
                    .advance(100 * MILLISECOND_US)
                    .endAttempt(id, 0, AttemptOutcome.OK, 100 * MILLISECOND_US);
        }
        script.submit(100, "file", null, -1, 10 * MILLISECOND_US)
                .advance(10 * MILLISECOND_US)
                .endAttempt(100, 0, AttemptOutcome.TIMEOUT, 10 * MILLISECOND_US);
        assertEquals(0, script.balancer.ejectedEndpoints());
        script.submit(101, "file").advance(3 * SECOND_US).endAttempt(101, 0, AttemptOutcome.TIMEOUT, 3 * SECOND_US);
        assertEquals(1, script.balancer.ejectedEndpoints());
    }

    @Test
    void concurrentFailuresCountAsOneEjection() {
        ScriptedBalancer script = new ScriptedBalancer(
                        settings(1, false, List.of(), idempotentClass("read", 1), nonIdempotentClass("write", 5)))
                .listServers(2);
        for (int id = 1; id <= 8; id++) {
            script.submit(id, "write");
        }
        long sick = script.lastServerOf(1);
        List<Long> there = script.actionsOfType("startAttempt").stream()
                .filter(a -> a.endpoint() == sick)
                .map(ScriptedBalancer.Action::request)
                .toList();
        assertTrue(there.size() >= 3, "calls at one server: " + there);
        for (long id = 1; id <= 8; id++) {
            script.endAttempt(id, 0, there.contains(id) ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK, 3 * SECOND_US);
        }
        assertTrue(runUntilTrial(script, 100, sick) < 1500 * MILLISECOND_US, "as if it had failed again and again");
    }

    /** Servers may drop it without a word, or end its connection; also before any answer has told what is usual. */
    @Test
    void requestWithVeryLittleTimeLeftEjectsNoServer() {
        for (AttemptOutcome silence : List.of(AttemptOutcome.TIMEOUT, AttemptOutcome.RESET)) {
            for (int known : new int[] {0, 40}) {
                ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(4);
                for (int id = 0; id < known; id++) {
                    script.submit(id, "read")
                            .advance(MILLISECOND_US)
                            .endAttempt(id, 0, AttemptOutcome.OK, MILLISECOND_US);
                }
                for (int left = 1; left <= 20; left++) {
                    int id = 100 + left;
                    script.submit(id, "read", null, -1, left * MILLISECOND_US).advance(left * MILLISECOND_US);
                    script.balancer.onAttemptEnded(script.now, id, 0, true, silence, 200 * MILLISECOND_US, null);
                }
                assertEquals(0, script.balancer.ejectedEndpoints(), silence + " after " + known);
                script.submit(200, "read")
                        .advance(3 * SECOND_US)
                        .endAttempt(200, 0, AttemptOutcome.TIMEOUT, 3 * SECOND_US);
                assertEquals(1, script.balancer.ejectedEndpoints(), "one that had its time does");
            }
        }
    }
}

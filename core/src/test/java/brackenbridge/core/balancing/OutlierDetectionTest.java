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

/** Tests the ejection of servers, the trials that end it, and the limit on attempts. */
class OutlierDetectionTest {
    @Test
    void serverThatFailsFastIsEjected() {
        // A server that fails fast frees its slot at once and would attract all queued requests.
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(4);
        int failures = 0;
        for (int i = 0; i < 200; i++) {
            script.submit(i, "read").advance(2 * MILLISECOND_US);
            while (script.lastServerOf(i) == 3
                    && script.attempts.get((long) i) <= 2
                    && !script.requestsOfType("reject").contains((long) i)) {
                failures++;
                script.endAttempt(i, script.attempts.get((long) i) - 1, AttemptOutcome.ERROR, 2 * MILLISECOND_US);
            }
            if (!script.requestsOfType("reject").contains((long) i)) {
                script.endAttempt(i, script.attempts.get((long) i) - 1, AttemptOutcome.OK, 2 * MILLISECOND_US);
            }
        }
        assertTrue(failures >= 1 && failures < 12, "failed attempts: " + failures);
    }

    @Test
    void serverThatFailsOneClassIsAvoidedByThatClassAlone() {
        ScriptedBalancer script = new ScriptedBalancer(
                        settings(nonIdempotentClass("sign", 1), nonIdempotentClass("file", 1)))
                .listServers(5);
        int failed = 0;
        int otherClassAttempts = 0;
        for (int i = 0; i < 400; i++) {
            String name = i % 7 % 2 == 0 ? "sign" : "file";
            script.submit(i, name).advance(20 * MILLISECOND_US);
            boolean fails = name.equals("sign") && script.lastServerOf(i) == 3;
            failed += fails ? 1 : 0;
            otherClassAttempts += name.equals("file") && script.lastServerOf(i) == 3 ? 1 : 0;
            script.endAttempt(i, 0, fails ? AttemptOutcome.ERROR : AttemptOutcome.OK, 20 * MILLISECOND_US);
        }
        assertTrue(failed >= 2 && failed < 8, "failed requests: " + failed);
        assertTrue(otherClassAttempts > 15, "attempts of the other class at the server: " + otherClassAttempts);
    }

    @Test
    void serverThatLosesHalfOfItsResponsesIsEjectedLongerEachTime() {
        ScriptedBalancer script = new ScriptedBalancer(settings(nonIdempotentClass("file", 1))).listServers(5);
        int lost = 0;
        int attempts = 0;
        for (int i = 0; i < 1000; i++) {
            script.submit(i, "file").advance(20 * MILLISECOND_US);
            boolean loses = script.lastServerOf(i) == 3 && ++attempts % 2 == 0;
            lost += loses ? 1 : 0;
            script.endAttempt(i, 0, loses ? AttemptOutcome.RESET : AttemptOutcome.OK, 20 * MILLISECOND_US);
        }
        assertTrue(lost < 12, "responses lost of " + attempts + ": " + lost);
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
        assertEquals(1, served, "the only server gets no trial");
    }

    @Test
    void ejectedServerAmongOthersGetsTrialEvenIfOnlyNonIdempotentRequestsArrive() {
        ScriptedBalancer script = new ScriptedBalancer(
                        settings(idempotentClass("read", 1), nonIdempotentClass("write", 5)))
                .listServers(4);
        script.submit(1, "write");
        long failing = script.lastServerOf(1);
        script.endAttempt(1, 0, AttemptOutcome.TIMEOUT, MILLISECOND_US);
        boolean triedAgain = false;
        for (long id = 2; id < 400 && !triedAgain; id++) {
            script.submit(id, "write")
                    .advance(20 * MILLISECOND_US)
                    .endAttempt(id, 0, AttemptOutcome.OK, 20 * MILLISECOND_US);
            triedAgain = script.lastServerOf(id) == failing;
        }
        assertTrue(triedAgain, "the ejected server gets no trial");
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
        assertEquals(List.of(1L), script.requestsOfType("reject"), "rejected at once after the last attempt");
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
            long failing = script.lastServerOf(id);
            script.endAttempt(id++, 0, AttemptOutcome.TIMEOUT, 1000);
            script.sendList(
                            EndpointListKind.CHANGES,
                            ScriptedBalancer.endpoint(failing, "here", 0, EndpointState.REMOVED),
                            ScriptedBalancer.endpointUp(100 + round, 1))
                    .advance(2 * ScriptedBalancer.SECOND_US);
        }
        script.submit(id, "file");
        long failing = script.lastServerOf(id);
        script.endAttempt(id++, 0, AttemptOutcome.TIMEOUT, 1000);
        for (int i = 0; i < 6; i++) {
            script.submit(id, "file");
            assertNotEquals(failing, script.lastServerOf(id), "a server that has just failed is still ejected");
            script.endAttempt(id++, 0, AttemptOutcome.OK, 1000);
        }
    }

    /** A slow server needs relief as much as a silent one, whatever it answered meanwhile. */
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

    /** Sends requests until one goes to this server, and returns how long that took. */
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
        long failing = script.lastServerOf(1);
        script.endAttempt(1, 0, AttemptOutcome.CONNECT_FAILED, MILLISECOND_US);
        runUntilTrial(script, 100, failing);
        long trial = script.actions.get(script.actions.size() - 1).request();
        script.balancer.onClientDisconnected(script.now, trial);
        script.endAttempt(trial, 0, AttemptOutcome.CANCELLED, MILLISECOND_US);
        assertTrue(runUntilTrial(script, 10_000, failing) < SECOND_US, "no further trial within a second");
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
        long failing = script.lastServerOf(1);
        List<Long> atFailing = script.actionsOfType("startAttempt").stream()
                .filter(a -> a.endpoint() == failing)
                .map(ScriptedBalancer.Action::request)
                .toList();
        assertTrue(atFailing.size() >= 3, "requests at one server: " + atFailing);
        for (long id = 1; id <= 8; id++) {
            script.endAttempt(
                    id, 0, atFailing.contains(id) ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK, 3 * SECOND_US);
        }
        assertTrue(
                runUntilTrial(script, 100, failing) < 1500 * MILLISECOND_US,
                "ejected as long as after several failures");
    }

    /**
     * Servers may drop such a request silently or close its connection, whether or not response times have been
     * measured yet.
     */
    @Test
    void requestWithVeryLittleTimeLeftEjectsNoServer() {
        for (AttemptOutcome outcome : List.of(AttemptOutcome.TIMEOUT, AttemptOutcome.RESET)) {
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
                    script.balancer.onAttemptEnded(script.now, id, 0, true, outcome, 200 * MILLISECOND_US, null);
                }
                assertEquals(0, script.balancer.ejectedEndpoints(), outcome + " after " + known + " responses");
                script.submit(200, "read")
                        .advance(3 * SECOND_US)
                        .endAttempt(200, 0, AttemptOutcome.TIMEOUT, 3 * SECOND_US);
                assertEquals(
                        1, script.balancer.ejectedEndpoints(), "a timeout of a request that had enough time ejects");
            }
        }
    }
}

package brackenbridge.core.balancing;

import static brackenbridge.core.balancing.ScriptedBalancer.MILLISECOND_US;
import static brackenbridge.core.balancing.ScriptedBalancer.SECOND_US;
import static brackenbridge.core.balancing.ScriptedBalancer.idempotentClass;
import static brackenbridge.core.balancing.ScriptedBalancer.nonIdempotentClass;
import static brackenbridge.core.balancing.ScriptedBalancer.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the admission limit of {@link AdmissionControl} by scripted events. */
class AdmissionControlTest {
    /** Returns how many requests of a burst of 300 of this class are admitted. */
    private static int countAdmitted(String name) {
        ScriptedBalancer script = new ScriptedBalancer(
                        settings(nonIdempotentClass("low", 1), nonIdempotentClass("high", 9)))
                .listServers(4);
        for (int i = 0; i < 200; i++) {
            script.submit(i, "high")
                    .advance(10 * MILLISECOND_US)
                    .endAttempt(i, 0, AttemptOutcome.OK, 10 * MILLISECOND_US);
        }
        for (int i = 200; i < 500; i++) {
            script.submit(i, name);
        }
        return 300 - script.actionsOfType("reject").size();
    }

    @Test
    void leastUrgentClassHasLowerAdmissionLimit() {
        int low = countAdmitted("low");
        int high = countAdmitted("high");
        assertTrue(low > 0 && low * 2 < high, "admitted: " + low + " low, " + high + " high");
    }

    @Test
    void requestsBeyondAdmissionLimitAreRejectedOnArrival() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(1);
        for (int i = 0; i < 30; i++) {
            script.submit(i, "read");
        }
        assertTrue(
                script.actionsOfType("reject").size() > 10,
                "rejected: " + script.actionsOfType("reject").size());
        assertTrue(script.actionsOfType("reject").stream().allMatch(a -> a.at() == script.now));
    }

    @Test
    void nodeWithoutResponsesKeepsFewRequestsOpen() {
        // Incident i3bf34e: a floor of a few open requests at each of very many instances overloaded a fleet that had
        // slowed down.
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1)))
                .listServers(9)
                .submit(100, "read");
        script.balancer.onClientDisconnected(script.now, 100);
        script.advance(2 * SECOND_US);
        for (int i = 0; i < 9; i++) {
            script.submit(i, "read");
        }
        assertEquals(1 + 2, script.actionsOfType("startAttempt").size());
        assertEquals(7, script.actionsOfType("reject").size());
    }

    /**
     * Sends one request at a time, waits, and returns how many requests of a following burst are rejected on arrival.
     */
    private static int rejectedAfterIdle(long idleTime, boolean requestOpen) {
        ScriptedBalancer script =
                new ScriptedBalancer(settings(idempotentClass("low", 1), nonIdempotentClass("high", 9))).listServers(9);
        for (int i = 0; i < 40; i++) {
            script.submit(i, "high")
                    .advance(50 * MILLISECOND_US)
                    .endAttempt(i, 0, AttemptOutcome.OK, 50 * MILLISECOND_US);
        }
        if (requestOpen) {
            script.submit(90, "high", null, -1, 60 * SECOND_US);
        }
        script.advance(idleTime);
        int before = script.actionsOfType("reject").size();
        for (int i = 100; i < 109; i++) {
            script.submit(i, "low");
        }
        return script.actionsOfType("reject").size() - before;
    }

    @Test
    void idleTimeKeepsResponseRate() {
        assertEquals(0, rejectedAfterIdle(0, false));
        for (long idle : new long[] {SECOND_US, 12 * SECOND_US, 3600 * SECOND_US}) {
            assertEquals(0, rejectedAfterIdle(idle, false), "idle time in microseconds: " + idle);
        }
    }

    /** The node is not idle: one request stays in flight and gets no response. */
    @Test
    void responseRateFallsWhileAnOpenRequestGetsNoResponse() {
        int rejected = rejectedAfterIdle(12 * SECOND_US, true);
        assertTrue(rejected >= 7, "rejected of 9: " + rejected);
    }

    @Test
    void highWeightClassWithShortObjectiveHasSameAdmissionLimit() {
        // Run nav-lund rough-1: with each class's own tau in A, the class with the highest weight was rejected first
        // because of its short objective.
        RequestClass highWeight = new RequestClass(
                "high",
                400 * MILLISECOND_US,
                3 * SECOND_US,
                Idempotence.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false,
                9,
                0);
        ScriptedBalancer script =
                new ScriptedBalancer(settings(nonIdempotentClass("low", 1), highWeight)).listServers(9);
        int id = 0;
        for (int i = 0; i < 150; i++) {
            script.submit(++id, "low")
                    .advance(20 * MILLISECOND_US)
                    .endAttempt(id, 0, AttemptOutcome.OK, 20 * MILLISECOND_US);
        }
        for (int i = 0; i < 42; i++) {
            script.submit(++id, "low");
        }
        int rejected = script.actionsOfType("reject").size();
        script.submit(++id, "high");
        assertEquals(rejected, script.actionsOfType("reject").size());
    }

    /**
     * When servers slow down, requests that can wait long must not pile up beyond the objective of those that can't.
     */
    @Test
    void requestsThatCanWaitYieldToThoseNearTheirObjective() {
        RequestClass shortObjective = nonIdempotentClass("short", 600 * MILLISECOND_US, 5);
        RequestClass longObjective = nonIdempotentClass("long", 8 * SECOND_US, 5);
        ScriptedBalancer script = new ScriptedBalancer(settings(shortObjective, longObjective)).listServers(40);
        long id = 0;
        for (int i = 0; i < 400; i++) {
            // 100 ms at first, then 300 ms; 100 responses per second all the time.
            long latency = i < 200 ? 100 * MILLISECOND_US : 300 * MILLISECOND_US;
            script.submit(++id, i % 2 == 0 ? "short" : "long")
                    .endAttempt(id, 0, AttemptOutcome.OK, latency)
                    .advance(10 * MILLISECOND_US);
        }
        int before = script.actionsOfType("reject").size();
        for (int i = 0; i < 400; i++) {
            script.submit(++id, "long");
        }
        int admitted = 400 - (script.actionsOfType("reject").size() - before);
        assertTrue(admitted > 10 && admitted <= 60, "at most what 100 responses/s allow in 600 ms: " + admitted);
    }
}

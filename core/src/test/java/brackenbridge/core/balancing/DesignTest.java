package brackenbridge.core.balancing;

import static brackenbridge.core.balancing.Script.MILLISECOND_US;
import static brackenbridge.core.balancing.Script.SECOND_US;
import static brackenbridge.core.balancing.Script.safe;
import static brackenbridge.core.balancing.Script.settings;
import static brackenbridge.core.balancing.Script.unsafe;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Each step of the paper's controller, by name. */
class DesignTest {

    @Test
    void roundRobinIsEvenOverEqualServers() {
        Script script = new Script(settings(safe("read", 1))).servers(4);
        Map<Long, Integer> turns = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            script.ask(i, "read").pass(MILLISECOND_US).answer(i, 0, AttemptOutcome.OK, MILLISECOND_US);
            turns.merge(script.target(i), 1, Integer::sum);
        }
        assertEquals(4, turns.size());
        turns.values().forEach(n -> assertTrue(n >= 95 && n <= 105, turns::toString));
    }

    @Test
    void roundRobinFollowsListedWeights() {
        Script script =
                new Script(settings(safe("read", 1))).list(EndpointListKind.CACHED, Script.up(1, 1), Script.up(2, 3));
        int heavy = 0;
        for (int i = 0; i < 400; i++) {
            script.ask(i, "read").pass(MILLISECOND_US).answer(i, 0, AttemptOutcome.OK, MILLISECOND_US);
            heavy += script.target(i) == 2 ? 1 : 0;
        }
        assertTrue(heavy >= 290 && heavy <= 310, "turns of the server of weight 3: " + heavy);
    }

    /** Lists may tell capacities roughly or wrongly. */
    @Test
    void slowServerIsChosenByItsMeasuredRate() {
        Script script =
                new Script(settings(safe("read", 1))).servers(5).list(EndpointListKind.CHANGES, Script.up(6, 2));
        int heavy = 0;
        for (int i = 0; i < 600; i++) {
            script.ask(i, "read");
            long took = script.target(i) == 6 ? 40 * MILLISECOND_US : 10 * MILLISECOND_US;
            script.pass(took).answer(i, 0, AttemptOutcome.OK, took);
            heavy += i >= 200 && script.target(i) == 6 ? 1 : 0;
        }
        assertTrue(heavy > 0 && heavy < 60, "turns of 400, which would be 114 by its weight: " + heavy);
    }

    @Test
    void clientRetryMarksChangeNoDecision() {
        List<List<Script.Action>> acts = new ArrayList<>();
        for (boolean marked : new boolean[] {false, true}) {
            Script script = new Script(settings(safe("read", 1), unsafe("write", 5))).servers(2);
            for (int i = 0; i < 40; i++) {
                script.balancer.onRequest(
                        script.now,
                        new BalancerRequest(i, i % 3 == 0 ? "write" : "read", null, -1, SECOND_US, -1, marked));
                script.pass(10 * MILLISECOND_US);
            }
            acts.add(script.actions);
        }
        assertTrue(acts.get(0).size() > 20);
        assertEquals(acts.get(0), acts.get(1));
    }

    @Test
    void oneRequestIsInFlightPerServerAndTheRestAreQueued() {
        Script script = new Script(settings(safe("read", 1))).servers(3);
        for (int i = 0; i < 8; i++) {
            script.ask(i, "read");
        }
        assertEquals(
                3,
                script.of("send").stream()
                        .map(Script.Action::endpoint)
                        .distinct()
                        .count());
        assertEquals(3, script.of("send").size());
        script.pass(MILLISECOND_US).answer(0, 0, AttemptOutcome.OK, MILLISECOND_US);
        assertEquals(4, script.of("send").size());
        assertEquals(script.target(0), script.of("send").get(3).endpoint());
    }

    @Test
    void fewNodesMayHaveMoreThanOneInFlight() {
        Script script = new Script(settings(1, false, List.of(), safe("read", 1))).servers(2);
        for (int i = 0; i < 8; i++) {
            script.ask(i, "read");
        }
        assertEquals(8, script.of("send").size());
    }

    @Test
    void urgentRequestsAreSentBeforeLessUrgentOnesUnderOverload() {
        Script script = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(1);
        script.ask(1, "low").pass(400 * MILLISECOND_US).answer(1, 0, AttemptOutcome.OK, 400 * MILLISECOND_US);
        script.ask(2, "low");
        script.ask(3, "low").ask(4, "high").ask(5, "high").pass(300 * MILLISECOND_US);
        // 2 x 400 ms for the high level, 3 x 400 ms with the low one: over 0.9 s, so a high call goes.
        script.answer(2, 0, AttemptOutcome.OK, 300 * MILLISECOND_US);
        assertEquals(4, script.of("send").get(2).request());
    }

    @Test
    void oldestRequestIsSentFirstWhereAllLevelsQualify() {
        Script script = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(1);
        script.ask(1, "low").pass(10 * MILLISECOND_US).answer(1, 0, AttemptOutcome.OK, 10 * MILLISECOND_US);
        script.ask(2, "low")
                .ask(3, "low")
                .pass(MILLISECOND_US)
                .ask(4, "high")
                .pass(10 * MILLISECOND_US)
                .answer(2, 0, AttemptOutcome.OK, 10 * MILLISECOND_US);
        assertEquals(3, script.of("send").get(2).request());
    }

    @Test
    void nearestDeadlineOfHigherLevelDelaysOlderRequests() {
        Script script = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(1);
        script.ask(1, "low").pass(100 * MILLISECOND_US).answer(1, 0, AttemptOutcome.OK, 100 * MILLISECOND_US);
        script.ask(2, "low")
                .ask(3, "low")
                .pass(MILLISECOND_US)
                .ask(4, "high", null, -1, 250 * MILLISECOND_US)
                .pass(100 * MILLISECOND_US);
        // Two of 100 ms are well within the low call's second, but not within the 150 ms that the high one has left.
        script.answer(2, 0, AttemptOutcome.OK, 100 * MILLISECOND_US);
        assertEquals(4, script.of("send").get(2).request());
    }

    private static int roomFor(String name) {
        Script script = new Script(settings(unsafe("low", 1), unsafe("high", 9))).servers(4);
        for (int i = 0; i < 200; i++) {
            script.ask(i, "high").pass(10 * MILLISECOND_US).answer(i, 0, AttemptOutcome.OK, 10 * MILLISECOND_US);
        }
        for (int i = 200; i < 500; i++) {
            script.ask(i, name);
        }
        return 300 - script.of("refuse").size();
    }

    @Test
    void leastUrgentRequestsHaveALittleLessRoom() {
        int low = roomFor("low");
        int high = roomFor("high");
        assertTrue(low > 0 && low * 2 < high, low + " low calls open, " + high + " high ones");
    }

    @Test
    void lateRequestsAreRejectedWithRetryAfter() {
        Script script = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(1);
        script.ask(1, "low").pass(500 * MILLISECOND_US).answer(1, 0, AttemptOutcome.OK, 500 * MILLISECOND_US);
        script.ask(2, "low")
                .ask(3, "low")
                .pass(450 * MILLISECOND_US)
                .answer(2, 0, AttemptOutcome.OK, 450 * MILLISECOND_US);
        // Measured and queued time together are past tau f of the low class.
        assertEquals(List.of(3L), script.requests("refuse"));
        assertTrue(script.of("refuse").get(0).amount() > 0);
        assertEquals(2, script.of("send").size());
    }

    @Test
    void rejectionsBeforeFirstResponseHaveRetryAfter() {
        Script script = new Script(settings(safe("read", 1))).list(EndpointListKind.CACHED);
        script.ask(1, "read").pass(5 * SECOND_US);
        long after = script.of("refuse").get(0).amount();
        assertTrue(after > 0 && after <= 2 * SECOND_US, "retry-after: " + after);
        Script untold = new Script(new BalancerSettings(
                7,
                0,
                6,
                0,
                "here",
                List.of(safe("read", 1)),
                List.of(),
                0.1,
                false,
                10 * SECOND_US,
                4,
                20000,
                0,
                true,
                false,
                true,
                15 * SECOND_US,
                0.2,
                20 * SECOND_US,
                NetworkSettings.DEFAULT));
        untold.list(EndpointListKind.CACHED).ask(1, "read").pass(5 * SECOND_US);
        assertEquals(0, untold.of("refuse").get(0).amount(), "no advice where clients heed none");
    }

    @Test
    void topLevelIsExemptFromLatenessCheck() {
        Script script = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(1);
        script.ask(1, "high").pass(1500 * MILLISECOND_US).answer(1, 0, AttemptOutcome.OK, 1500 * MILLISECOND_US);
        script.ask(2, "high")
                .ask(3, "high")
                .pass(1200 * MILLISECOND_US)
                .answer(2, 0, AttemptOutcome.OK, 1200 * MILLISECOND_US);
        assertEquals(List.of(1L, 2L, 3L), script.requests("send"));
    }

    @Test
    void tokenBucketLiftsTenantRequestToTopLevel() {
        TenantShare tenant = new TenantShare("t", 0.5, 96);
        Script script = new Script(settings(6, false, List.of(tenant), safe("low", 1), unsafe("high", 9))).servers(1);
        script.ask(1, "high", null, -1, SECOND_US);
        script.pass(400 * MILLISECOND_US).answer(1, 0, AttemptOutcome.OK, 400 * MILLISECOND_US);
        script.ask(2, "high", null, -1, 5 * SECOND_US)
                .ask(3, "low", "t", -1, 3 * SECOND_US)
                .pass(950 * MILLISECOND_US);
        script.answer(2, 0, AttemptOutcome.OK, 950 * MILLISECOND_US);
        // Lifted, the low call is exempt from the late test that would have dropped it.
        assertEquals(List.of(1L, 2L, 3L), script.requests("send"));
        script.ask(4, "low", "t", -1, 3 * SECOND_US)
                .pass(950 * MILLISECOND_US)
                .answer(3, 0, AttemptOutcome.OK, 950 * MILLISECOND_US);
        assertTrue(script.requests("refuse").contains(4L), "the bucket was empty");
    }

    @Test
    void requestsBeyondAdmissionLimitAreRejectedOnArrival() {
        Script script = new Script(settings(safe("read", 1))).servers(1);
        for (int i = 0; i < 30; i++) {
            script.ask(i, "read");
        }
        assertTrue(
                script.of("refuse").size() > 10,
                "refused: " + script.of("refuse").size());
        assertTrue(script.of("refuse").stream().allMatch(a -> a.at() == script.now));
    }

    @Test
    void nodeWithoutResponsesKeepsFewRequestsOpen() {
        // Incident i3bf34e: a floor of a few calls at each of very many callers jammed a slowed fleet.
        Script script = new Script(settings(safe("read", 1))).servers(9).ask(100, "read");
        script.balancer.onClientDisconnected(script.now, 100);
        script.pass(2 * SECOND_US);
        for (int i = 0; i < 9; i++) {
            script.ask(i, "read");
        }
        assertEquals(1 + 2, script.of("send").size());
        assertEquals(7, script.of("refuse").size());
    }

    /** Calls of a burst that are refused on arrival, after a while with one call at a time and an idle time. */
    private static int rejectedAfterIdle(long idle, boolean openMeanwhile) {
        Script script = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(9);
        for (int i = 0; i < 40; i++) {
            script.ask(i, "high").pass(50 * MILLISECOND_US).answer(i, 0, AttemptOutcome.OK, 50 * MILLISECOND_US);
        }
        if (openMeanwhile) {
            script.ask(90, "high", null, -1, 60 * SECOND_US);
        }
        script.pass(idle);
        int before = script.of("refuse").size();
        for (int i = 100; i < 109; i++) {
            script.ask(i, "low");
        }
        return script.of("refuse").size() - before;
    }

    @Test
    void idleTimeKeepsResponseRate() {
        assertEquals(0, rejectedAfterIdle(0, false));
        for (long idle : new long[] {SECOND_US, 12 * SECOND_US, 3600 * SECOND_US}) {
            assertEquals(0, rejectedAfterIdle(idle, false), "after idle microseconds: " + idle);
        }
    }

    /** Not idle: a call is out all the time and no server answers it. */
    @Test
    void responseRateFallsWhileAnOpenRequestGetsNoResponse() {
        int refused = rejectedAfterIdle(12 * SECOND_US, true);
        assertTrue(refused >= 7, "refused of 9: " + refused);
    }

    @Test
    void windowWidensWhereRequestsWaitAlthoughFleetHasCapacity() {
        // Incident i98a42f: one of a few callers had most of the traffic and refused a third beside idle servers.
        Script script = new Script(settings(safe("read", 1))).servers(2);
        for (int i = 0; i < 60; i++) {
            script.ask(i, "read").pass(20 * MILLISECOND_US).answer(i, 0, AttemptOutcome.OK, 20 * MILLISECOND_US);
        }
        for (int i = 100; i < 108; i++) {
            script.ask(i, "read");
        }
        int before = script.of("send").size();
        script.pass(600 * MILLISECOND_US);
        assertTrue(script.of("send").size() > before, "nothing has ended, yet more is in flight");
    }

    /** Servers that get the calls of those taken out as well choke, and the node takes them out next. */
    @Test
    void windowDoesNotWidenWhileAThirdOfServersIsEjected() {
        for (int out : new int[] {0, 1}) {
            Script script = new Script(settings(safe("read", 1))).servers(3);
            for (int i = 0; i < 60; i++) {
                script.ask(i, "read").pass(20 * MILLISECOND_US).answer(i, 0, AttemptOutcome.OK, 20 * MILLISECOND_US);
            }
            if (out > 0) {
                script.ask(90, "read")
                        .answer(90, 0, AttemptOutcome.CONNECT_FAILED, MILLISECOND_US)
                        .answer(90, 1, AttemptOutcome.OK, MILLISECOND_US);
            }
            assertEquals(out, script.balancer.ejectedEndpoints());
            for (int i = 100; i < 112; i++) {
                script.ask(i, "read");
            }
            int before = script.of("send").size();
            script.pass(300 * MILLISECOND_US);
            assertEquals(out == 0, script.of("send").size() > before);
        }
    }

    @Test
    void heavyClassWithShortObjectiveHasSameAdmissionLimit() {
        // nav-lund rough-1: with each class's own tau in A, the dearest class was refused first for its short aim.
        RequestClass dear = new RequestClass(
                "dear",
                400 * MILLISECOND_US,
                3 * SECOND_US,
                Idempotence.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false,
                9,
                0);
        Script script = new Script(settings(unsafe("cheap", 1), dear)).servers(9);
        int id = 0;
        for (int i = 0; i < 150; i++) {
            script.ask(++id, "cheap").pass(20 * MILLISECOND_US).answer(id, 0, AttemptOutcome.OK, 20 * MILLISECOND_US);
        }
        for (int i = 0; i < 42; i++) {
            script.ask(++id, "cheap");
        }
        int refused = script.of("refuse").size();
        script.ask(++id, "dear");
        assertEquals(refused, script.of("refuse").size());
    }

    @Test
    void coldServerGetsItsShareAndTakesOverNothing() {
        // coldFrom is 0.2 here: a server that has just started gets about a fifth of a warm one's turns.
        Script script = new Script(settings(safe("read", 1))).servers(4);
        script.list(EndpointListKind.CHANGES, Script.at(9, "here", script.now, EndpointState.UP));
        int cold = 0;
        for (int i = 0; i < 420; i++) {
            script.ask(i, "read").pass(MILLISECOND_US).answer(i, 0, AttemptOutcome.OK, MILLISECOND_US);
            cold += script.target(i) == 9 ? 1 : 0;
        }
        assertTrue(cold >= 14 && cold <= 28, "turns of the cold server: " + cold);
    }

    @Test
    void drainingServerGetsNoNewRequestsAndItsQueueMoves() {
        Script script = new Script(settings(safe("read", 1))).servers(2);
        for (int i = 0; i < 6; i++) {
            script.ask(i, "read");
        }
        script.list(EndpointListKind.CHANGES, Script.at(1, "here", 0, EndpointState.DRAINING));
        script.pass(MILLISECOND_US);
        for (int i = 0; i < 6; i++) {
            long id = script.of("send").get(i).request();
            script.answer(id, 0, AttemptOutcome.OK, MILLISECOND_US);
            script.pass(MILLISECOND_US);
        }
        assertEquals(6, script.of("send").size());
        assertEquals(
                1, script.of("send").stream().filter(a -> a.endpoint() == 1).count());
    }

    /** The calls of a server that leaves make the reach grow; the servers that join take over from those that wait. */
    @Test
    void requestTakenOverWhileItsQueueMovesIsSentOnce() {
        Script script = new Script(settings(30, false, List.of(), safe("read", 1))).servers(1);
        for (int i = 0; i < 300; i++) {
            script.ask(i, "read").pass(10 * MILLISECOND_US).answer(i, 0, AttemptOutcome.OK, 10 * MILLISECOND_US);
        }
        for (int i = 300; i < 325; i++) {
            script.ask(i, "read");
        }
        assertEquals(301, script.of("send").size(), "one of 25 is out, the others wait");
        List<Endpoint> next = new ArrayList<>();
        next.add(Script.at(1, "here", 0, EndpointState.DRAINING));
        for (int i = 2; i <= 21; i++) {
            next.add(Script.up(i, 1));
        }
        script.list(EndpointListKind.CHANGES, next.toArray(new Endpoint[0]));
        assertEquals(321, script.of("send").size(), "each of the 20 that joined has one");
        script.pass(MILLISECOND_US);
        for (long i : script.requests("send").subList(301, 309)) {
            script.answer(i, 0, AttemptOutcome.OK, MILLISECOND_US);
        }
        for (long i = 300; i < 325; i++) {
            assertEquals(1, script.attempts.getOrDefault(i, 0), "attempts at once of call " + i);
        }
    }

    @Test
    void freeServerTakesOverOldestRequestQueuedElsewhere() {
        Script script = new Script(settings(safe("read", 1))).servers(2);
        for (int i = 1; i <= 4; i++) {
            script.ask(i, "read");
        }
        script.pass(MILLISECOND_US);
        // Whichever server answers goes on to answer both calls that wait, the older first.
        script.answer(1, 0, AttemptOutcome.OK, MILLISECOND_US);
        long third = script.of("send").get(2).request();
        script.pass(MILLISECOND_US).answer(third, 0, AttemptOutcome.OK, MILLISECOND_US);
        assertEquals(4, script.of("send").size());
        assertEquals(script.target(1), script.of("send").get(3).endpoint());
    }

    @Test
    void requestsWithoutServerAreQueuedAndRejectedInTime() {
        Script script = new Script(settings(safe("read", 1), unsafe("write", 5))).list(EndpointListKind.CACHED);
        script.ask(1, "read").ask(2, "write", null, -1, 300 * MILLISECOND_US).pass(5 * SECOND_US);
        assertEquals(List.of(2L, 1L), script.requests("refuse"));
        assertTrue(script.of("refuse").get(0).at() <= 1_000_000_000L + 300 * MILLISECOND_US);
        assertTrue(script.of("send").isEmpty());
    }

    @Test
    void requestsWithoutServerAreQueuedUntilOneIsListed() {
        Script script = new Script(settings(safe("read", 1))).list(EndpointListKind.CACHED);
        script.ask(1, "read").pass(200 * MILLISECOND_US).list(EndpointListKind.CHANGES, Script.up(9, 1));
        assertEquals(9, script.target(1));
    }

    @Test
    void contradictingSettingsAndUnknownClassesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> settings(6, false, List.of()));
        assertThrows(IllegalArgumentException.class, () -> settings(safe("read", 1), unsafe("read", 2)));
        assertThrows(IllegalArgumentException.class, () -> settings(0, false, List.of(), safe("read", 1)));
        Script script = new Script(settings(safe("read", 1))).servers(1);
        IllegalArgumentException exception = assertThrows(IllegalArgumentException.class, () -> script.ask(1, "other"));
        assertTrue(exception.getMessage().contains("other"));
    }

    /** Where servers have slowed, calls that can wait long must not pile up past the aim of those that can't. */
    @Test
    void requestsThatCanWaitYieldToThoseNearTheirObjective() {
        RequestClass brief = unsafe("brief", 600 * MILLISECOND_US, 5);
        RequestClass patient = unsafe("patient", 8 * SECOND_US, 5);
        Script script = new Script(settings(brief, patient)).servers(40);
        long id = 0;
        for (int i = 0; i < 400; i++) {
            // 100 ms at best, then 300 ms; 100 answers a second throughout.
            long latency = i < 200 ? 100 * MILLISECOND_US : 300 * MILLISECOND_US;
            script.ask(++id, i % 2 == 0 ? "brief" : "patient")
                    .answer(id, 0, AttemptOutcome.OK, latency)
                    .pass(10 * MILLISECOND_US);
        }
        int before = script.of("refuse").size();
        for (int i = 0; i < 400; i++) {
            script.ask(++id, "patient");
        }
        int let = 400 - (script.of("refuse").size() - before);
        assertTrue(let > 10 && let <= 60, "at 100 answers a second, as many as are done in 600 ms: " + let);
    }

    /** One that is slow needs rest as much as one that is silent, whatever it answered meanwhile. */
}

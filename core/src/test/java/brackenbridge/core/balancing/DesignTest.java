package brackenbridge.core.balancing;

import static brackenbridge.core.balancing.Script.MS;
import static brackenbridge.core.balancing.Script.SECOND;
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
        Script s = new Script(settings(safe("read", 1))).servers(4);
        Map<Long, Integer> turns = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            s.ask(i, "read").pass(MS).answer(i, 0, AttemptOutcome.OK, MS);
            turns.merge(s.target(i), 1, Integer::sum);
        }
        assertEquals(4, turns.size());
        turns.values().forEach(n -> assertTrue(n >= 95 && n <= 105, turns::toString));
    }

    @Test
    void roundRobinFollowsListedWeights() {
        Script s =
                new Script(settings(safe("read", 1))).list(EndpointListKind.CACHED, Script.up(1, 1), Script.up(2, 3));
        int heavy = 0;
        for (int i = 0; i < 400; i++) {
            s.ask(i, "read").pass(MS).answer(i, 0, AttemptOutcome.OK, MS);
            heavy += s.target(i) == 2 ? 1 : 0;
        }
        assertTrue(heavy >= 290 && heavy <= 310, "turns of the server of weight 3: " + heavy);
    }

    /** Lists may tell capacities roughly or wrongly. */
    @Test
    void slowServerIsChosenByItsMeasuredRate() {
        Script s = new Script(settings(safe("read", 1))).servers(5).list(EndpointListKind.CHANGES, Script.up(6, 2));
        int heavy = 0;
        for (int i = 0; i < 600; i++) {
            s.ask(i, "read");
            long took = s.target(i) == 6 ? 40 * MS : 10 * MS;
            s.pass(took).answer(i, 0, AttemptOutcome.OK, took);
            heavy += i >= 200 && s.target(i) == 6 ? 1 : 0;
        }
        assertTrue(heavy > 0 && heavy < 60, "turns of 400, which would be 114 by its weight: " + heavy);
    }

    @Test
    void clientRetryMarksChangeNoDecision() {
        List<List<Script.Act>> acts = new ArrayList<>();
        for (boolean marked : new boolean[] {false, true}) {
            Script s = new Script(settings(safe("read", 1), unsafe("write", 5))).servers(2);
            for (int i = 0; i < 40; i++) {
                s.balancer.onRequest(
                        s.now, new BalancerRequest(i, i % 3 == 0 ? "write" : "read", null, -1, SECOND, -1, marked));
                s.pass(10 * MS);
            }
            acts.add(s.acts);
        }
        assertTrue(acts.get(0).size() > 20);
        assertEquals(acts.get(0), acts.get(1));
    }

    @Test
    void oneRequestIsInFlightPerServerAndTheRestAreQueued() {
        Script s = new Script(settings(safe("read", 1))).servers(3);
        for (int i = 0; i < 8; i++) {
            s.ask(i, "read");
        }
        assertEquals(
                3, s.of("send").stream().map(Script.Act::endpoint).distinct().count());
        assertEquals(3, s.of("send").size());
        s.pass(MS).answer(0, 0, AttemptOutcome.OK, MS);
        assertEquals(4, s.of("send").size());
        assertEquals(s.target(0), s.of("send").get(3).endpoint());
    }

    @Test
    void fewNodesMayHaveMoreThanOneInFlight() {
        Script s = new Script(settings(1, false, List.of(), safe("read", 1))).servers(2);
        for (int i = 0; i < 8; i++) {
            s.ask(i, "read");
        }
        assertEquals(8, s.of("send").size());
    }

    @Test
    void urgentRequestsAreSentBeforeLessUrgentOnesUnderOverload() {
        Script s = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(1);
        s.ask(1, "low").pass(400 * MS).answer(1, 0, AttemptOutcome.OK, 400 * MS);
        s.ask(2, "low");
        s.ask(3, "low").ask(4, "high").ask(5, "high").pass(300 * MS);
        // 2 x 400 ms for the high level, 3 x 400 ms with the low one: over 0.9 s, so a high call goes.
        s.answer(2, 0, AttemptOutcome.OK, 300 * MS);
        assertEquals(4, s.of("send").get(2).request());
    }

    @Test
    void oldestRequestIsSentFirstWhereAllLevelsQualify() {
        Script s = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(1);
        s.ask(1, "low").pass(10 * MS).answer(1, 0, AttemptOutcome.OK, 10 * MS);
        s.ask(2, "low").ask(3, "low").pass(MS).ask(4, "high").pass(10 * MS).answer(2, 0, AttemptOutcome.OK, 10 * MS);
        assertEquals(3, s.of("send").get(2).request());
    }

    @Test
    void nearestDeadlineOfHigherLevelDelaysOlderRequests() {
        Script s = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(1);
        s.ask(1, "low").pass(100 * MS).answer(1, 0, AttemptOutcome.OK, 100 * MS);
        s.ask(2, "low")
                .ask(3, "low")
                .pass(MS)
                .ask(4, "high", null, -1, 250 * MS)
                .pass(100 * MS);
        // Two of 100 ms are well within the low call's second, but not within the 150 ms that the high one has left.
        s.answer(2, 0, AttemptOutcome.OK, 100 * MS);
        assertEquals(4, s.of("send").get(2).request());
    }

    private static int roomFor(String name) {
        Script s = new Script(settings(unsafe("low", 1), unsafe("high", 9))).servers(4);
        for (int i = 0; i < 200; i++) {
            s.ask(i, "high").pass(10 * MS).answer(i, 0, AttemptOutcome.OK, 10 * MS);
        }
        for (int i = 200; i < 500; i++) {
            s.ask(i, name);
        }
        return 300 - s.of("refuse").size();
    }

    @Test
    void leastUrgentRequestsHaveALittleLessRoom() {
        int low = roomFor("low");
        int high = roomFor("high");
        assertTrue(low > 0 && low * 2 < high, low + " low calls open, " + high + " high ones");
    }

    @Test
    void lateRequestsAreRejectedWithRetryAfter() {
        Script s = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(1);
        s.ask(1, "low").pass(500 * MS).answer(1, 0, AttemptOutcome.OK, 500 * MS);
        s.ask(2, "low").ask(3, "low").pass(450 * MS).answer(2, 0, AttemptOutcome.OK, 450 * MS);
        // Measured and queued time together are past tau f of the low class.
        assertEquals(List.of(3L), s.requests("refuse"));
        assertTrue(s.of("refuse").get(0).amount() > 0);
        assertEquals(2, s.of("send").size());
    }

    @Test
    void rejectionsBeforeFirstResponseHaveRetryAfter() {
        Script s = new Script(settings(safe("read", 1))).list(EndpointListKind.CACHED);
        s.ask(1, "read").pass(5 * SECOND);
        long after = s.of("refuse").get(0).amount();
        assertTrue(after > 0 && after <= 2 * SECOND, "retry-after: " + after);
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
                10 * SECOND,
                4,
                20000,
                0,
                true,
                false,
                true,
                15 * SECOND,
                0.2,
                20 * SECOND,
                NetworkSettings.DEFAULT));
        untold.list(EndpointListKind.CACHED).ask(1, "read").pass(5 * SECOND);
        assertEquals(0, untold.of("refuse").get(0).amount(), "no advice where clients heed none");
    }

    @Test
    void topLevelIsExemptFromLatenessCheck() {
        Script s = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(1);
        s.ask(1, "high").pass(1500 * MS).answer(1, 0, AttemptOutcome.OK, 1500 * MS);
        s.ask(2, "high").ask(3, "high").pass(1200 * MS).answer(2, 0, AttemptOutcome.OK, 1200 * MS);
        assertEquals(List.of(1L, 2L, 3L), s.requests("send"));
    }

    @Test
    void tokenBucketLiftsTenantRequestToTopLevel() {
        TenantShare t = new TenantShare("t", 0.5, 96);
        Script s = new Script(settings(6, false, List.of(t), safe("low", 1), unsafe("high", 9))).servers(1);
        s.ask(1, "high", null, -1, SECOND);
        s.pass(400 * MS).answer(1, 0, AttemptOutcome.OK, 400 * MS);
        s.ask(2, "high", null, -1, 5 * SECOND)
                .ask(3, "low", "t", -1, 3 * SECOND)
                .pass(950 * MS);
        s.answer(2, 0, AttemptOutcome.OK, 950 * MS);
        // Lifted, the low call is exempt from the late test that would have dropped it.
        assertEquals(List.of(1L, 2L, 3L), s.requests("send"));
        s.ask(4, "low", "t", -1, 3 * SECOND).pass(950 * MS).answer(3, 0, AttemptOutcome.OK, 950 * MS);
        assertTrue(s.requests("refuse").contains(4L), "the bucket was empty");
    }

    @Test
    void requestsBeyondAdmissionLimitAreRejectedOnArrival() {
        Script s = new Script(settings(safe("read", 1))).servers(1);
        for (int i = 0; i < 30; i++) {
            s.ask(i, "read");
        }
        assertTrue(s.of("refuse").size() > 10, "refused: " + s.of("refuse").size());
        assertTrue(s.of("refuse").stream().allMatch(a -> a.at() == s.now));
    }

    @Test
    void nodeWithoutResponsesKeepsFewRequestsOpen() {
        // Incident i3bf34e: a floor of a few calls at each of very many callers jammed a slowed fleet.
        Script s = new Script(settings(safe("read", 1))).servers(9).ask(100, "read");
        s.balancer.onClientDisconnected(s.now, 100);
        s.pass(2 * SECOND);
        for (int i = 0; i < 9; i++) {
            s.ask(i, "read");
        }
        assertEquals(1 + 2, s.of("send").size());
        assertEquals(7, s.of("refuse").size());
    }

    /** Calls of a burst that are refused on arrival, after a while with one call at a time and an idle time. */
    private static int rejectedAfterIdle(long idle, boolean openMeanwhile) {
        Script s = new Script(settings(safe("low", 1), unsafe("high", 9))).servers(9);
        for (int i = 0; i < 40; i++) {
            s.ask(i, "high").pass(50 * MS).answer(i, 0, AttemptOutcome.OK, 50 * MS);
        }
        if (openMeanwhile) {
            s.ask(90, "high", null, -1, 60 * SECOND);
        }
        s.pass(idle);
        int before = s.of("refuse").size();
        for (int i = 100; i < 109; i++) {
            s.ask(i, "low");
        }
        return s.of("refuse").size() - before;
    }

    @Test
    void idleTimeKeepsResponseRate() {
        assertEquals(0, rejectedAfterIdle(0, false));
        for (long idle : new long[] {SECOND, 12 * SECOND, 3600 * SECOND}) {
            assertEquals(0, rejectedAfterIdle(idle, false), "after idle microseconds: " + idle);
        }
    }

    /** Not idle: a call is out all the time and no server answers it. */
    @Test
    void responseRateFallsWhileAnOpenRequestGetsNoResponse() {
        int refused = rejectedAfterIdle(12 * SECOND, true);
        assertTrue(refused >= 7, "refused of 9: " + refused);
    }

    @Test
    void windowWidensWhereRequestsWaitAlthoughFleetHasCapacity() {
        // Incident i98a42f: one of a few callers had most of the traffic and refused a third beside idle servers.
        Script s = new Script(settings(safe("read", 1))).servers(2);
        for (int i = 0; i < 60; i++) {
            s.ask(i, "read").pass(20 * MS).answer(i, 0, AttemptOutcome.OK, 20 * MS);
        }
        for (int i = 100; i < 108; i++) {
            s.ask(i, "read");
        }
        int before = s.of("send").size();
        s.pass(600 * MS);
        assertTrue(s.of("send").size() > before, "nothing has ended, yet more is in flight");
    }

    /** Servers that get the calls of those taken out as well choke, and the node takes them out next. */
    @Test
    void windowDoesNotWidenWhileAThirdOfServersIsEjected() {
        for (int out : new int[] {0, 1}) {
            Script s = new Script(settings(safe("read", 1))).servers(3);
            for (int i = 0; i < 60; i++) {
                s.ask(i, "read").pass(20 * MS).answer(i, 0, AttemptOutcome.OK, 20 * MS);
            }
            if (out > 0) {
                s.ask(90, "read")
                        .answer(90, 0, AttemptOutcome.CONNECT_FAILED, MS)
                        .answer(90, 1, AttemptOutcome.OK, MS);
            }
            assertEquals(out, s.balancer.ejectedEndpoints());
            for (int i = 100; i < 112; i++) {
                s.ask(i, "read");
            }
            int before = s.of("send").size();
            s.pass(300 * MS);
            assertEquals(out == 0, s.of("send").size() > before);
        }
    }

    @Test
    void heavyClassWithShortObjectiveHasSameAdmissionLimit() {
        // nav-lund rough-1: with each class's own tau in A, the dearest class was refused first for its short aim.
        RequestClass dear = new RequestClass(
                "dear", 400 * MS, 3 * SECOND, Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false, 9, 0);
        Script s = new Script(settings(unsafe("cheap", 1), dear)).servers(9);
        int id = 0;
        for (int i = 0; i < 150; i++) {
            s.ask(++id, "cheap").pass(20 * MS).answer(id, 0, AttemptOutcome.OK, 20 * MS);
        }
        for (int i = 0; i < 42; i++) {
            s.ask(++id, "cheap");
        }
        int refused = s.of("refuse").size();
        s.ask(++id, "dear");
        assertEquals(refused, s.of("refuse").size());
    }

    @Test
    void coldServerGetsItsShareAndTakesOverNothing() {
        // coldFrom is 0.2 here: a server that has just started gets about a fifth of a warm one's turns.
        Script s = new Script(settings(safe("read", 1))).servers(4);
        s.list(EndpointListKind.CHANGES, Script.at(9, "here", s.now, EndpointState.UP));
        int cold = 0;
        for (int i = 0; i < 420; i++) {
            s.ask(i, "read").pass(MS).answer(i, 0, AttemptOutcome.OK, MS);
            cold += s.target(i) == 9 ? 1 : 0;
        }
        assertTrue(cold >= 14 && cold <= 28, "turns of the cold server: " + cold);
    }

    @Test
    void drainingServerGetsNoNewRequestsAndItsQueueMoves() {
        Script s = new Script(settings(safe("read", 1))).servers(2);
        for (int i = 0; i < 6; i++) {
            s.ask(i, "read");
        }
        s.list(EndpointListKind.CHANGES, Script.at(1, "here", 0, EndpointState.DRAINING));
        s.pass(MS);
        for (int i = 0; i < 6; i++) {
            long id = s.of("send").get(i).request();
            s.answer(id, 0, AttemptOutcome.OK, MS);
            s.pass(MS);
        }
        assertEquals(6, s.of("send").size());
        assertEquals(1, s.of("send").stream().filter(a -> a.endpoint() == 1).count());
    }

    /** The calls of a server that leaves make the reach grow; the servers that join take over from those that wait. */
    @Test
    void requestTakenOverWhileItsQueueMovesIsSentOnce() {
        Script s = new Script(settings(30, false, List.of(), safe("read", 1))).servers(1);
        for (int i = 0; i < 300; i++) {
            s.ask(i, "read").pass(10 * MS).answer(i, 0, AttemptOutcome.OK, 10 * MS);
        }
        for (int i = 300; i < 325; i++) {
            s.ask(i, "read");
        }
        assertEquals(301, s.of("send").size(), "one of 25 is out, the others wait");
        List<Endpoint> next = new ArrayList<>();
        next.add(Script.at(1, "here", 0, EndpointState.DRAINING));
        for (int i = 2; i <= 21; i++) {
            next.add(Script.up(i, 1));
        }
        s.list(EndpointListKind.CHANGES, next.toArray(new Endpoint[0]));
        assertEquals(321, s.of("send").size(), "each of the 20 that joined has one");
        s.pass(MS);
        for (long i : s.requests("send").subList(301, 309)) {
            s.answer(i, 0, AttemptOutcome.OK, MS);
        }
        for (long i = 300; i < 325; i++) {
            assertEquals(1, s.attempts.getOrDefault(i, 0), "attempts at once of call " + i);
        }
    }

    @Test
    void freeServerTakesOverOldestRequestQueuedElsewhere() {
        Script s = new Script(settings(safe("read", 1))).servers(2);
        for (int i = 1; i <= 4; i++) {
            s.ask(i, "read");
        }
        s.pass(MS);
        // Whichever server answers goes on to answer both calls that wait, the older first.
        s.answer(1, 0, AttemptOutcome.OK, MS);
        long third = s.of("send").get(2).request();
        s.pass(MS).answer(third, 0, AttemptOutcome.OK, MS);
        assertEquals(4, s.of("send").size());
        assertEquals(s.target(1), s.of("send").get(3).endpoint());
    }

    @Test
    void requestsWithoutServerAreQueuedAndRejectedInTime() {
        Script s = new Script(settings(safe("read", 1), unsafe("write", 5))).list(EndpointListKind.CACHED);
        s.ask(1, "read").ask(2, "write", null, -1, 300 * MS).pass(5 * SECOND);
        assertEquals(List.of(2L, 1L), s.requests("refuse"));
        assertTrue(s.of("refuse").get(0).at() <= 1_000_000_000L + 300 * MS);
        assertTrue(s.of("send").isEmpty());
    }

    @Test
    void requestsWithoutServerAreQueuedUntilOneIsListed() {
        Script s = new Script(settings(safe("read", 1))).list(EndpointListKind.CACHED);
        s.ask(1, "read").pass(200 * MS).list(EndpointListKind.CHANGES, Script.up(9, 1));
        assertEquals(9, s.target(1));
    }

    @Test
    void contradictingSettingsAndUnknownClassesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> settings(6, false, List.of()));
        assertThrows(IllegalArgumentException.class, () -> settings(safe("read", 1), unsafe("read", 2)));
        assertThrows(IllegalArgumentException.class, () -> settings(0, false, List.of(), safe("read", 1)));
        Script s = new Script(settings(safe("read", 1))).servers(1);
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> s.ask(1, "other"));
        assertTrue(e.getMessage().contains("other"));
    }

    /** Where servers have slowed, calls that can wait long must not pile up past the aim of those that can't. */
    @Test
    void requestsThatCanWaitYieldToThoseNearTheirObjective() {
        RequestClass brief = unsafe("brief", 600 * MS, 5);
        RequestClass patient = unsafe("patient", 8 * SECOND, 5);
        Script s = new Script(settings(brief, patient)).servers(40);
        long id = 0;
        for (int i = 0; i < 400; i++) {
            // 100 ms at best, then 300 ms; 100 answers a second throughout.
            long latency = i < 200 ? 100 * MS : 300 * MS;
            s.ask(++id, i % 2 == 0 ? "brief" : "patient")
                    .answer(id, 0, AttemptOutcome.OK, latency)
                    .pass(10 * MS);
        }
        int before = s.of("refuse").size();
        for (int i = 0; i < 400; i++) {
            s.ask(++id, "patient");
        }
        int let = 400 - (s.of("refuse").size() - before);
        assertTrue(let > 10 && let <= 60, "at 100 answers a second, as many as are done in 600 ms: " + let);
    }

    /** One that is slow needs rest as much as one that is silent, whatever it answered meanwhile. */
}

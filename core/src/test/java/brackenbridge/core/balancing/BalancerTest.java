package brackenbridge.core.balancing;

import static brackenbridge.core.balancing.ScriptedBalancer.MILLISECOND_US;
import static brackenbridge.core.balancing.ScriptedBalancer.SECOND_US;
import static brackenbridge.core.balancing.ScriptedBalancer.idempotentClass;
import static brackenbridge.core.balancing.ScriptedBalancer.nonIdempotentClass;
import static brackenbridge.core.balancing.ScriptedBalancer.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests each step of the controller of Andersson and Kihl by scripted events. */
class BalancerTest {
    @Test
    void roundRobinIsEvenOverEqualServers() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(4);
        Map<Long, Integer> attempts = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            script.submit(i, "read").advance(MILLISECOND_US).endAttempt(i, 0, AttemptOutcome.OK, MILLISECOND_US);
            attempts.merge(script.lastServerOf(i), 1, Integer::sum);
        }
        assertEquals(4, attempts.size());
        attempts.values().forEach(n -> assertTrue(n >= 95 && n <= 105, attempts::toString));
    }

    @Test
    void roundRobinFollowsListedWeights() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1)))
                .sendList(
                        EndpointListKind.CACHED, ScriptedBalancer.endpointUp(1, 1), ScriptedBalancer.endpointUp(2, 3));
        int heavyAttempts = 0;
        for (int i = 0; i < 400; i++) {
            script.submit(i, "read").advance(MILLISECOND_US).endAttempt(i, 0, AttemptOutcome.OK, MILLISECOND_US);
            heavyAttempts += script.lastServerOf(i) == 2 ? 1 : 0;
        }
        assertTrue(
                heavyAttempts >= 290 && heavyAttempts <= 310, "attempts at the server of weight 3: " + heavyAttempts);
    }

    /** The weights in an endpoint list may be inaccurate or wrong. */
    @Test
    void slowServerIsChosenByItsMeasuredRate() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1)))
                .listServers(5)
                .sendList(EndpointListKind.CHANGES, ScriptedBalancer.endpointUp(6, 2));
        int heavyAttempts = 0;
        for (int i = 0; i < 600; i++) {
            script.submit(i, "read");
            long latency = script.lastServerOf(i) == 6 ? 40 * MILLISECOND_US : 10 * MILLISECOND_US;
            script.advance(latency).endAttempt(i, 0, AttemptOutcome.OK, latency);
            heavyAttempts += i >= 200 && script.lastServerOf(i) == 6 ? 1 : 0;
        }
        assertTrue(
                heavyAttempts > 0 && heavyAttempts < 60,
                "attempts of 400, which would be 114 by its weight: " + heavyAttempts);
    }

    @Test
    void clientRetryMarksChangeNoDecision() {
        List<List<ScriptedBalancer.Action>> actions = new ArrayList<>();
        for (boolean marked : new boolean[] {false, true}) {
            ScriptedBalancer script = new ScriptedBalancer(
                            settings(idempotentClass("read", 1), nonIdempotentClass("write", 5)))
                    .listServers(2);
            for (int i = 0; i < 40; i++) {
                script.balancer.onRequest(
                        script.now,
                        new BalancerRequest(i, i % 3 == 0 ? "write" : "read", null, -1, SECOND_US, -1, marked));
                script.advance(10 * MILLISECOND_US);
            }
            actions.add(script.actions);
        }
        assertTrue(actions.get(0).size() > 20);
        assertEquals(actions.get(0), actions.get(1));
    }

    @Test
    void oneRequestIsInFlightPerServerAndTheRestAreQueued() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(3);
        for (int i = 0; i < 8; i++) {
            script.submit(i, "read");
        }
        assertEquals(
                3,
                script.actionsOfType("startAttempt").stream()
                        .map(ScriptedBalancer.Action::endpoint)
                        .distinct()
                        .count());
        assertEquals(3, script.actionsOfType("startAttempt").size());
        script.advance(MILLISECOND_US).endAttempt(0, 0, AttemptOutcome.OK, MILLISECOND_US);
        assertEquals(4, script.actionsOfType("startAttempt").size());
        assertEquals(
                script.lastServerOf(0),
                script.actionsOfType("startAttempt").get(3).endpoint());
    }

    @Test
    void fewNodesMayHaveMoreThanOneInFlight() {
        ScriptedBalancer script =
                new ScriptedBalancer(settings(1, false, List.of(), idempotentClass("read", 1))).listServers(2);
        for (int i = 0; i < 8; i++) {
            script.submit(i, "read");
        }
        assertEquals(8, script.actionsOfType("startAttempt").size());
    }

    @Test
    void urgentRequestsAreSentBeforeLessUrgentOnesUnderOverload() {
        ScriptedBalancer script =
                new ScriptedBalancer(settings(idempotentClass("low", 1), nonIdempotentClass("high", 9))).listServers(1);
        script.submit(1, "low").advance(400 * MILLISECOND_US).endAttempt(1, 0, AttemptOutcome.OK, 400 * MILLISECOND_US);
        script.submit(2, "low");
        script.submit(3, "low").submit(4, "high").submit(5, "high").advance(300 * MILLISECOND_US);
        // 2 x 400 ms for the high level, 3 x 400 ms with the low one: more than 0.9 s, so a request of the high level
        // is sent.
        script.endAttempt(2, 0, AttemptOutcome.OK, 300 * MILLISECOND_US);
        assertEquals(4, script.actionsOfType("startAttempt").get(2).request());
    }

    @Test
    void oldestRequestIsSentFirstWhereAllLevelsQualify() {
        ScriptedBalancer script =
                new ScriptedBalancer(settings(idempotentClass("low", 1), nonIdempotentClass("high", 9))).listServers(1);
        script.submit(1, "low").advance(10 * MILLISECOND_US).endAttempt(1, 0, AttemptOutcome.OK, 10 * MILLISECOND_US);
        script.submit(2, "low")
                .submit(3, "low")
                .advance(MILLISECOND_US)
                .submit(4, "high")
                .advance(10 * MILLISECOND_US)
                .endAttempt(2, 0, AttemptOutcome.OK, 10 * MILLISECOND_US);
        assertEquals(3, script.actionsOfType("startAttempt").get(2).request());
    }

    @Test
    void nearestDeadlineOfHigherLevelDelaysOlderRequests() {
        ScriptedBalancer script =
                new ScriptedBalancer(settings(idempotentClass("low", 1), nonIdempotentClass("high", 9))).listServers(1);
        script.submit(1, "low").advance(100 * MILLISECOND_US).endAttempt(1, 0, AttemptOutcome.OK, 100 * MILLISECOND_US);
        script.submit(2, "low")
                .submit(3, "low")
                .advance(MILLISECOND_US)
                .submit(4, "high", null, -1, 250 * MILLISECOND_US)
                .advance(100 * MILLISECOND_US);
        // Two requests of 100 ms fit within the low one's objective of 1 s, but not within the 150 ms that the high one
        // has left.
        script.endAttempt(2, 0, AttemptOutcome.OK, 100 * MILLISECOND_US);
        assertEquals(4, script.actionsOfType("startAttempt").get(2).request());
    }

    @Test
    void lateRequestsAreRejectedWithRetryAfter() {
        ScriptedBalancer script =
                new ScriptedBalancer(settings(idempotentClass("low", 1), nonIdempotentClass("high", 9))).listServers(1);
        script.submit(1, "low").advance(500 * MILLISECOND_US).endAttempt(1, 0, AttemptOutcome.OK, 500 * MILLISECOND_US);
        script.submit(2, "low")
                .submit(3, "low")
                .advance(450 * MILLISECOND_US)
                .endAttempt(2, 0, AttemptOutcome.OK, 450 * MILLISECOND_US);
        // The expected response time and the queueing time together exceed tau f of the low class.
        assertEquals(List.of(3L), script.requestsOfType("reject"));
        assertTrue(script.actionsOfType("reject").get(0).amount() > 0);
        assertEquals(2, script.actionsOfType("startAttempt").size());
    }

    @Test
    void rejectionsBeforeFirstResponseHaveRetryAfter() {
        ScriptedBalancer script =
                new ScriptedBalancer(settings(idempotentClass("read", 1))).sendList(EndpointListKind.CACHED);
        script.submit(1, "read").advance(5 * SECOND_US);
        long retryAfter = script.actionsOfType("reject").get(0).amount();
        assertTrue(retryAfter > 0 && retryAfter <= 2 * SECOND_US, "Retry-After: " + retryAfter);
        ScriptedBalancer withoutRetryAfter = new ScriptedBalancer(new BalancerSettings(
                7,
                0,
                6,
                0,
                "here",
                List.of(idempotentClass("read", 1)),
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
        withoutRetryAfter.sendList(EndpointListKind.CACHED).submit(1, "read").advance(5 * SECOND_US);
        assertEquals(
                0,
                withoutRetryAfter.actionsOfType("reject").get(0).amount(),
                "no guidance if clients ignore Retry-After");
    }

    @Test
    void topLevelIsExemptFromLatenessCheck() {
        ScriptedBalancer script =
                new ScriptedBalancer(settings(idempotentClass("low", 1), nonIdempotentClass("high", 9))).listServers(1);
        script.submit(1, "high")
                .advance(1500 * MILLISECOND_US)
                .endAttempt(1, 0, AttemptOutcome.OK, 1500 * MILLISECOND_US);
        script.submit(2, "high")
                .submit(3, "high")
                .advance(1200 * MILLISECOND_US)
                .endAttempt(2, 0, AttemptOutcome.OK, 1200 * MILLISECOND_US);
        assertEquals(List.of(1L, 2L, 3L), script.requestsOfType("startAttempt"));
    }

    @Test
    void tokenBucketLiftsTenantRequestToTopLevel() {
        TenantShare tenant = new TenantShare("t", 0.5, 96);
        ScriptedBalancer script = new ScriptedBalancer(
                        settings(6, false, List.of(tenant), idempotentClass("low", 1), nonIdempotentClass("high", 9)))
                .listServers(1);
        script.submit(1, "high", null, -1, SECOND_US);
        script.advance(400 * MILLISECOND_US).endAttempt(1, 0, AttemptOutcome.OK, 400 * MILLISECOND_US);
        script.submit(2, "high", null, -1, 5 * SECOND_US)
                .submit(3, "low", "t", -1, 3 * SECOND_US)
                .advance(950 * MILLISECOND_US);
        script.endAttempt(2, 0, AttemptOutcome.OK, 950 * MILLISECOND_US);
        // At the top level the low request is exempt from the lateness check, which would have dropped it.
        assertEquals(List.of(1L, 2L, 3L), script.requestsOfType("startAttempt"));
        script.submit(4, "low", "t", -1, 3 * SECOND_US)
                .advance(950 * MILLISECOND_US)
                .endAttempt(3, 0, AttemptOutcome.OK, 950 * MILLISECOND_US);
        assertTrue(script.requestsOfType("reject").contains(4L), "the token bucket is empty");
    }

    @Test
    void windowWidensWhereRequestsWaitAlthoughFleetHasCapacity() {
        // Incident i98a42f: one of a few instances had most of the traffic and rejected a third of it although servers
        // were idle.
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(2);
        for (int i = 0; i < 60; i++) {
            script.submit(i, "read")
                    .advance(20 * MILLISECOND_US)
                    .endAttempt(i, 0, AttemptOutcome.OK, 20 * MILLISECOND_US);
        }
        for (int i = 100; i < 108; i++) {
            script.submit(i, "read");
        }
        int before = script.actionsOfType("startAttempt").size();
        script.advance(600 * MILLISECOND_US);
        assertTrue(
                script.actionsOfType("startAttempt").size() > before,
                "more requests are in flight although none has ended");
    }

    /** Servers that also receive the requests of ejected ones would be overloaded and ejected changes. */
    @Test
    void windowDoesNotWidenWhileAThirdOfServersIsEjected() {
        for (int ejected : new int[] {0, 1}) {
            ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(3);
            for (int i = 0; i < 60; i++) {
                script.submit(i, "read")
                        .advance(20 * MILLISECOND_US)
                        .endAttempt(i, 0, AttemptOutcome.OK, 20 * MILLISECOND_US);
            }
            if (ejected > 0) {
                script.submit(90, "read")
                        .endAttempt(90, 0, AttemptOutcome.CONNECT_FAILED, MILLISECOND_US)
                        .endAttempt(90, 1, AttemptOutcome.OK, MILLISECOND_US);
            }
            assertEquals(ejected, script.balancer.ejectedEndpoints());
            for (int i = 100; i < 112; i++) {
                script.submit(i, "read");
            }
            int before = script.actionsOfType("startAttempt").size();
            script.advance(300 * MILLISECOND_US);
            assertEquals(ejected == 0, script.actionsOfType("startAttempt").size() > before);
        }
    }

    @Test
    void coldServerGetsItsShareAndTakesOverNothing() {
        // The cold capacity ratio is 0.2: a server that has just started gets about a fifth of a warm one's requests.
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(4);
        script.sendList(EndpointListKind.CHANGES, ScriptedBalancer.endpoint(9, "here", script.now, EndpointState.UP));
        int coldAttempts = 0;
        for (int i = 0; i < 420; i++) {
            script.submit(i, "read").advance(MILLISECOND_US).endAttempt(i, 0, AttemptOutcome.OK, MILLISECOND_US);
            coldAttempts += script.lastServerOf(i) == 9 ? 1 : 0;
        }
        assertTrue(coldAttempts >= 14 && coldAttempts <= 28, "attempts at the cold server: " + coldAttempts);
    }

    @Test
    void drainingServerGetsNoNewRequestsAndItsQueueMoves() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(2);
        for (int i = 0; i < 6; i++) {
            script.submit(i, "read");
        }
        script.sendList(EndpointListKind.CHANGES, ScriptedBalancer.endpoint(1, "here", 0, EndpointState.DRAINING));
        script.advance(MILLISECOND_US);
        for (int i = 0; i < 6; i++) {
            long id = script.actionsOfType("startAttempt").get(i).request();
            script.endAttempt(id, 0, AttemptOutcome.OK, MILLISECOND_US);
            script.advance(MILLISECOND_US);
        }
        assertEquals(6, script.actionsOfType("startAttempt").size());
        assertEquals(
                1,
                script.actionsOfType("startAttempt").stream()
                        .filter(a -> a.endpoint() == 1)
                        .count());
    }

    /**
     * Rebinding the requests of a removed server grows the subset, and the servers that join it take over queued
     * requests. Guards against sending a request that was taken over a second time.
     */
    @Test
    void requestTakenOverWhileItsQueueMovesIsSentOnce() {
        ScriptedBalancer script =
                new ScriptedBalancer(settings(30, false, List.of(), idempotentClass("read", 1))).listServers(1);
        for (int i = 0; i < 300; i++) {
            script.submit(i, "read")
                    .advance(10 * MILLISECOND_US)
                    .endAttempt(i, 0, AttemptOutcome.OK, 10 * MILLISECOND_US);
        }
        for (int i = 300; i < 325; i++) {
            script.submit(i, "read");
        }
        assertEquals(301, script.actionsOfType("startAttempt").size(), "one of 25 is in flight, the others are queued");
        List<Endpoint> changes = new ArrayList<>();
        changes.add(ScriptedBalancer.endpoint(1, "here", 0, EndpointState.DRAINING));
        for (int i = 2; i <= 21; i++) {
            changes.add(ScriptedBalancer.endpointUp(i, 1));
        }
        script.sendList(EndpointListKind.CHANGES, changes.toArray(new Endpoint[0]));
        assertEquals(321, script.actionsOfType("startAttempt").size(), "each of the 20 new servers has one");
        script.advance(MILLISECOND_US);
        for (long i : script.requestsOfType("startAttempt").subList(301, 309)) {
            script.endAttempt(i, 0, AttemptOutcome.OK, MILLISECOND_US);
        }
        for (long i = 300; i < 325; i++) {
            assertEquals(1, script.attempts.getOrDefault(i, 0), "attempts of request " + i);
        }
    }

    @Test
    void freeServerTakesOverOldestRequestQueuedElsewhere() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(2);
        for (int i = 1; i <= 4; i++) {
            script.submit(i, "read");
        }
        script.advance(MILLISECOND_US);
        // The server that responds first then takes over both queued requests, the older one first.
        script.endAttempt(1, 0, AttemptOutcome.OK, MILLISECOND_US);
        long third = script.actionsOfType("startAttempt").get(2).request();
        script.advance(MILLISECOND_US).endAttempt(third, 0, AttemptOutcome.OK, MILLISECOND_US);
        assertEquals(4, script.actionsOfType("startAttempt").size());
        assertEquals(
                script.lastServerOf(1),
                script.actionsOfType("startAttempt").get(3).endpoint());
    }

    @Test
    void requestsWithoutServerAreQueuedAndRejectedInTime() {
        ScriptedBalancer script = new ScriptedBalancer(
                        settings(idempotentClass("read", 1), nonIdempotentClass("write", 5)))
                .sendList(EndpointListKind.CACHED);
        script.submit(1, "read")
                .submit(2, "write", null, -1, 300 * MILLISECOND_US)
                .advance(5 * SECOND_US);
        assertEquals(List.of(2L, 1L), script.requestsOfType("reject"));
        assertTrue(script.actionsOfType("reject").get(0).at() <= 1_000_000_000L + 300 * MILLISECOND_US);
        assertTrue(script.actionsOfType("startAttempt").isEmpty());
    }

    @Test
    void requestsWithoutServerAreQueuedUntilOneIsListed() {
        ScriptedBalancer script =
                new ScriptedBalancer(settings(idempotentClass("read", 1))).sendList(EndpointListKind.CACHED);
        script.submit(1, "read")
                .advance(200 * MILLISECOND_US)
                .sendList(EndpointListKind.CHANGES, ScriptedBalancer.endpointUp(9, 1));
        assertEquals(9, script.lastServerOf(1));
    }

    @Test
    void contradictingSettingsAndUnknownClassesAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> settings(6, false, List.of()));
        assertThrows(
                IllegalArgumentException.class,
                () -> settings(idempotentClass("read", 1), nonIdempotentClass("read", 2)));
        assertThrows(IllegalArgumentException.class, () -> settings(0, false, List.of(), idempotentClass("read", 1)));
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(1);
        IllegalArgumentException exception =
                assertThrows(IllegalArgumentException.class, () -> script.submit(1, "other"));
        assertTrue(exception.getMessage().contains("other"));
    }
}

package brackenbridge.core.balancing;

import static brackenbridge.core.balancing.ScriptedBalancer.MILLISECOND_US;
import static brackenbridge.core.balancing.ScriptedBalancer.SECOND_US;
import static brackenbridge.core.balancing.ScriptedBalancer.idempotentClass;
import static brackenbridge.core.balancing.ScriptedBalancer.settings;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Lists, settings and times that no sane party would send: the module goes on deciding. */
class InvalidInputTest {

    /** How many of so many calls each server gets, one after the other. */
    private static Map<Long, Integer> attemptsByServer(ScriptedBalancer script, long firstId, int calls) {
        Map<Long, Integer> turns = new HashMap<>();
        for (long id = firstId; id < firstId + calls; id++) {
            script.submit(id, "read").advance(MILLISECOND_US).endAttempt(id, 0, AttemptOutcome.OK, MILLISECOND_US);
            turns.merge(script.lastServerOf(id), 1, Integer::sum);
        }
        return turns;
    }

    @ParameterizedTest
    @ValueSource(doubles = {Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, -3, 0, 1e-300, 1e300})
    void invalidWeightDoesNotStarveOtherServers(double weight) {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1)))
                .sendList(EndpointListKind.CACHED, ScriptedBalancer.endpointUp(1, weight));
        attemptsByServer(script, 0, 5);
        script.sendList(
                EndpointListKind.FULL,
                ScriptedBalancer.endpointUp(1, weight),
                ScriptedBalancer.endpointUp(2, 1),
                ScriptedBalancer.endpointUp(3, 1),
                ScriptedBalancer.endpointUp(4, 1));
        Map<Long, Integer> turns = attemptsByServer(script, 100, 4000);
        for (long id = 2; id <= 4; id++) {
            int others = (4000 - turns.getOrDefault(1L, 0)) / 3;
            int own = turns.getOrDefault(id, 0);
            assertTrue(own > 0 && Math.abs(own - others) <= 3, id + " of " + turns);
        }
    }

    @Test
    void startTimeInTheFutureDoesNotProlongSlowStart() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(4);
        long far = script.now + 100L * 365 * 86_400 * SECOND_US;
        for (int i = 0; i < 25; i++) {
            // The list comes again and again: its word is the same, so the server has not started again.
            script.sendList(EndpointListKind.CHANGES, ScriptedBalancer.endpoint(9, "here", far, EndpointState.UP))
                    .advance(SECOND_US);
        }
        int turns = attemptsByServer(script, 0, 400).getOrDefault(9L, 0);
        assertTrue(turns > 60, "turns of the server by now: " + turns);
    }

    @Test
    void zeroLatencyDoesNotCorruptEstimates() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(1);
        script.submit(1, "read").endAttempt(1, 0, AttemptOutcome.OK, 0);
        for (int i = 2; i < 80; i++) {
            script.submit(i, "read")
                    .advance(100 * MILLISECOND_US)
                    .endAttempt(i, 0, AttemptOutcome.OK, 100 * MILLISECOND_US);
        }
        // Servers that now answer ten times as slowly have to be told apart by their pace.
        script.sendList(EndpointListKind.CHANGES, ScriptedBalancer.endpointUp(2, 1));
        int slow = 0;
        for (int i = 100; i < 400; i++) {
            script.submit(i, "read");
            boolean first = script.lastServerOf(i) == 1;
            script.advance(first ? 1000 * MILLISECOND_US : 100 * MILLISECOND_US)
                    .endAttempt(i, 0, AttemptOutcome.OK, first ? 1000 * MILLISECOND_US : 100 * MILLISECOND_US);
            slow += first ? 1 : 0;
        }
        assertTrue(slow < 100, "turns of the slow server: " + slow);
    }

    @Test
    void queuedRequestsAreForgottenWithAndWithoutServers() {
        ScriptedBalancer none =
                new ScriptedBalancer(settings(idempotentClass("read", 1))).sendList(EndpointListKind.CACHED);
        ScriptedBalancer jammed =
                new ScriptedBalancer(settings(idempotentClass("read", 1), idempotentClass("other", 2))).listServers(2);
        ScriptedBalancer flapping = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(2);
        jammed.submit(-1, "read").submit(-2, "read");
        for (int i = 0; i < 20_000; i++) {
            none.submit(i, "read").advance(SECOND_US / 2);
            jammed.submit(i, i % 2 == 0 ? "read" : "other").advance(SECOND_US / 2);
            flapping.submit(i, "read").advance(5 * MILLISECOND_US);
            flapping.sendList(
                    EndpointListKind.CHANGES, ScriptedBalancer.endpoint(1 + i % 2, "here", 0, EndpointState.DRAINING));
            flapping.sendList(
                    EndpointListKind.CHANGES, ScriptedBalancer.endpoint(1 + i % 2, "here", 0, EndpointState.UP));
        }
        for (ScriptedBalancer script : List.of(none, jammed, flapping)) {
            assertTrue(
                    script.balancer.openRequestCount() < 2000,
                    "calls remembered: " + script.balancer.openRequestCount());
        }
    }

    private static RequestClass requestClass(
            String name, long aim, long deadline, long keyTtl, double worth, double late) {
        return new RequestClass(
                name, aim, deadline, Idempotence.IDEMPOTENCY_KEY, DeduplicationScope.ALL, keyTtl, false, worth, late);
    }

    private static void assertRejected(String key, Supplier<RequestClass> requestClass) {
        String why = assertThrows(IllegalArgumentException.class, () -> settings(requestClass.get()), key)
                .getMessage();
        assertTrue(why.contains(key), why);
    }

    @Test
    void invalidClassesAreRejectedNamingTheKey() {
        assertNotEquals(null, settings(requestClass("a", 1, 1, 0, 0, 0)));
        for (double bad : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -1, 1e300}) {
            assertRejected("worth", () -> requestClass("a", 1, 1, 0, bad, 0));
            assertRejected("lateShare", () -> requestClass("a", 1, 1, 0, 1, bad));
        }
        assertRejected("keyTtl", () -> requestClass("a", 1, 1, -1, 1, 0));
        assertRejected("keyTtl", () -> requestClass("a", 1, 1, Long.MAX_VALUE, 1, 0));
        assertRejected("deadline", () -> requestClass("a", 1, Long.MAX_VALUE, 0, 1, 0));
        for (String name : List.of("", "a b", "a\nproxy.ok.b:9|c", "a/b", "a?", "a#", "a:b", "a|b")) {
            assertRejected("name", () -> requestClass(name, 1, 1, 0, 1, 0));
        }
    }

    private static BalancerSettings settingsWith(
            double overShare,
            TenantShare tenant,
            long askWithin,
            long retryAfter,
            long idleClose,
            double coldFrom,
            long warmAfter,
            NetworkSettings network) {
        return new BalancerSettings(
                7,
                0,
                6,
                0,
                "here",
                List.of(idempotentClass("read", 1)),
                List.of(tenant),
                overShare,
                false,
                askWithin,
                4,
                20000,
                retryAfter,
                true,
                false,
                true,
                idleClose,
                coldFrom,
                warmAfter,
                network);
    }

    private static void assertRejected(String key, double overShare, double quota, long time, double coldFrom) {
        String why = assertThrows(
                        IllegalArgumentException.class,
                        () -> settingsWith(
                                overShare,
                                new TenantShare("acme", 0, quota),
                                key.equals("mustAskWithin") ? time : 1,
                                key.equals("maxRetryAfter") ? time : 1,
                                key.equals("idleClose") ? time : 1,
                                coldFrom,
                                key.equals("warmAfter") ? time : 1,
                                key.equals("connectTimeout")
                                        ? new NetworkSettings(time, 0, false, List.of())
                                        : key.equals("drainGrace")
                                                ? new NetworkSettings(1, time, false, List.of())
                                                : NetworkSettings.DEFAULT),
                        key)
                .getMessage();
        assertTrue(why.contains(key), why);
    }

    @Test
    void invalidSettingsAreRejectedNamingTheKey() {
        assertNotEquals(
                null, settingsWith(0.5, new TenantShare("acme", 0, 5), 1, 1, 1, 0.2, 1, NetworkSettings.DEFAULT));
        for (double bad : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -1, 1e300}) {
            assertRejected("overShareWorth", bad, 1, 1, 1);
            assertRejected("quota", 0.1, bad, 1, 1);
            assertRejected("coldFrom", 0.1, 1, 1, bad);
        }
        assertRejected("coldFrom", 0.1, 1, 1, 1e-300);
        for (String key :
                List.of("mustAskWithin", "maxRetryAfter", "idleClose", "warmAfter", "connectTimeout", "drainGrace")) {
            assertRejected(key, 0.1, 1, -1, 1);
            assertRejected(key, 0.1, 1, Long.MAX_VALUE, 1);
        }
        BalancerSettings plain = settings(idempotentClass("read", 1));
        for (double bad : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -1, 0, 1e300}) {
            String why = assertThrows(IllegalArgumentException.class, () -> plain.withColdOverload(bad, SECOND_US))
                    .getMessage();
            assertTrue(why.contains("fallMultiple"), why);
        }
        for (long bad : new long[] {-1, Long.MAX_VALUE}) {
            String why = assertThrows(IllegalArgumentException.class, () -> plain.withColdOverload(3, bad))
                    .getMessage();
            assertTrue(why.startsWith("fall:"), why);
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> settings(
                        6,
                        false,
                        List.of(new TenantShare("acme", 0, 1), new TenantShare("acme", 0, 2)),
                        idempotentClass("read", 1)));
    }
}

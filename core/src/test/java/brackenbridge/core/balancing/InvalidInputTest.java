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

/**
 * Guards against invalid or implausible endpoint lists, settings and times: the module keeps working or rejects them.
 */
class InvalidInputTest {

    /** Sends this many requests one after the other and returns how many each server received. */
    private static Map<Long, Integer> attemptsByServer(ScriptedBalancer script, long firstId, int requests) {
        Map<Long, Integer> attempts = new HashMap<>();
        for (long id = firstId; id < firstId + requests; id++) {
            script.submit(id, "read").advance(MILLISECOND_US).endAttempt(id, 0, AttemptOutcome.OK, MILLISECOND_US);
            attempts.merge(script.lastServerOf(id), 1, Integer::sum);
        }
        return attempts;
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
        Map<Long, Integer> attempts = attemptsByServer(script, 100, 4000);
        for (long id = 2; id <= 4; id++) {
            int expected = (4000 - attempts.getOrDefault(1L, 0)) / 3;
            int received = attempts.getOrDefault(id, 0);
            assertTrue(received > 0 && Math.abs(received - expected) <= 3, "server " + id + " of " + attempts);
        }
    }

    @Test
    void startTimeInTheFutureDoesNotProlongSlowStart() {
        ScriptedBalancer script = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(4);
        long farFuture = script.now + 100L * 365 * 86_400 * SECOND_US;
        for (int i = 0; i < 25; i++) {
            // The list is repeated with the same start time, so the server has not restarted.
            script.sendList(EndpointListKind.CHANGES, ScriptedBalancer.endpoint(9, "here", farFuture, EndpointState.UP))
                    .advance(SECOND_US);
        }
        int attempts = attemptsByServer(script, 0, 400).getOrDefault(9L, 0);
        assertTrue(attempts > 60, "attempts at the server after its slow start: " + attempts);
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
        // A server that is now ten times as slow must still be recognized as slow.
        script.sendList(EndpointListKind.CHANGES, ScriptedBalancer.endpointUp(2, 1));
        int slowAttempts = 0;
        for (int i = 100; i < 400; i++) {
            script.submit(i, "read");
            boolean atSlowServer = script.lastServerOf(i) == 1;
            script.advance(atSlowServer ? 1000 * MILLISECOND_US : 100 * MILLISECOND_US)
                    .endAttempt(i, 0, AttemptOutcome.OK, atSlowServer ? 1000 * MILLISECOND_US : 100 * MILLISECOND_US);
            slowAttempts += atSlowServer ? 1 : 0;
        }
        assertTrue(slowAttempts < 100, "attempts at the slow server: " + slowAttempts);
    }

    @Test
    void queuedRequestsAreForgottenWithAndWithoutServers() {
        ScriptedBalancer withoutServers =
                new ScriptedBalancer(settings(idempotentClass("read", 1))).sendList(EndpointListKind.CACHED);
        ScriptedBalancer overloaded =
                new ScriptedBalancer(settings(idempotentClass("read", 1), idempotentClass("other", 2))).listServers(2);
        ScriptedBalancer flapping = new ScriptedBalancer(settings(idempotentClass("read", 1))).listServers(2);
        overloaded.submit(-1, "read").submit(-2, "read");
        for (int i = 0; i < 20_000; i++) {
            withoutServers.submit(i, "read").advance(SECOND_US / 2);
            overloaded.submit(i, i % 2 == 0 ? "read" : "other").advance(SECOND_US / 2);
            flapping.submit(i, "read").advance(5 * MILLISECOND_US);
            flapping.sendList(
                    EndpointListKind.CHANGES, ScriptedBalancer.endpoint(1 + i % 2, "here", 0, EndpointState.DRAINING));
            flapping.sendList(
                    EndpointListKind.CHANGES, ScriptedBalancer.endpoint(1 + i % 2, "here", 0, EndpointState.UP));
        }
        for (ScriptedBalancer script : List.of(withoutServers, overloaded, flapping)) {
            assertTrue(
                    script.balancer.openRequestCount() < 2000,
                    "requests still remembered: " + script.balancer.openRequestCount());
        }
    }

    private static RequestClass requestClass(
            String name, long objective, long deadline, long keyTtl, double weight, double lateRatio) {
        return new RequestClass(
                name,
                objective,
                deadline,
                Idempotence.IDEMPOTENCY_KEY,
                DeduplicationScope.ALL,
                keyTtl,
                false,
                weight,
                lateRatio);
    }

    private static void assertRejected(String key, Supplier<RequestClass> requestClass) {
        String message = assertThrows(IllegalArgumentException.class, () -> settings(requestClass.get()), key)
                .getMessage();
        assertTrue(message.contains(key), message);
    }

    @Test
    void invalidClassesAreRejectedNamingTheKey() {
        assertNotEquals(null, settings(requestClass("a", 1, 1, 0, 0, 0)));
        for (double invalid : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -1, 1e300}) {
            assertRejected("worth", () -> requestClass("a", 1, 1, 0, invalid, 0));
            assertRejected("lateShare", () -> requestClass("a", 1, 1, 0, 1, invalid));
        }
        assertRejected("keyTtl", () -> requestClass("a", 1, 1, -1, 1, 0));
        assertRejected("keyTtl", () -> requestClass("a", 1, 1, Long.MAX_VALUE, 1, 0));
        assertRejected("deadline", () -> requestClass("a", 1, Long.MAX_VALUE, 0, 1, 0));
        for (String name : List.of("", "a b", "a\nproxy.ok.b:9|c", "a/b", "a?", "a#", "a:b", "a|b")) {
            assertRejected("name", () -> requestClass(name, 1, 1, 0, 1, 0));
        }
    }

    private static BalancerSettings settingsWith(
            double overShareWeight,
            TenantShare tenant,
            long maxPollInterval,
            long maxRetryAfter,
            long idleTimeout,
            double coldCapacityRatio,
            long warmUpTime,
            NetworkSettings network) {
        return new BalancerSettings(
                7,
                0,
                6,
                0,
                "here",
                List.of(idempotentClass("read", 1)),
                List.of(tenant),
                overShareWeight,
                false,
                maxPollInterval,
                4,
                20000,
                maxRetryAfter,
                true,
                false,
                true,
                idleTimeout,
                coldCapacityRatio,
                warmUpTime,
                network);
    }

    private static void assertRejected(
            String key, double overShareWeight, double quota, long time, double coldCapacityRatio) {
        String message = assertThrows(
                        IllegalArgumentException.class,
                        () -> settingsWith(
                                overShareWeight,
                                new TenantShare("acme", 0, quota),
                                key.equals("mustAskWithin") ? time : 1,
                                key.equals("maxRetryAfter") ? time : 1,
                                key.equals("idleClose") ? time : 1,
                                coldCapacityRatio,
                                key.equals("warmAfter") ? time : 1,
                                key.equals("connectTimeout")
                                        ? new NetworkSettings(time, 0, false, List.of())
                                        : key.equals("drainGrace")
                                                ? new NetworkSettings(1, time, false, List.of())
                                                : NetworkSettings.DEFAULT),
                        key)
                .getMessage();
        assertTrue(message.contains(key), message);
    }

    @Test
    void invalidSettingsAreRejectedNamingTheKey() {
        assertNotEquals(
                null, settingsWith(0.5, new TenantShare("acme", 0, 5), 1, 1, 1, 0.2, 1, NetworkSettings.DEFAULT));
        for (double invalid : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -1, 1e300}) {
            assertRejected("overShareWorth", invalid, 1, 1, 1);
            assertRejected("quota", 0.1, invalid, 1, 1);
            assertRejected("coldFrom", 0.1, 1, 1, invalid);
        }
        assertRejected("coldFrom", 0.1, 1, 1, 1e-300);
        for (String key :
                List.of("mustAskWithin", "maxRetryAfter", "idleClose", "warmAfter", "connectTimeout", "drainGrace")) {
            assertRejected(key, 0.1, 1, -1, 1);
            assertRejected(key, 0.1, 1, Long.MAX_VALUE, 1);
        }
        BalancerSettings valid = settings(idempotentClass("read", 1));
        for (double invalid : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -1, 0, 1e300}) {
            String message = assertThrows(
                            IllegalArgumentException.class, () -> valid.withColdOverload(invalid, SECOND_US))
                    .getMessage();
            assertTrue(message.contains("fallMultiple"), message);
        }
        for (long invalid : new long[] {-1, Long.MAX_VALUE}) {
            String message = assertThrows(IllegalArgumentException.class, () -> valid.withColdOverload(3, invalid))
                    .getMessage();
            assertTrue(message.startsWith("fall:"), message);
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

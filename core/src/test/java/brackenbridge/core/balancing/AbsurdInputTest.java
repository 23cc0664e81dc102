package brackenbridge.core.balancing;

import static brackenbridge.core.balancing.Script.MILLISECOND_US;
import static brackenbridge.core.balancing.Script.SECOND_US;
import static brackenbridge.core.balancing.Script.safe;
import static brackenbridge.core.balancing.Script.settings;
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
class AbsurdInputTest {

    /** How many of so many calls each server gets, one after the other. */
    private static Map<Long, Integer> turns(Script script, long firstId, int calls) {
        Map<Long, Integer> turns = new HashMap<>();
        for (long id = firstId; id < firstId + calls; id++) {
            script.ask(id, "read").pass(MILLISECOND_US).answer(id, 0, AttemptOutcome.OK, MILLISECOND_US);
            turns.merge(script.target(id), 1, Integer::sum);
        }
        return turns;
    }

    @ParameterizedTest
    @ValueSource(doubles = {Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, -3, 0, 1e-300, 1e300})
    void oneAbsurdWeightLeavesTheOthersTheirTurns(double weight) {
        Script script = new Script(settings(safe("read", 1))).list(EndpointListKind.CACHED, Script.up(1, weight));
        turns(script, 0, 5);
        script.list(EndpointListKind.FULL, Script.up(1, weight), Script.up(2, 1), Script.up(3, 1), Script.up(4, 1));
        Map<Long, Integer> turns = turns(script, 100, 4000);
        for (long id = 2; id <= 4; id++) {
            int others = (4000 - turns.getOrDefault(1L, 0)) / 3;
            int own = turns.getOrDefault(id, 0);
            assertTrue(own > 0 && Math.abs(own - others) <= 3, id + " of " + turns);
        }
    }

    @Test
    void serverThatSaysItWillStartInAHundredYearsIsColdNoLongerThanAnyOther() {
        Script script = new Script(settings(safe("read", 1))).servers(4);
        long far = script.now + 100L * 365 * 86_400 * SECOND_US;
        for (int i = 0; i < 25; i++) {
            // The list comes again and again: its word is the same, so the server has not started again.
            script.list(EndpointListKind.CHANGES, Script.at(9, "here", far, EndpointState.UP))
                    .pass(SECOND_US);
        }
        int turns = turns(script, 0, 400).getOrDefault(9L, 0);
        assertTrue(turns > 60, "turns of the server by now: " + turns);
    }

    @Test
    void answerThatTakesNoTimeSpoilsNoEstimate() {
        Script script = new Script(settings(safe("read", 1))).servers(1);
        script.ask(1, "read").answer(1, 0, AttemptOutcome.OK, 0);
        for (int i = 2; i < 80; i++) {
            script.ask(i, "read").pass(100 * MILLISECOND_US).answer(i, 0, AttemptOutcome.OK, 100 * MILLISECOND_US);
        }
        // Servers that now answer ten times as slowly have to be told apart by their pace.
        script.list(EndpointListKind.CHANGES, Script.up(2, 1));
        int slow = 0;
        for (int i = 100; i < 400; i++) {
            script.ask(i, "read");
            boolean first = script.target(i) == 1;
            script.pass(first ? 1000 * MILLISECOND_US : 100 * MILLISECOND_US)
                    .answer(i, 0, AttemptOutcome.OK, first ? 1000 * MILLISECOND_US : 100 * MILLISECOND_US);
            slow += first ? 1 : 0;
        }
        assertTrue(slow < 100, "turns of the slow server: " + slow);
    }

    @Test
    void callsThatWaitedAreForgottenWhetherServersAreThereOrNot() {
        Script none = new Script(settings(safe("read", 1))).list(EndpointListKind.CACHED);
        Script jammed = new Script(settings(safe("read", 1), safe("other", 2))).servers(2);
        Script flapping = new Script(settings(safe("read", 1))).servers(2);
        jammed.ask(-1, "read").ask(-2, "read");
        for (int i = 0; i < 20_000; i++) {
            none.ask(i, "read").pass(SECOND_US / 2);
            jammed.ask(i, i % 2 == 0 ? "read" : "other").pass(SECOND_US / 2);
            flapping.ask(i, "read").pass(5 * MILLISECOND_US);
            flapping.list(EndpointListKind.CHANGES, Script.at(1 + i % 2, "here", 0, EndpointState.DRAINING));
            flapping.list(EndpointListKind.CHANGES, Script.at(1 + i % 2, "here", 0, EndpointState.UP));
        }
        for (Script script : List.of(none, jammed, flapping)) {
            assertTrue(
                    script.balancer.openRequestCount() < 2000,
                    "calls remembered: " + script.balancer.openRequestCount());
        }
    }

    private static RequestClass kind(String name, long aim, long deadline, long keyTtl, double worth, double late) {
        return new RequestClass(
                name, aim, deadline, Idempotence.IDEMPOTENCY_KEY, DeduplicationScope.ALL, keyTtl, false, worth, late);
    }

    private static void assertRejected(String key, Supplier<RequestClass> requestClass) {
        String why = assertThrows(IllegalArgumentException.class, () -> settings(requestClass.get()), key)
                .getMessage();
        assertTrue(why.contains(key), why);
    }

    @Test
    void classesThatCanNotHoldAreTurnedDownByKey() {
        assertNotEquals(null, settings(kind("a", 1, 1, 0, 0, 0)));
        for (double bad : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -1, 1e300}) {
            assertRejected("worth", () -> kind("a", 1, 1, 0, bad, 0));
            assertRejected("lateShare", () -> kind("a", 1, 1, 0, 1, bad));
        }
        assertRejected("keyTtl", () -> kind("a", 1, 1, -1, 1, 0));
        assertRejected("keyTtl", () -> kind("a", 1, 1, Long.MAX_VALUE, 1, 0));
        assertRejected("deadline", () -> kind("a", 1, Long.MAX_VALUE, 0, 1, 0));
        for (String name : List.of("", "a b", "a\nproxy.ok.b:9|c", "a/b", "a?", "a#", "a:b", "a|b")) {
            assertRejected("name", () -> kind(name, 1, 1, 0, 1, 0));
        }
    }

    private static BalancerSettings with(
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
                List.of(safe("read", 1)),
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
                        () -> with(
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
    void settingsThatCanNotHoldAreTurnedDownByKey() {
        assertNotEquals(null, with(0.5, new TenantShare("acme", 0, 5), 1, 1, 1, 0.2, 1, NetworkSettings.DEFAULT));
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
        BalancerSettings plain = settings(safe("read", 1));
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
                        safe("read", 1)));
    }
}

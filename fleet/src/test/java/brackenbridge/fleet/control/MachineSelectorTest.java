package brackenbridge.fleet.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The order and delay of connection attempts, and the distribution of nodes over machines. */
class MachineSelectorTest {
    private static final ControlLimits LIMITS = ControlLimits.DEFAULTS;

    /** Nine machines in six regions: two each in the first three. */
    private static List<ControlMachine> nineMachines() {
        List<ControlMachine> machines = new ArrayList<>();
        String regions = "aabbccdef";
        for (int i = 0; i < 9; i++) {
            machines.add(new ControlMachine("m" + i, regions.substring(i, i + 1), "127.0.0.1:" + (9000 + i)));
        }
        return machines;
    }

    private static MachineSelector selector(String region, long seed) {
        return new MachineSelector(nineMachines(), region, LIMITS, new SplittableRandom(seed));
    }

    @Test
    void ownRegionComesFirstThenEveryOtherMachineOnce() {
        MachineSelector selector = selector("b", 1);
        Set<String> triedNames = new HashSet<>();
        for (int i = 0; i < 9; i++) {
            ControlMachine machine = selector.next().machine();
            assertEquals(i < 2, machine.region().equals("b"), "attempt " + i);
            assertTrue(triedNames.add(machine.name()), "tried twice in a round: " + machine);
            selector.onFailed();
        }
        assertEquals("b", selector.next().machine().region(), "the next round begins in the own region");
    }

    @Test
    void nodesOfALostMachineSpreadOverAllOthers() {
        Map<String, Integer> load = new HashMap<>();
        for (int seed = 0; seed < 800; seed++) {
            MachineSelector selector = selector("d", seed);
            assertEquals("m6", selector.next().machine().name());
            selector.onConfirmed();
            selector.onFailed();
            load.merge(selector.next().machine().name(), 1, Integer::sum);
        }
        assertEquals(8, load.size());
        load.forEach((machine, nodes) -> assertTrue(nodes > 70 && nodes < 130, machine + " gets " + nodes + " nodes"));
    }

    @Test
    void backoffHasFullJitterUnderADoublingCappedBound() {
        double maxFirstMs = 0;
        double maxLateMs = 0;
        double minLateMs = Double.POSITIVE_INFINITY;
        for (int seed = 0; seed < 300; seed++) {
            MachineSelector selector = selector("a", seed);
            assertTrue(selector.next().delayMs() <= LIMITS.startSpreadMs());
            selector.onFailed();
            maxFirstMs = Math.max(maxFirstMs, selector.next().delayMs());
            for (int i = 0; i < 12; i++) {
                selector.onFailed();
            }
            double lateMs = selector.next().delayMs();
            maxLateMs = Math.max(maxLateMs, lateMs);
            minLateMs = Math.min(minLateMs, lateMs);
        }
        assertTrue(maxFirstMs <= LIMITS.retryBaseMs() && maxFirstMs > 0.9 * LIMITS.retryBaseMs());
        assertTrue(maxLateMs <= LIMITS.retryMaxMs() && maxLateMs > 0.9 * LIMITS.retryMaxMs());
        assertTrue(minLateMs < 0.1 * LIMITS.retryMaxMs());
    }

    @Test
    void retryAfterIsHonouredAtTheSameMachine() {
        MachineSelector selector = selector("d", 3);
        ControlMachine busyMachine = selector.next().machine();
        selector.onRetryAfter(700);
        MachineSelector.Attempt next = selector.next();
        assertEquals(busyMachine, next.machine());
        assertTrue(next.delayMs() >= 700 && next.delayMs() <= 700 + LIMITS.heartbeatMs());
    }

    @Test
    void unconfirmedTimeoutDoublesPerRoundAndResetsOnConfirmation() {
        MachineSelector selector = selector("a", 4);
        selector.next();
        assertEquals(LIMITS.unconfirmedTimeoutMs(), selector.unconfirmedTimeoutMs());
        for (int i = 0; i < 9; i++) {
            selector.onFailed();
            selector.next();
        }
        assertEquals(2 * LIMITS.unconfirmedTimeoutMs(), selector.unconfirmedTimeoutMs());
        for (int i = 0; i < 200; i++) {
            selector.onFailed();
            selector.next();
        }
        assertEquals(LIMITS.returnHomeMaxMs(), selector.unconfirmedTimeoutMs());
        selector.onConfirmed();
        assertEquals(LIMITS.unconfirmedTimeoutMs(), selector.unconfirmedTimeoutMs());
    }

    @Test
    void nodeOfARegionWithoutAMachineIsServedByTheOthers() {
        Set<String> first = new HashSet<>();
        for (int seed = 0; seed < 100; seed++) {
            first.add(selector("nowhere", seed).next().machine().name());
        }
        assertEquals(9, first.size());
        assertNotEquals(selector("a", 1).returnHomeDelayMs(), selector("a", 2).returnHomeDelayMs());
    }
}

package brackenbridge.fleet.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class QueuesTest {
    @Test
    void erlangCMatchesTextbookValuesAndIsStableForManyServers() {
        assertEquals(0.5, Queues.erlangC(1, 0.5), 1e-12);
        // Two servers at offered load a = 1: a^2 / (2 - a) / (1 + a + a^2 / (2 - a)) is one third.
        assertEquals(1 / 3.0, Queues.erlangC(2, 1), 1e-12);
        double many = Queues.erlangC(5000, 4900);
        assertTrue(many > 0 && many < 0.5, "" + many);
    }

    @Property(tries = 300)
    void allenCunneenIsExactForOneServerAndGrowsWithLoad(
            @ForAll @IntRange(min = 1, max = 60) int c,
            @ForAll @DoubleRange(min = 0.05, max = 0.95) double rho,
            @ForAll @DoubleRange(min = 0, max = 9) double variation) {
        // Pollaczek-Khinchine formula.
        assertEquals(rho / (1 - rho) * (1 + variation) / 2, Queues.allenCunneen(1, rho, 1, 1, variation), 1e-9);
        double lower = Queues.allenCunneen(c, 0.9 * rho * c, 1, 1, variation);
        assertTrue(lower <= Queues.allenCunneen(c, rho * c, 1, 1, variation));
    }

    @Test
    void sakasegawaIsCloseToErlangCAtHighLoad() {
        for (int c : new int[] {2, 8, 20}) {
            for (double rho : new double[] {0.8, 0.9, 0.95}) {
                double exact = Queues.erlangC(c, rho * c) * rho / (1 - rho);
                assertEquals(exact, Queues.sakasegawaQueueLength(c, rho), 0.15 * exact + 0.03, c + " at " + rho);
            }
        }
    }
}

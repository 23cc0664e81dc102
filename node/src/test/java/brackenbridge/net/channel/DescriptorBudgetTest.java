package brackenbridge.net.channel;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import org.junit.jupiter.api.Test;

/** Limits at both ends of their range leave descriptors for clients and for servers. */
class DescriptorBudgetTest {
    @Test
    void anyLimitAdmitsClientsAndServers() {
        for (int limit : new int[] {64, 1024, 1 << 20, 300_000_000, Integer.MAX_VALUE}) {
            DescriptorBudget budget = new DescriptorBudget(limit);
            assertTrue(budget.hasRoomForClient() && budget.hasRoomForServer(), "limit " + limit);
            assertFalse(budget.isCrowdedByClients(), "limit " + limit);
            budget.successor().reserve(budget.usable() / 2);
            assertTrue(budget.hasRoomForClient() && budget.hasRoomForServer(), "half of limit " + limit);
        }
    }

    private static int connectionsThatFit(DescriptorBudget budget) {
        int count = 0;
        for (; budget.hasRoomForServer(); count++) {
            budget.addServers(1);
        }
        budget.addServers(-count);
        return count;
    }

    /** Guards clients against a replacement that leaves them fewer connections than the limit allows. */
    @Test
    void processesThatShareALimitReserveDescriptorsOnce() {
        int open = new File("/proc/self/fd").list().length;
        // Other tests of this process may open or close files meanwhile.
        int tolerance = 10;
        int limit = 2000;
        DescriptorBudget budget = new DescriptorBudget(limit);
        int alone = connectionsThatFit(budget);
        budget.successor().reserve(budget.usable() / 2);
        int together = 2 * connectionsThatFit(budget);
        assertTrue(together + open <= alone + tolerance, alone + " alone, " + together + " together, open " + open);
        assertTrue(together + open >= alone - tolerance, alone + " alone, " + together + " together, open " + open);
    }
}

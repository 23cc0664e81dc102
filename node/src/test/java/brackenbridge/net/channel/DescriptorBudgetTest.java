package brackenbridge.net.channel;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Limits at both ends of their range leave descriptors for clients and for servers. */
class DescriptorBudgetTest {
    @Test
    void anyLimitAdmitsClientsAndServers() {
        for (int limit : new int[] {64, 1024, 1 << 20, 300_000_000, Integer.MAX_VALUE}) {
            DescriptorBudget budget = new DescriptorBudget(limit);
            assertTrue(budget.hasRoomForClient() && budget.hasRoomForServer(), "limit " + limit);
            assertFalse(budget.isCrowdedByClients(), "limit " + limit);
            budget.shareWithOtherProcess(true);
            assertTrue(budget.hasRoomForClient() && budget.hasRoomForServer(), "half of limit " + limit);
        }
    }
}

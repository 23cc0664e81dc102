package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Limits at both ends of their range leave room for clients and for servers. */
class DescriptorBudgetTest {
    @Test
    void anyLimitAdmitsClientsAndServers() {
        for (int limit : new int[] {64, 1024, 1 << 20, 300_000_000, Integer.MAX_VALUE}) {
            DescriptorBudget s = new DescriptorBudget(limit);
            assertTrue(s.clientFits() && s.serverFits(), "limit " + limit);
            assertFalse(s.crowded(), "limit " + limit);
            s.share(true);
            assertTrue(s.clientFits() && s.serverFits(), "half of limit " + limit);
        }
    }
}

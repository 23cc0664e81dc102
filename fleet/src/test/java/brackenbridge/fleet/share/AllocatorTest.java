package brackenbridge.fleet.share;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class AllocatorTest {
    private static ShareRules rules(String json) throws ShareRules.InvalidSharesException {
        return ShareRules.parse(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void fillsByWeightsWithFloorsAndCeilings() {
        assertArrayEquals(
                new double[] {2, 4, 4},
                WaterFilling.fill(10, new double[] {1, 1, 1}, new double[3], new double[] {2, 9, 9}),
                1e-9);
        assertArrayEquals(
                new double[] {6, 1, 3},
                WaterFilling.fill(10, new double[] {1, 1, 3}, new double[] {6, 0, 0}, new double[] {9, 9, 9}),
                1e-9);
        assertArrayEquals(
                new double[] {2, 8},
                WaterFilling.fill(10, new double[] {1, 1}, new double[] {4, 16}, new double[] {9, 20}),
                1e-9);
    }

    @Property(tries = 500, seed = "29")
    void waterFillingIsMaxMinFair(@ForAll long seed) {
        Random random = new Random(seed);
        int count = 1 + random.nextInt(8);
        double[] weights = random.doubles(count, 0.1, 5).toArray();
        double[] demands = random.doubles(count, 0, 20).toArray();
        double[] floors = Arrays.stream(demands)
                .map(amount -> random.nextBoolean() ? 0 : amount * random.nextDouble() / count)
                .toArray();
        double amount = random.nextDouble() * 60;
        double[] filled = WaterFilling.fill(amount, weights, floors, demands);
        assertEquals(
                Math.min(amount, Arrays.stream(demands).sum()),
                Arrays.stream(filled).sum(),
                1e-6);
        if (Arrays.stream(floors).sum() >= amount) {
            return;
        }
        for (int i = 0; i < count; i++) {
            assertTrue(filled[i] <= demands[i] + 1e-9 && filled[i] >= floors[i] - 1e-9);
            for (int j = 0; j < count; j++) {
                // An entry with unmet demand is at no lower level than any entry above its floor.
                assertTrue(filled[i] >= demands[i] - 1e-6
                        || filled[j] <= floors[j] + 1e-6
                        || filled[i] / weights[i] >= filled[j] / weights[j] - 1e-6);
            }
        }
    }

    @Test
    void groupsAreDividedBeforeTenantsAndUnusedConnectionsAreLent() throws ShareRules.InvalidSharesException {
        ShareRules rules =
                rules("{'groups':[{'name':'gold','weight':3,'tenants':[{'name':'a'},{'name':'b','weight':2}]},"
                        + "{'name':'free','ceiling':30,'tenants':[{'name':'c','floor':5},{'name':'d'}]}]}");
        Allocation contended = new Allocator()
                .allocate(120, rules, Map.of("n0", Map.of("a", 500.0, "b", 500.0, "c", 500.0, "d", 500.0)));
        assertEquals(30, contended.tenants().get("a").allocated(), 1e-6);
        assertEquals(60, contended.tenants().get("b").allocated(), 1e-6);
        assertEquals(15, contended.tenants().get("c").allocated(), 1e-6);
        Allocation underused =
                new Allocator().allocate(120, rules, Map.of("n0", Map.of("a", 500.0, "b", 4.0, "c", 500.0)));
        assertEquals(30, underused.tenants().get("c").allocated(), 1e-6);
        assertTrue(underused.tenants().get("a").allocated() > 84, underused::toString);
        assertTrue(
                underused.loans().stream()
                        .anyMatch(loan -> loan.from().equals("b") && loan.to().equals("a") && loan.connections() > 50),
                underused.loans()::toString);
    }

    @Test
    void manyTenantsGetWholeConnectionsAndTheirSharesOverTime() {
        Random random = new Random(5);
        Map<String, Map<String, Double>> demand = new HashMap<>();
        for (int node = 0; node < 100; node++) {
            Map<String, Double> tenants = new HashMap<>();
            for (int tenant = 0; tenant < 10; tenant++) {
                tenants.put("t" + (node * 10 + tenant), 5 + random.nextDouble() * 10);
            }
            demand.put("n" + node, tenants);
        }
        Allocator allocator = new Allocator();
        Map<String, Double> sums = new HashMap<>();
        for (int round = 0; round < 50; round++) {
            Allocation allocation = allocator.allocate(1950, ShareRules.NONE, demand);
            assertEquals(
                    1950,
                    demand.keySet().stream().mapToInt(allocation::nodeTotal).sum());
            allocation
                    .connectionsByNode()
                    .values()
                    .forEach(tenantShares ->
                            tenantShares.forEach((tenant, amount) -> sums.merge(tenant, amount / 50, Double::sum)));
        }
        sums.forEach((tenant, amount) -> assertEquals(1.95, amount, 0.03, tenant));
    }

    @Property(tries = 300, seed = "29")
    void nodeTotalsNeverExceedCapacity(@ForAll long seed) {
        Random random = new Random(seed);
        Allocator allocator = new Allocator();
        for (int round = 0; round < 5; round++) {
            Map<String, Map<String, Double>> demand = new HashMap<>();
            for (int i = 0; i < 1 + random.nextInt(12); i++) {
                demand.put(
                        "n" + i,
                        new HashMap<>(
                                Map.of("t" + random.nextInt(4), random.nextDouble() * 30, "x", random.nextDouble())));
            }
            int capacity = random.nextInt(40);
            Allocation allocation = allocator.allocate(capacity, ShareRules.NONE, demand);
            assertTrue(demand.keySet().stream().mapToInt(allocation::nodeTotal).sum() <= capacity);
            allocation
                    .connectionsByNode()
                    .values()
                    .forEach(tenantShares -> assertEquals(
                            Math.rint(tenantShares.values().stream()
                                    .mapToDouble(amount -> amount)
                                    .sum()),
                            tenantShares.values().stream()
                                    .mapToDouble(amount -> amount)
                                    .sum(),
                            1e-6));
        }
    }

    @Test
    void rulesRoundTripAndAllErrorsAreReported() throws ShareRules.InvalidSharesException {
        ShareRules rules = rules("{'groups':[{'name':'g','weight':2,'tenants':[{'name':'a','classes':"
                + "[{'name':'view','weight':3}]}]}],'others':{'weight':0.5},'hunger_ms':900}");
        assertEquals("a/view", rules.quotaKey("a", "view"));
        assertEquals("a", rules.quotaKey("a", "file"));
        assertEquals("z", rules.quotaKey("z", "view"));
        assertEquals(rules, ShareRules.parse(rules.encode()));
        ShareRules.InvalidSharesException error = assertThrows(
                ShareRules.InvalidSharesException.class,
                () -> rules("{'groups':[{'name':'g','wait':2,"
                        + "'ceiling':1,'tenants':[{'name':'a','weight':-1},{'name':'a','floor':2}]}]}"));
        for (String part :
                new String[] {"groups[0].wait: unknown", "tenants[0].weight", "tenants[1].name", "groups[0].ceiling"}) {
            assertTrue(error.getMessage().contains(part), error.getMessage());
        }
        assertTrue(assertThrows(ShareRules.InvalidSharesException.class, () -> rules("{'groups':[,]}"))
                .getMessage()
                .contains("line 1, column 12"));
    }

    @Test
    void messagesRoundTripAndCorruptBytesAreRejected() throws IOException {
        QuotaLeaseMessage message = new QuotaLeaseMessage.Request(
                "tier-0", 3, 7, 6, 2, 2, 10, 800, 4, Map.of("a", new PoolUse(1.5, 1, 0, 20)));
        assertEquals(message, QuotaLeaseMessage.decode(QuotaLeaseMessage.encode(message)));
        QuotaLeaseMessage grant =
                new QuotaLeaseMessage.Grant("tier-0", 3, 7, 2, 1600, 100, 4, Map.of("a", 2.5, "b", 1.5));
        assertEquals(grant, QuotaLeaseMessage.decode(QuotaLeaseMessage.encode(grant)));
        Random random = new Random(9);
        for (int i = 0; i < 2000; i++) {
            byte[] corrupt = QuotaLeaseMessage.encode(grant);
            corrupt[random.nextInt(corrupt.length)] ^= (byte) (1 + random.nextInt(255));
            try {
                QuotaLeaseMessage.decode(corrupt);
            } catch (IOException e) {
                assertTrue(e.getMessage() != null);
            }
        }
    }
}

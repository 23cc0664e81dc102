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
        Random r = new Random(seed);
        int n = 1 + r.nextInt(8);
        double[] w = r.doubles(n, 0.1, 5).toArray();
        double[] wanted = r.doubles(n, 0, 20).toArray();
        double[] floors = Arrays.stream(wanted)
                .map(d -> r.nextBoolean() ? 0 : d * r.nextDouble() / n)
                .toArray();
        double amount = r.nextDouble() * 60;
        double[] x = WaterFilling.fill(amount, w, floors, wanted);
        assertEquals(
                Math.min(amount, Arrays.stream(wanted).sum()), Arrays.stream(x).sum(), 1e-6);
        if (Arrays.stream(floors).sum() >= amount) {
            return;
        }
        for (int i = 0; i < n; i++) {
            assertTrue(x[i] <= wanted[i] + 1e-9 && x[i] >= floors[i] - 1e-9);
            for (int j = 0; j < n; j++) {
                // One that wants more is no lower than one that is above its floor.
                assertTrue(x[i] >= wanted[i] - 1e-6 || x[j] <= floors[j] + 1e-6 || x[i] / w[i] >= x[j] / w[j] - 1e-6);
            }
        }
    }

    @Test
    void groupsAreDividedBeforeTenantsAndUnusedConnectionsAreLent() throws ShareRules.InvalidSharesException {
        ShareRules r = rules("{'groups':[{'name':'gold','weight':3,'tenants':[{'name':'a'},{'name':'b','weight':2}]},"
                + "{'name':'free','ceiling':30,'tenants':[{'name':'c','floor':5},{'name':'d'}]}]}");
        Allocation all =
                new Allocator().allocate(120, r, Map.of("n0", Map.of("a", 500.0, "b", 500.0, "c", 500.0, "d", 500.0)));
        assertEquals(30, all.tenants().get("a").allocated(), 1e-6);
        assertEquals(60, all.tenants().get("b").allocated(), 1e-6);
        assertEquals(15, all.tenants().get("c").allocated(), 1e-6);
        Allocation some = new Allocator().allocate(120, r, Map.of("n0", Map.of("a", 500.0, "b", 4.0, "c", 500.0)));
        assertEquals(30, some.tenants().get("c").allocated(), 1e-6);
        assertTrue(some.tenants().get("a").allocated() > 84, some::toString);
        assertTrue(
                some.loans().stream().anyMatch(l -> l.from().equals("b") && l.to().equals("a") && l.connections() > 50),
                some.loans()::toString);
    }

    @Test
    void manyTenantsGetWholeConnectionsAndTheirSharesOverTime() {
        Random r = new Random(5);
        Map<String, Map<String, Double>> demand = new HashMap<>();
        for (int node = 0; node < 100; node++) {
            Map<String, Double> of = new HashMap<>();
            for (int k = 0; k < 10; k++) {
                of.put("t" + (node * 10 + k), 5 + r.nextDouble() * 10);
            }
            demand.put("n" + node, of);
        }
        Allocator a = new Allocator();
        Map<String, Double> sums = new HashMap<>();
        for (int turn = 0; turn < 50; turn++) {
            Allocation x = a.allocate(1950, ShareRules.NONE, demand);
            assertEquals(1950, demand.keySet().stream().mapToInt(x::nodeTotal).sum());
            x.connectionsByNode().values().forEach(m -> m.forEach((t, d) -> sums.merge(t, d / 50, Double::sum)));
        }
        sums.forEach((t, d) -> assertEquals(1.95, d, 0.03, t));
    }

    @Property(tries = 300, seed = "29")
    void nodeTotalsNeverExceedCapacity(@ForAll long seed) {
        Random r = new Random(seed);
        Allocator a = new Allocator();
        for (int turn = 0; turn < 5; turn++) {
            Map<String, Map<String, Double>> demand = new HashMap<>();
            for (int i = 0; i < 1 + r.nextInt(12); i++) {
                demand.put(
                        "n" + i, new HashMap<>(Map.of("t" + r.nextInt(4), r.nextDouble() * 30, "x", r.nextDouble())));
            }
            int capacity = r.nextInt(40);
            Allocation x = a.allocate(capacity, ShareRules.NONE, demand);
            assertTrue(demand.keySet().stream().mapToInt(x::nodeTotal).sum() <= capacity);
            x.connectionsByNode()
                    .values()
                    .forEach(m -> assertEquals(
                            Math.rint(m.values().stream().mapToDouble(d -> d).sum()),
                            m.values().stream().mapToDouble(d -> d).sum(),
                            1e-6));
        }
    }

    @Test
    void rulesRoundTripAndAllErrorsAreReported() throws ShareRules.InvalidSharesException {
        ShareRules r = rules("{'groups':[{'name':'g','weight':2,'tenants':[{'name':'a','classes':"
                + "[{'name':'view','weight':3}]}]}],'others':{'weight':0.5},'hunger_ms':900}");
        assertEquals("a/view", r.quotaKey("a", "view"));
        assertEquals("a", r.quotaKey("a", "file"));
        assertEquals("z", r.quotaKey("z", "view"));
        assertEquals(r, ShareRules.parse(r.encode()));
        ShareRules.InvalidSharesException u = assertThrows(
                ShareRules.InvalidSharesException.class,
                () -> rules("{'groups':[{'name':'g','wait':2,"
                        + "'ceiling':1,'tenants':[{'name':'a','weight':-1},{'name':'a','floor':2}]}]}"));
        for (String part :
                new String[] {"groups[0].wait: unknown", "tenants[0].weight", "tenants[1].name", "groups[0].ceiling"}) {
            assertTrue(u.getMessage().contains(part), u.getMessage());
        }
        assertTrue(assertThrows(ShareRules.InvalidSharesException.class, () -> rules("{'groups':[,]}"))
                .getMessage()
                .contains("line 1, column 12"));
    }

    @Test
    void messagesRoundTripAndCorruptBytesAreRejected() throws IOException {
        QuotaLeaseMessage m = new QuotaLeaseMessage.Request(
                "tier-0", 3, 7, 6, 2, 2, 10, 800, 4, Map.of("a", new PoolUse(1.5, 1, 0, 20)));
        assertEquals(m, QuotaLeaseMessage.decode(QuotaLeaseMessage.encode(m)));
        QuotaLeaseMessage g = new QuotaLeaseMessage.Grant("tier-0", 3, 7, 2, 1600, 100, 4, Map.of("a", 2.5, "b", 1.5));
        assertEquals(g, QuotaLeaseMessage.decode(QuotaLeaseMessage.encode(g)));
        Random r = new Random(9);
        for (int i = 0; i < 2000; i++) {
            byte[] b = QuotaLeaseMessage.encode(g);
            b[r.nextInt(b.length)] ^= (byte) (1 + r.nextInt(255));
            try {
                QuotaLeaseMessage.decode(b);
            } catch (IOException e) {
                assertTrue(e.getMessage() != null);
            }
        }
    }
}

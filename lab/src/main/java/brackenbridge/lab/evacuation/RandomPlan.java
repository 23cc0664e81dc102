package brackenbridge.lab.evacuation;

import brackenbridge.fleet.evacuation.EvacuationPlan;
import brackenbridge.fleet.evacuation.ForecastSettings;
import brackenbridge.lab.random.Streams;
import brackenbridge.lab.world.World;
import brackenbridge.lab.world.World.ClassSpec;
import brackenbridge.lab.world.World.TierSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A fleet of zones that is drawn from an experiment's world, and a plan for one of them.
 *
 * @param world the experiment's world: servers' profiles, work, classes, clients
 * @param zones the zones' names
 * @param servers by tier, zone and kind
 * @param cores by tier and kind: cores as a multiple of the profile's
 * @param rates first tries a second from each zone
 * @param elsewhere the part of each zone's load that goes to other zones usually
 * @param tilt by zone: how much more or less than by slots it gets of moved load
 * @param plan the plan
 * @param slowKnown whether nodes have seen what a backlog does to servers
 * @param seed of the run
 */
record RandomPlan(
        World world,
        List<String> zones,
        int[][][] servers,
        int[][] cores,
        double[] rates,
        double elsewhere,
        double[] tilt,
        EvacuationPlan plan,
        boolean slowKnown,
        long seed) {
    static final int NODES_A_ZONE = 4;
    private static final double LEAST_FINAL = 0.6;
    private static final double MOST_FINAL = 1.6;

    /** The draw of this number and seed. */
    static RandomPlan of(String experiment, World world, long seed, int number) {
        long own = (experiment.hashCode() * 31L + seed) * 7919 + number;
        UniformRandomProvider r = new Streams(own).take();
        int zones = 3 + r.nextInt(2);
        List<String> names = new ArrayList<>();
        for (int z = 0; z < zones; z++) {
            names.add("zone-" + (char) ('a' + z));
        }
        int tiers = world.tiers().size();
        int[][][] servers = new int[tiers][zones][];
        int[][] cores = new int[tiers][];
        for (int t = 0; t < tiers; t++) {
            cores[t] = r.nextDouble() < 0.3 ? new int[] {1, 2} : new int[] {1};
            for (int z = 0; z < zones; z++) {
                double base = world.tiers().get(t).servers() / 3.0 * (0.6 + 0.8 * r.nextDouble());
                servers[t][z] = new int[cores[t].length];
                for (int k = 0; k < cores[t].length; k++) {
                    servers[t][z][k] = Math.max(2, (int) Math.round(base / cores[t].length / cores[t][k]));
                }
            }
        }
        double[] tilt = new double[zones];
        double[] rates = new double[zones];
        int leaves = r.nextInt(zones);
        for (int z = 0; z < zones; z++) {
            tilt[z] = 0.9 + 0.2 * r.nextDouble();
            rates[z] = capacity(world, servers, cores, z) * (0.3 + 0.35 * r.nextDouble());
        }
        // The zone that leaves is as large as brings the fullest of the others to what is wanted.
        double wanted = LEAST_FINAL + (MOST_FINAL - LEAST_FINAL) * r.nextDouble();
        double least = Double.POSITIVE_INFINITY;
        for (int z = 0; z < zones; z++) {
            if (z != leaves) {
                double room = Math.max(0.05, wanted * capacity(world, servers, cores, z) / rates[z] - 1) * rates[z];
                least = Math.min(least, room * beside(world, servers, cores, leaves) / slots(world, servers, cores, z));
            }
        }
        rates[leaves] = least;
        double grown = least / (capacity(world, servers, cores, leaves) * (0.4 + 0.3 * r.nextDouble()));
        for (int t = 0; t < tiers; t++) {
            for (int k = 0; k < cores[t].length; k++) {
                servers[t][leaves][k] = Math.max(2, (int) Math.ceil(servers[t][leaves][k] * grown));
            }
        }
        int n = 3 + r.nextInt(4);
        double[] parts = new double[n];
        double sum = 0;
        for (int i = 0; i < n; i++) {
            parts[i] = 0.5 + r.nextDouble();
            sum += parts[i];
        }
        List<EvacuationPlan.Step> steps = new ArrayList<>();
        double pause = 1000 * Math.round(6 + 6 * r.nextDouble());
        for (int i = 0; i < n; i++) {
            steps.add(new EvacuationPlan.Step(parts[i] / sum, pause));
        }
        EvacuationPlan plan =
                new EvacuationPlan("drawn-" + number, names.get(leaves), -1, steps, 0.1, 8000, List.of(), 0, List.of());
        return new RandomPlan(
                world,
                names,
                servers,
                cores,
                rates,
                r.nextDouble() < 0.5 ? 0 : 0.1,
                tilt,
                plan,
                r.nextDouble() < 0.7,
                own * 1_000_003);
    }

    /** First tries a second that a zone can do, by its narrowest tier. */
    private static double capacity(World world, int[][][] servers, int[][] cores, int zone) {
        double least = Double.POSITIVE_INFINITY;
        double calls = 1;
        for (int t = 0; t < servers.length; t++) {
            TierSpec tier = world.tiers().get(t);
            double all = 0;
            for (int k = 0; k < cores[t].length; k++) {
                all += servers[t][zone][k] * cores[t][k] * tier.profile().capacity();
            }
            least = Math.min(least, all / tier.work().mean() * 1000 / calls);
            calls *= tier.meanCalls();
        }
        return least;
    }

    private static double slots(World world, int[][][] servers, int[][] cores, int zone) {
        double all = 0;
        for (int k = 0; k < cores[0].length; k++) {
            all += servers[0][zone][k]
                    * cores[0][k]
                    * (double) world.tiers().get(0).profile().slots();
        }
        return all;
    }

    private static double beside(World world, int[][][] servers, int[][] cores, int leaves) {
        double all = 0;
        for (int z = 0; z < servers[0].length; z++) {
            all += z == leaves ? 0 : slots(world, servers, cores, z);
        }
        return all;
    }

    /** What the fleet's settings say. */
    ForecastSettings terms() {
        Map<String, ForecastSettings.ClassSettings> classes = new HashMap<>();
        double waits = (world.clients().tryLeast() + world.clients().tryMost()) / 2;
        for (ClassSpec c : world.classes()) {
            classes.put(c.name(), new ForecastSettings.ClassSettings(c.deadlineMs() * waits, !c.unsafe()));
        }
        return new ForecastSettings(
                world.tiers().stream().map(TierSpec::name).toList(),
                classes,
                world.limits().maxAttempts(),
                0.2,
                world.clients().retries() + 1,
                0.05,
                2000,
                15_000,
                0.01,
                20_000);
    }
}

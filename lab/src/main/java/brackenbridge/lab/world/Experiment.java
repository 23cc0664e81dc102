package brackenbridge.lab.world;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An experiment: a world, and what is varied and compared in it.
 *
 * @param name its name
 * @param about one line on what it shows
 * @param world the world
 * @param policies what decides; {@code module} is the project's own
 * @param sizes servers of the first tier, each a size of its own; empty for the world's own
 * @param serversPerNode servers of the first tier for each of its nodes, where sizes vary
 * @param loads parts of capacity; empty for the world's own
 * @param seeds the seeds
 * @param jars node jars that live runs compare; empty for the one that was built
 * @param variants other limits to compare, by name; empty for the world's own
 */
public record Experiment(
        String name,
        String about,
        World world,
        List<String> policies,
        List<Integer> sizes,
        double serversPerNode,
        List<Double> loads,
        List<Long> seeds,
        List<String> jars,
        Map<String, World.LimitSpec> variants) {

    /**
     * One run of it.
     *
     * @param number its place among all runs
     * @param policy what decides
     * @param label the policy's name, with the variant's where there are any
     * @param servers servers of the first tier
     * @param load the part of capacity, or the rate a second if that is told
     * @param seed its seed
     * @param world the world that it runs in
     */
    public record Run(int number, String policy, String label, int servers, double load, long seed, World world) {}

    /** Keeps its own copies. */
    public Experiment {
        policies = List.copyOf(policies);
        sizes = List.copyOf(sizes);
        loads = List.copyOf(loads);
        seeds = List.copyOf(seeds);
        jars = List.copyOf(jars);
        variants = Collections.unmodifiableMap(new LinkedHashMap<>(variants));
    }

    /** All runs, in the order in which their results are written. */
    public List<Run> runs() {
        List<Run> runs = new ArrayList<>();
        List<Integer> allSizes = sizes.isEmpty() ? List.of(0) : sizes;
        List<Double> allLoads = loads.isEmpty() ? List.of(0.0) : loads;
        Map<String, World.LimitSpec> allVariants = variants.isEmpty() ? Map.of("", world.limits()) : variants;
        for (int size : allSizes) {
            World sized = size == 0 ? world : sized(size);
            for (double load : allLoads) {
                World loaded = load == 0 ? sized : sized.at(sized.load().at(load));
                double told = loaded.load().perSecond() > 0
                        ? loaded.load().perSecond()
                        : loaded.load().ofCapacity();
                for (String policy : policies) {
                    for (Map.Entry<String, World.LimitSpec> v : allVariants.entrySet()) {
                        String label = v.getKey().isEmpty() ? policy : policy + "/" + v.getKey();
                        for (long seed : seeds) {
                            runs.add(new Run(
                                    runs.size(),
                                    policy,
                                    label,
                                    loaded.tiers().get(0).servers(),
                                    told,
                                    seed,
                                    loaded.under(v.getValue())));
                        }
                    }
                }
            }
        }
        return runs;
    }

    /** The world with so many servers in its first tier, the others and all nodes in proportion. */
    private World sized(int servers) {
        List<World.TierSpec> tiers = new ArrayList<>();
        int before = world.tiers().get(0).servers();
        for (World.TierSpec t : world.tiers()) {
            int scaled = Math.max(1, (int) Math.round((double) t.servers() * servers / before));
            int nodes = t.nodes() == 0 ? 0 : Math.max(1, (int) Math.round(scaled / serversPerNode));
            tiers.add(t.sized(scaled, nodes));
        }
        return world.sized(tiers);
    }

    /** The same with one seed. */
    public Experiment withSeed(long seed) {
        return new Experiment(
                name, about, world, policies, sizes, serversPerNode, loads, List.of(seed), jars, variants);
    }

    /** The same with other policies. */
    public Experiment withPolicies(List<String> others) {
        return new Experiment(name, about, world, others, sizes, serversPerNode, loads, seeds, jars, variants);
    }

    /** The same load at this rate, for this time after a warm-up, whatever the file says of them. */
    public Experiment withLoad(double perSecond, double seconds, double warmup) {
        World.LoadSpec l = world.load();
        World.LoadSpec told =
                new World.LoadSpec(0, perSecond, l.shape(), l.low(), l.periodMs(), l.burstMs(), l.traceMs());
        return new Experiment(
                name,
                about,
                world.at(told).lasting(warmup, seconds),
                policies,
                List.of(),
                serversPerNode,
                List.of(),
                seeds,
                jars,
                variants);
    }
}

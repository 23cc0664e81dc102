package brackenbridge.lab.fleet;

import brackenbridge.lab.world.Experiment;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A fleet and what goes wrong in it.
 *
 * @param name its name
 * @param about one line on what it shows
 * @param experiment the world that it runs in
 * @param faults the script
 * @param drawn what is drawn by the seed beside it; null if nothing is
 * @param servedLeast the part of the worth that must be served at the least
 */
public record FleetPlan(
        String name, String about, Experiment experiment, List<Fault> faults, Drawn drawn, double servedLeast) {
    /**
     * Faults drawn by the seed.
     *
     * @param count how many
     * @param links which links, by a name with {@code *}
     * @param kinds what may be wrong with them
     * @param processes which processes, by a name with {@code *}
     * @param blows what may strike them
     * @param fromMs the earliest beginning
     * @param untilMs the latest
     * @param longestMs the longest time
     */
    public record Drawn(
            int count,
            String links,
            List<LinkFault.Kind> kinds,
            String processes,
            List<Fault.Blow> blows,
            double fromMs,
            double untilMs,
            double longestMs) {
        /** What this seed draws, for these links ({@code a>b}) and processes. */
        List<Fault> faults(long seed, List<String> open, List<String> names) {
            List<Fault> all = new ArrayList<>();
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < count; i++) {
                double at = fromMs + random.nextDouble() * (untilMs - fromMs);
                double lasts = (0.1 + 0.9 * random.nextDouble()) * longestMs;
                int which = random.nextInt(kinds.size() + blows.size());
                if (which < kinds.size()) {
                    LinkFault fault =
                            new LinkFault(kinds.get(which), kinds.get(which).usual(), 0);
                    Fault any = new Fault(fault, null, links, List.of(), at, lasts);
                    one(
                            random,
                            open.stream()
                                    .filter(l -> any.strikes(
                                            l.substring(0, l.indexOf('>')), l.substring(l.indexOf('>') + 1)))
                                    .toList(),
                            l -> all.add(new Fault(fault, null, l, List.of(), at, lasts)));
                } else {
                    Fault.Blow blow = blows.get(which - kinds.size());
                    Fault any = new Fault(null, blow, processes, List.of(), at, lasts);
                    one(
                            random,
                            names.stream().filter(any::strikes).toList(),
                            n -> all.add(new Fault(null, blow, n, List.of(), at, lasts)));
                }
            }
            return all;
        }

        private static void one(SplittableRandom random, List<String> of, Consumer<String> taken) {
            if (!of.isEmpty()) {
                taken.accept(of.get(random.nextInt(of.size())));
            }
        }
    }

    /** Keeps its own copy. */
    public FleetPlan {
        faults = List.copyOf(faults);
    }

    /** The script with what the seed draws, for these links ({@code a>b}) and processes. */
    public List<Fault> faults(long seed, List<String> links, List<String> processes) {
        List<Fault> all = new ArrayList<>(faults);
        if (drawn != null) {
            all.addAll(drawn.faults(seed, links, processes));
        }
        return all;
    }
}

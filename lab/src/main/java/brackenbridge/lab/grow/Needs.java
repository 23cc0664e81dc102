package brackenbridge.lab.grow;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * What a node needed in one run, or in the mean over several.
 *
 * @param cpuSeconds processor time from the start of its process, user and system
 * @param memoryMb peak of its resident memory
 * @param descriptors most open descriptors
 * @param connections connections that servers accepted from it
 * @param listKb kilobytes that discovery wrote to it
 * @param servedShare the worth served as a part of what the requests could have earned
 */
public record Needs(
        double cpuSeconds, double memoryMb, double descriptors, double connections, double listKb, double servedShare) {
    /** The mean of each figure. */
    static Needs mean(List<Needs> all) {
        return new Needs(
                mean(all, Needs::cpuSeconds),
                mean(all, Needs::memoryMb),
                mean(all, Needs::descriptors),
                mean(all, Needs::connections),
                mean(all, Needs::listKb),
                mean(all, Needs::servedShare));
    }

    private static double mean(List<Needs> all, ToDoubleFunction<Needs> figure) {
        return all.stream().mapToDouble(figure).average().orElseThrow();
    }
}

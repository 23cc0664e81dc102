package brackenbridge.lab.grow;

/**
 * What a node needed in one run.
 *
 * @param cpuSeconds processor time from the start of its process, user and system
 * @param memoryMb peak of its resident memory
 * @param descriptors most open descriptors
 * @param connections connections that servers accepted from it
 * @param listKb kilobytes that discovery wrote to it
 * @param servedShare the worth served as a part of what the requests could have earned
 */
public record Needs(
        double cpuSeconds,
        double memoryMb,
        double descriptors,
        double connections,
        double listKb,
        double servedShare) {}

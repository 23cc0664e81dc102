package brackenbridge.lab.grow;

import java.util.function.ToDoubleFunction;

/** How far a need of a node may grow with the servers of its fleet, over the same run at the usual size. */
public enum Bound {
    /** Processor time. */
    CPU("CPU seconds", Needs::cpuSeconds, 1.4, 0.02, 0.12, false),
    /** Resident memory. */
    MEMORY("peak memory, MB", Needs::memoryMb, 1.5, 8, 4, false),
    /** Open descriptors. */
    DESCRIPTORS("descriptors", Needs::descriptors, 2, 40, 0, true),
    /** Connections made to servers. */
    CONNECTIONS("connections made", Needs::connections, 2.5, 40, 0, true),
    /** What discovery writes while it tells changes. */
    LISTS("lists, KB", Needs::listKb, 2, 64, 500, true),
    /** The share served, the only need that must not fall. */
    SERVED("share served", Needs::servedShare, 0.85, 0, 0, true);

    private static final double THOUSAND = 1000;

    private final String title;
    private final ToDoubleFunction<Needs> need;
    private final double factor;
    private final double plus;
    private final double plusPerThousand;
    private final boolean ofAnyMachine;

    Bound(
            String title,
            ToDoubleFunction<Needs> need,
            double factor,
            double plus,
            double plusPerThousand,
            boolean ofAnyMachine) {
        this.title = title;
        this.need = need;
        this.factor = factor;
        this.plus = plus;
        this.plusPerThousand = plusPerThousand;
        this.ofAnyMachine = ofAnyMachine;
    }

    /** What it bounds, with its unit. */
    public String title() {
        return title;
    }

    /** Whether the figure does not depend on the machine's speed. */
    public boolean ofAnyMachine() {
        return ofAnyMachine;
    }

    /** The figure that it bounds. */
    public double of(Needs needs) {
        return need.applyAsDouble(needs);
    }

    /** The bound for a fleet of so many servers. */
    public double limit(Needs atUsualSize, int servers) {
        return factor * of(atUsualSize) + plus + plusPerThousand * servers / THOUSAND;
    }

    /** Whether what a node needed before so many servers keeps to the bound. */
    public boolean holds(Needs atUsualSize, Needs needs, int servers) {
        double limit = limit(atUsualSize, servers);
        return this == SERVED ? of(needs) >= limit : of(needs) <= limit;
    }
}

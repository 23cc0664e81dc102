package brackenbridge.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What a scale test plays.
 *
 * @param name its name
 * @param nodes how many hollow nodes
 * @param services how many lists there are; node {@code i} belongs to service {@code i} modulo this
 * @param calls how many other services' lists a node subscribes to
 * @param tiers how many settings there are; each node follows one of them
 * @param regions regions, in order
 * @param nodesPerProcess hollow nodes that share a process at most
 * @param startMs within how long all nodes are started, in milliseconds
 * @param restMs for how long the fleet is measured at rest, in milliseconds
 * @param changes changes of resources
 * @param bounds what must hold
 * @param faults faults, in order of time
 */
public record ScalePlan(
        String name,
        int nodes,
        int services,
        int calls,
        int tiers,
        List<Region> regions,
        int nodesPerProcess,
        double startMs,
        double restMs,
        Changes changes,
        Bounds bounds,
        List<ScaleFault> faults) {

    /**
     * A region.
     *
     * @param name its name
     * @param zones its zones: its part of the nodes goes by their number
     * @param machines its control machines
     */
    public record Region(String name, int zones, int machines) {}

    /**
     * Changes of resources.
     *
     * @param lengthMs for how long they are made, in milliseconds
     * @param perSecond how many a second
     * @param bytes the size of a list and of settings
     * @param settingsPart the part of changes that go to settings, which many nodes follow
     */
    public record Changes(double lengthMs, double perSecond, int bytes, double settingsPart) {}

    /**
     * What must hold.
     *
     * @param inForceMs from a proposal until the last reachable node acts by it, in milliseconds
     * @param nodeCorePercent processor time of a node's control part, in hundredths of a core
     * @param nodeMemoryMb resident memory of a process with one hollow node, in MB
     * @param nodeKbPerSecond bytes in and out of a node's control connection, in KB a second
     * @param machineCorePercent processor time of a control machine, in hundredths of a core
     */
    public record Bounds(
            double inForceMs,
            double nodeCorePercent,
            double nodeMemoryMb,
            double nodeKbPerSecond,
            double machineCorePercent) {}

    /** Keeps its own copies. */
    public ScalePlan {
        regions = List.copyOf(regions);
        faults = List.copyOf(faults);
    }

    /** The same with another number of nodes. */
    public ScalePlan withNodes(int other) {
        return new ScalePlan(
                name,
                other,
                services,
                calls,
                tiers,
                regions,
                nodesPerProcess,
                startMs,
                restMs,
                changes,
                bounds,
                faults);
    }

    /** How many control machines there are. */
    public int machines() {
        return regions.stream().mapToInt(Region::machines).sum();
    }

    /** How many nodes each region has, by its zones; together all nodes. */
    public int[] nodesByRegion() {
        int zones = regions.stream().mapToInt(Region::zones).sum();
        int[] counts = new int[regions.size()];
        int zonesBefore = 0;
        int nodesBefore = 0;
        for (int i = 0; i < counts.length; i++) {
            zonesBefore += regions.get(i).zones();
            int until = (int) Math.round((double) nodes * zonesBefore / zones);
            counts[i] = until - nodesBefore;
            nodesBefore = until;
        }
        return counts;
    }

    /** The names of all resources: settings first, then lists. */
    public List<String> resources() {
        List<String> names = new ArrayList<>();
        for (int tier = 0; tier < tiers; tier++) {
            names.add(settings(tier));
        }
        for (int service = 0; service < services; service++) {
            names.add(list(service));
        }
        return names;
    }

    /** What a node subscribes to. */
    public static List<String> resourcesOf(int node, int services, int calls, int tiers, long seed) {
        SplittableRandom random = new SplittableRandom(seed * 1_000_003 + node);
        List<String> names = new ArrayList<>();
        names.add(settings(node % tiers));
        while (names.size() < 1 + Math.min(calls, services)) {
            String name = list(random.nextInt(services));
            if (!names.contains(name)) {
                names.add(name);
            }
        }
        return names;
    }

    private static String settings(int tier) {
        return "settings/tier-" + tier;
    }

    private static String list(int service) {
        return "list/service-" + service;
    }
}

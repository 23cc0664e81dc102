package brackenbridge.fleet.control;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * A control machine's report about the nodes that it serves. Control machines exchange their reports, so that each can
 * show the complete fleet.
 *
 * @param machine the machine's name
 * @param confirmed whether it holds a lease of the agreement
 * @param regions its nodes, grouped by region
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record MachineReport(String machine, boolean confirmed, List<RegionReport> regions) {
    /** Maximum number of outdated nodes listed per region; the others are only counted. */
    public static final int MAX_NAMED = 20;
    /** Maximum number of regions in a report. */
    public static final int MAX_REGIONS = 64;
    /** Maximum number of version counts per region. */
    public static final int MAX_VERSIONS = 256;

    /** Copies the list and checks its size. */
    public MachineReport {
        regions = List.copyOf(regions);
        if (regions.size() > MAX_REGIONS) {
            throw new IllegalArgumentException(regions.size() + " regions exceed the limit of " + MAX_REGIONS);
        }
    }

    /**
     * The nodes of a region at one machine.
     *
     * @param region the region
     * @param nodes number of connected nodes
     * @param current number of nodes that apply the newest version of all their resources
     * @param versions number of nodes per resource and applied version
     * @param behind some of the nodes that do not apply the newest version
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record RegionReport(
            String region, int nodes, int current, List<VersionCount> versions, List<NodeBehind> behind) {
        /** Copies the lists and checks their sizes. */
        public RegionReport {
            versions = List.copyOf(versions);
            behind = List.copyOf(behind);
            if (versions.size() > MAX_VERSIONS || behind.size() > MAX_NAMED) {
                throw new IllegalArgumentException(
                        versions.size() + " version counts and " + behind.size() + " outdated nodes exceed the limits");
            }
        }
    }

    /**
     * The number of nodes that apply a version.
     *
     * @param resource the resource
     * @param version the version; 0 for none
     * @param nodes number of nodes
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record VersionCount(String resource, long version, int nodes) {}

    /**
     * A node that does not apply the newest version of a resource.
     *
     * @param node the node
     * @param resource the resource
     * @param applied the applied version; 0 for none
     * @param newest the newest version known to the machine
     * @param reason why the node rejected a version; empty if it did not
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record NodeBehind(String node, String resource, long applied, long newest, String reason) {}
}

package brackenbridge.fleet.control;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What a control machine tells of the nodes that it serves; exchanged between control machines, so that each can show
 * the whole fleet.
 *
 * @param machine the machine
 * @param confirmed whether it holds a lease of the agreement
 * @param regions its nodes by their region
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record MachineReport(String machine, boolean confirmed, List<RegionReport> regions) {
    /** Nodes that are named for each region at most; the others are counted. */
    public static final int MAX_NAMED = 20;
    /** Regions in a report at most. */
    public static final int MAX_REGIONS = 64;
    /** Versions that are counted for each region at most. */
    public static final int MAX_VERSIONS = 256;

    /** Keeps its own copy, within bounds. */
    public MachineReport {
        regions = List.copyOf(regions);
        if (regions.size() > MAX_REGIONS) {
            throw new IllegalArgumentException(regions.size() + " regions");
        }
    }

    /**
     * The nodes of a region at one machine.
     *
     * @param region the region
     * @param nodes how many are connected
     * @param current how many act by the newest version of all that they subscribe to
     * @param versions how many nodes act by which version of which resource
     * @param behind nodes that don't act by the newest version, some of them
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record RegionReport(
            String region, int nodes, int current, List<VersionCount> versions, List<NodeBehind> behind) {
        /** Keeps its own copies, within bounds. */
        public RegionReport {
            versions = List.copyOf(versions);
            behind = List.copyOf(behind);
            if (versions.size() > MAX_VERSIONS || behind.size() > MAX_NAMED) {
                throw new IllegalArgumentException(versions.size() + " versions, " + behind.size() + " nodes named");
            }
        }
    }

    /**
     * How many nodes act by a version.
     *
     * @param resource the resource
     * @param version the version; 0 for none
     * @param nodes how many
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record VersionCount(String resource, long version, int nodes) {}

    /**
     * A node that does not act by the newest version of a resource.
     *
     * @param node the node
     * @param resource the resource
     * @param applied the version that it acts by; 0 for none
     * @param newest the newest that the machine knows
     * @param reason why the node refused a version; empty if it did not
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record NodeBehind(String node, String resource, long applied, long newest, String reason) {}
}

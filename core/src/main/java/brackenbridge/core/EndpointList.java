package brackenbridge.core;

import java.util.List;

/**
 * What discovery says of a target group: all of it, or what has changed in it.
 *
 * @param version the list's version
 * @param complete whether it is the complete list
 * @param endpoints its entries
 * @param unreadableHosts hosts that it names with something that can't be read: they stay as they were
 */
public record EndpointList(
        long version, boolean complete, List<ServerEndpoint> endpoints, List<String> unreadableHosts) {
    /** Keeps its own copies. */
    public EndpointList {
        endpoints = List.copyOf(endpoints);
        unreadableHosts = List.copyOf(unreadableHosts);
    }

    /** A list of which all was read. */
    public EndpointList(long seq, boolean whole, List<ServerEndpoint> targets) {
        this(seq, whole, targets, List.of());
    }
}

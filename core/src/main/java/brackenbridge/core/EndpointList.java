package brackenbridge.core;

import java.util.List;

/**
 * An endpoint list: the complete one, or the entries that have changed.
 *
 * @param version the list's version
 * @param complete whether it is the complete list
 * @param endpoints its entries
 * @param unreadableHosts hosts whose entries are unreadable: they stay as they were
 */
public record EndpointList(
        long version, boolean complete, List<ServerEndpoint> endpoints, List<String> malformedHosts) {
    /** Copies the lists. */
    public EndpointList {
        endpoints = List.copyOf(endpoints);
        malformedHosts = List.copyOf(malformedHosts);
    }

    /** A list without unreadable entries. */
    public EndpointList(long version, boolean complete, List<ServerEndpoint> endpoints) {
        this(version, complete, endpoints, List.of());
    }
}

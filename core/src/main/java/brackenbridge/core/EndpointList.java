package brackenbridge.core;

import java.util.List;

/**
 * An endpoint list: either complete or only the changed entries.
 *
 * @param version the list's version
 * @param complete whether it names all endpoints; otherwise only those that have changed
 * @param endpoints its entries
 * @param malformedHosts hosts whose entries are malformed: their previous entries stay in force
 */
public record EndpointList(
        long version, boolean complete, List<ServerEndpoint> endpoints, List<String> malformedHosts) {
    /** Copies the lists. */
    public EndpointList {
        endpoints = List.copyOf(endpoints);
        malformedHosts = List.copyOf(malformedHosts);
    }

    /** A list without malformed entries. */
    public EndpointList(long version, boolean complete, List<ServerEndpoint> endpoints) {
        this(version, complete, endpoints, List.of());
    }
}

package brackenbridge.core;

import java.util.List;

/**
 * What discovery says of a target group: all of it, or what has changed in it.
 *
 * @param seq the list's version
 * @param whole whether it is the complete list
 * @param targets its entries
 * @param unread hosts that it names with something that can't be read: they stay as they were
 */
public record EndpointList(long seq, boolean whole, List<ServerEndpoint> targets, List<String> unread) {
    /** Keeps its own copies. */
    public EndpointList {
        targets = List.copyOf(targets);
        unread = List.copyOf(unread);
    }

    /** A list of which all was read. */
    public EndpointList(long seq, boolean whole, List<ServerEndpoint> targets) {
        this(seq, whole, targets, List.of());
    }
}

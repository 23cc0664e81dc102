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
public record TargetGroup(long seq, boolean whole, List<Target> targets, List<String> unread) {
    /** Keeps its own copies. */
    public TargetGroup {
        targets = List.copyOf(targets);
        unread = List.copyOf(unread);
    }

    /** A list of which all was read. */
    public TargetGroup(long seq, boolean whole, List<Target> targets) {
        this(seq, whole, targets, List.of());
    }
}

package brackenbridge.core;

import java.util.List;

/**
 * What discovery says of a target group: all of it, or what has changed in it.
 *
 * @param seq the list's version
 * @param whole whether it is the complete list
 * @param targets its entries
 */
public record TargetGroup(long seq, boolean whole, List<Target> targets) {
    /** Keeps its own copy. */
    public TargetGroup {
        targets = List.copyOf(targets);
    }
}

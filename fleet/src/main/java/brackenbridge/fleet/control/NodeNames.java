package brackenbridge.fleet.control;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The nodes that may subscribe: names, or beginnings of names with {@code *} behind them. */
public final class NodeNames {
    private static final String ANY_END = "*";

    private final Set<String> names = new HashSet<>();
    private final List<String> beginnings;

    /** From the entries of the fleet's file. */
    public NodeNames(List<String> entries) {
        entries.stream().filter(entry -> !entry.endsWith(ANY_END)).forEach(names::add);
        beginnings = entries.stream()
                .filter(entry -> entry.endsWith(ANY_END))
                .map(entry -> entry.substring(0, entry.length() - ANY_END.length()))
                .toList();
    }

    /** Whether a node of this name may subscribe. */
    public boolean contains(String name) {
        return names.contains(name) || beginnings.stream().anyMatch(name::startsWith);
    }
}

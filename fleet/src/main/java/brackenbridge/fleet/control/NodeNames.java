package brackenbridge.fleet.control;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The nodes that may subscribe: names, or name prefixes followed by {@code *}. */
public final class NodeNames {
    private static final String WILDCARD = "*";

    private final Set<String> names = new HashSet<>();
    private final List<String> prefixes;

    /** Creates the set from the entries of the fleet file. */
    public NodeNames(List<String> entries) {
        entries.stream().filter(entry -> !entry.endsWith(WILDCARD)).forEach(names::add);
        prefixes = entries.stream()
                .filter(entry -> entry.endsWith(WILDCARD))
                .map(entry -> entry.substring(0, entry.length() - WILDCARD.length()))
                .toList();
    }

    /** Whether a node of this name may subscribe. */
    public boolean contains(String name) {
        return names.contains(name) || prefixes.stream().anyMatch(name::startsWith);
    }
}

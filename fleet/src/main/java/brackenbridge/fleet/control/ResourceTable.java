package brackenbridge.fleet.control;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The newest version of each resource known to a control machine. A version is never replaced by an older one. */
final class ResourceTable {
    private final Map<String, Resource> resources = new TreeMap<>();

    /** Stores a version if it is newer than the previous one; returns whether it is. */
    boolean offer(Resource resource) {
        Resource previous = resources.get(resource.name());
        if (previous != null && previous.version() >= resource.version()) {
            return false;
        }
        resources.put(resource.name(), resource);
        return true;
    }

    Optional<Resource> get(String name) {
        return Optional.ofNullable(resources.get(name));
    }

    /** The newest known version of a resource; 0 if none. */
    long version(String name) {
        return get(name).map(Resource::version).orElse(0L);
    }
}

package brackenbridge.fleet.control;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The newest version of each resource that a control machine knows. A version is never replaced by an older one. */
final class ResourceTable {
    private final Map<String, Resource> resources = new TreeMap<>();

    /** Takes a version; returns whether it is newer than the one before. */
    boolean offer(Resource resource) {
        Resource before = resources.get(resource.name());
        if (before != null && before.version() >= resource.version()) {
            return false;
        }
        resources.put(resource.name(), resource);
        return true;
    }

    Optional<Resource> get(String name) {
        return Optional.ofNullable(resources.get(name));
    }

    /** The version that is known of a name; 0 if none. */
    long version(String name) {
        return get(name).map(Resource::version).orElse(0L);
    }
}

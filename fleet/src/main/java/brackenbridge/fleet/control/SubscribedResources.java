package brackenbridge.fleet.control;

import brackenbridge.fleet.control.ControlMessage.Acknowledge;
import brackenbridge.fleet.control.ControlMessage.HeldVersion;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What a node has of the resources that it subscribes to. A version is taken only if it is newer than every version
 * received before, whichever machine sent it; one that the node can't use leaves the version before in place.
 */
final class SubscribedResources {
    /** Tries to act by a version. */
    @FunctionalInterface
    interface Applier {
        /** Returns why the version can't be used; empty if the node acts by it now. */
        Optional<String> apply(Resource resource);
    }

    private static final class Progress {
        private long received;
        private long applied;
    }

    private final Map<String, Progress> resources = new TreeMap<>();

    SubscribedResources(Collection<String> names) {
        names.forEach(name -> {
            Resource.checkName(name);
            resources.put(name, new Progress());
        });
        if (resources.size() > ControlMessage.MAX_RESOURCES) {
            throw new IllegalArgumentException(
                    resources.size() + " resources of at most " + ControlMessage.MAX_RESOURCES);
        }
    }

    /** Takes a version; returns what to tell the machine, or nothing for one that is old or was not asked for. */
    Optional<Acknowledge> offer(Resource resource, Applier applier) {
        Progress held = resources.get(resource.name());
        if (held == null || resource.version() <= held.received) {
            return Optional.empty();
        }
        held.received = resource.version();
        Optional<String> fault = applier.apply(resource);
        if (fault.isEmpty()) {
            held.applied = resource.version();
        }
        return Optional.of(new Acknowledge(
                resource.name(),
                resource.version(),
                fault.isEmpty(),
                fault.map(SubscribedResources::truncate).orElse("")));
    }

    private static String truncate(String reason) {
        return reason.substring(0, Math.min(reason.length(), ControlMessage.MAX_REASON_LENGTH));
    }

    /** The versions to resume from. */
    List<HeldVersion> versions() {
        List<HeldVersion> versions = new ArrayList<>();
        resources.forEach((name, held) -> versions.add(new HeldVersion(name, held.received, held.applied)));
        return versions;
    }

    /** The version of a resource that the node acts by; 0 if none. */
    long applied(String name) {
        Progress held = resources.get(name);
        return held == null ? 0 : held.applied;
    }
}

package brackenbridge.fleet.control;

import brackenbridge.fleet.control.ControlMessage.Acknowledge;
import brackenbridge.fleet.control.ControlMessage.ResumeVersion;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A node's versions of the resources that it subscribes to. A version is applied only if it is newer than every version
 * received before, whichever machine sent it; a rejected one leaves the previous version in force.
 */
final class SubscribedResources {
    /** Applies versions. */
    @FunctionalInterface
    interface Applier {
        /** Applies a version and returns empty, or returns why it is rejected. */
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
                    resources.size() + " resources exceed the limit of " + ControlMessage.MAX_RESOURCES);
        }
    }

    /** Processes a version; returns its acknowledgement, or empty if it is outdated or not subscribed to. */
    Optional<Acknowledge> offer(Resource resource, Applier applier) {
        Progress progress = resources.get(resource.name());
        if (progress == null || resource.version() <= progress.received) {
            return Optional.empty();
        }
        progress.received = resource.version();
        Optional<String> fault = applier.apply(resource);
        if (fault.isEmpty()) {
            progress.applied = resource.version();
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

    /** The versions from which a new connection resumes. */
    List<ResumeVersion> versions() {
        List<ResumeVersion> versions = new ArrayList<>();
        resources.forEach(
                (name, progress) -> versions.add(new ResumeVersion(name, progress.received, progress.applied)));
        return versions;
    }

    /** The applied version of a resource; 0 if none. */
    long applied(String name) {
        Progress progress = resources.get(name);
        return progress == null ? 0 : progress.applied;
    }
}

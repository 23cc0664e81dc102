package brackenbridge.fleet.control;

import brackenbridge.fleet.control.ControlMessage.Acknowledge;
import brackenbridge.fleet.control.ControlMessage.ResumeVersion;
import brackenbridge.fleet.control.ControlMessage.Subscribe;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A node's subscription at a control machine: the versions that were sent and the resources still to be sent. At most
 * one version of each resource is pending, the newest, so a slow reader costs no more memory than a fast one.
 *
 * <p>A resource is sent when the table has a newer version than the one that the node has received. A subscription
 * starts from the versions that the node reports, whichever machine it was connected to before: resuming needs no
 * history, and a machine that lags behind sends nothing.
 */
final class Subscription {
    /** The known versions of one resource at the node. */
    private static final class Progress {
        private long received;
        private long applied;
        private String rejectionReason = "";
    }

    private final Map<String, Progress> resources = new LinkedHashMap<>();
    private final Set<String> pending = new LinkedHashSet<>();

    /** Creates a subscription; resources of which the table has a newer version are pending at once. */
    Subscription(Subscribe request, ResourceTable table) {
        for (ResumeVersion resumeVersion : request.resources()) {
            Progress progress = new Progress();
            progress.received = resumeVersion.received();
            progress.applied = resumeVersion.applied();
            resources.put(resumeVersion.name(), progress);
            onResourceChanged(resumeVersion.name(), table);
        }
    }

    Set<String> names() {
        return resources.keySet();
    }

    /** Marks a resource as pending if the table has a newer version; returns whether it was newly marked. */
    boolean onResourceChanged(String name, ResourceTable table) {
        Progress progress = resources.get(name);
        if (progress == null || table.version(name) <= progress.received) {
            return false;
        }
        return pending.add(name);
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    /** Removes the next pending resource, at its newest version, and records it as received. */
    Optional<Resource> next(ResourceTable table) {
        Iterator<String> names = pending.iterator();
        while (names.hasNext()) {
            Optional<Resource> resource = table.get(names.next());
            names.remove();
            if (resource.isPresent()) {
                resources.get(resource.get().name()).received = resource.get().version();
                return resource;
            }
        }
        return Optional.empty();
    }

    /** Processes the acknowledgement of a version; one that was not sent, or is outdated, is ignored. */
    void onAcknowledge(Acknowledge acknowledge) {
        Progress progress = resources.get(acknowledge.name());
        if (progress == null
                || acknowledge.version() > progress.received
                || acknowledge.version() <= progress.applied) {
            return;
        }
        if (acknowledge.accepted()) {
            progress.applied = acknowledge.version();
        }
        progress.rejectionReason = acknowledge.reason();
    }

    /** The resources whose newest version the node does not apply yet. */
    List<Lag> behind(ResourceTable table) {
        List<Lag> behind = new ArrayList<>();
        resources.forEach((name, progress) -> {
            long newestVersion = table.version(name);
            if (progress.applied < newestVersion) {
                behind.add(new Lag(name, progress.applied, newestVersion, progress.rejectionReason));
            }
        });
        return behind;
    }

    /** The version that the node applies; 0 if none is known. */
    long applied(String name) {
        Progress progress = resources.get(name);
        return progress == null ? 0 : progress.applied;
    }

    /**
     * A resource whose newest version a node does not apply.
     *
     * @param name the resource
     * @param applied the version that the node applies
     * @param newest the newest version known to the machine
     * @param reason why the node rejected a version; empty if it did not
     */
    record Lag(String name, long applied, long newest, String reason) {}
}

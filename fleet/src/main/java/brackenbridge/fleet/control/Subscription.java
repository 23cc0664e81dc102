package brackenbridge.fleet.control;

import brackenbridge.fleet.control.ControlMessage.Acknowledge;
import brackenbridge.fleet.control.ControlMessage.HeldVersion;
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
 * One node's subscription at a control machine: what the node has been sent, and what is still to be sent. At most one
 * version of each resource waits, the newest, so a node that reads slowly costs no more memory than one that does not.
 *
 * <p>A resource is sent when the table has a newer version than the one that the node has received. The node's own
 * versions are the start, whichever machine it was connected to before: resuming needs no history, and a machine that
 * lags behind sends nothing.
 */
final class Subscription {
    /** What a node is known to have of one resource. */
    private static final class Progress {
        private long received;
        private long applied;
        private String rejectionReason = "";
    }

    private final Map<String, Progress> resources = new LinkedHashMap<>();
    private final Set<String> pending = new LinkedHashSet<>();

    /** A subscription that begins; what the table has newer is pending at once. */
    Subscription(Subscribe request, ResourceTable table) {
        for (HeldVersion held : request.resources()) {
            Progress progress = new Progress();
            progress.received = held.received();
            progress.applied = held.applied();
            resources.put(held.name(), progress);
            onResourceChanged(held.name(), table);
        }
    }

    Set<String> names() {
        return resources.keySet();
    }

    /** The table may have a newer version of this resource; returns whether something is to be sent now. */
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

    /** The next resource to write to the node, at its newest version; it counts as received from now on. */
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

    /** The node has taken or refused a version. One that was not sent, or that is older, changes nothing. */
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

    /** The resources by whose newest version the node does not act yet. */
    List<Lag> behind(ResourceTable table) {
        List<Lag> behind = new ArrayList<>();
        resources.forEach((name, progress) -> {
            long newest = table.version(name);
            if (progress.applied < newest) {
                behind.add(new Lag(name, progress.applied, newest, progress.rejectionReason));
            }
        });
        return behind;
    }

    /** The version that the node acts by; 0 if none is known. */
    long applied(String name) {
        Progress progress = resources.get(name);
        return progress == null ? 0 : progress.applied;
    }

    /**
     * A resource by whose newest version a node does not act.
     *
     * @param name the resource
     * @param applied the version that the node acts by
     * @param newest the newest that the machine knows
     * @param reason why the node refused a version; empty if it did not
     */
    record Lag(String name, long applied, long newest, String reason) {}
}

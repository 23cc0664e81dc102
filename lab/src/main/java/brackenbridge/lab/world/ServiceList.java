package brackenbridge.lab.world;

import brackenbridge.core.EndpointList;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What discovery lists of one tier, with the version at which each entry last changed. */
public final class ServiceList {
    private final Map<String, ServerEndpoint> listed = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private long seq = 1;

    /** The version. */
    public long seq() {
        return seq;
    }

    /** Lists an entry in the first version. */
    public void begin(ServerEndpoint t) {
        listed.put(t.host(), t);
        changedAt.put(t.host(), seq);
    }

    /** Lists a changed entry in a version of its own. */
    public void change(ServerEndpoint t) {
        seq++;
        listed.put(t.host(), t);
        changedAt.put(t.host(), seq);
    }

    /** All that is not gone. */
    public EndpointList whole() {
        return new EndpointList(
                seq,
                true,
                listed.values().stream()
                        .filter(t -> t.state() != EndpointState.REMOVED)
                        .toList());
    }

    /** What has changed since a version; all if the version is of before the first. */
    public EndpointList since(long version) {
        if (version < 0) {
            return whole();
        }
        List<ServerEndpoint> changes = new ArrayList<>();
        for (Map.Entry<String, Long> e : changedAt.entrySet()) {
            if (e.getValue() > version) {
                changes.add(listed.get(e.getKey()));
            }
        }
        return new EndpointList(seq, false, changes);
    }
}

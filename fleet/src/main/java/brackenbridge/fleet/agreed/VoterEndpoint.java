package brackenbridge.fleet.agreed;

import io.microraft.RaftEndpoint;
import java.util.Collection;
import java.util.List;

/**
 * A voter: a member together with its disk. The same member with another disk is another voter, so that the group never
 * relies on votes or log entries that were lost with the old disk.
 *
 * @param name the member
 * @param diskId the random id that the disk got when it was empty
 */
record VoterEndpoint(String name, String diskId) implements RaftEndpoint {
    private static final int MAX_LENGTH = 128;

    VoterEndpoint {
        if (name.isEmpty()
                || diskId.isEmpty()
                || name.length() > MAX_LENGTH
                || diskId.length() > MAX_LENGTH
                || name.indexOf('@') >= 0
                || diskId.indexOf('@') >= 0) {
            throw new IllegalArgumentException("malformed voter: '" + name + "@" + diskId + "'");
        }
    }

    static VoterEndpoint parse(String id) {
        int separator = id.indexOf('@');
        if (separator < 0) {
            throw new IllegalArgumentException("malformed voter: '" + id + "'");
        }
        return new VoterEndpoint(id.substring(0, separator), id.substring(separator + 1));
    }

    static List<String> ids(Collection<? extends RaftEndpoint> endpoints) {
        return endpoints.stream().map(endpoint -> (String) endpoint.getId()).toList();
    }

    @Override
    public Object getId() {
        return name + "@" + diskId;
    }

    @Override
    public String toString() {
        return name + "@" + diskId;
    }
}

package brackenbridge.fleet.agreed;

import io.microraft.RaftEndpoint;
import java.util.Collection;
import java.util.List;

/**
 * A voter: a member with the disk that it has. The same member with another disk is another voter, so that a vote or a
 * log entry that was lost with a disk is never counted on.
 *
 * @param name the member
 * @param disk the disk's number, drawn when it was empty
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
            throw new IllegalArgumentException("voter: " + name + "@" + diskId);
        }
    }

    static VoterEndpoint parse(String id) {
        int separator = id.indexOf('@');
        if (separator < 0) {
            throw new IllegalArgumentException("voter: " + id);
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

package brackenbridge.fleet.agreed;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * Decides whether a voter may take part in the Raft group, and as which voter. Other voters may rely on each vote and
 * entry that was forced to a disk, so a disk that is new, outdated or copied must never be taken for that disk.
 *
 * <ul>
 * <li>A voter is identified by its member and the id of its disk. The first voter of the settings bootstraps the Raft
 * group once, when all voters have responded and no member, voter or not, knows a group.
 * <li>A voter with an empty disk joins the group that the responses name: if its disk is one of the group's voters, as
 * that voter; otherwise it requests to replace its old disk, which the group decides by a membership change.
 * <li>A bootstrap voter waits for the responses of a majority. A disk that was replaced, or that another member has
 * seen at a later start, is put aside, and the voter continues with an empty one.
 * </ul>
 */
final class VoterAdmission {
    private VoterAdmission() {}

    /** The next step of a voter. */
    enum Step {
        /** Wait for further responses. */
        WAIT,
        /** Bootstrap the group with the voters that have responded. */
        BOOTSTRAP,
        /** Start as one of the group's voters. */
        START,
        /** Start, and request to replace the old disk. */
        JOIN,
        /** Put the disk aside and treat it as lost: it is outdated, copied or was replaced. */
        PUT_ASIDE,
        /** Members follow different Raft groups: operators must decide which disks to keep. */
        SPLIT
    }

    /**
     * The voter's own state.
     *
     * @param startCount the number of starts with its disk
     * @param bootstrapVoters the bootstrap voters of the Raft group stored on its disk; empty if none
     * @param joining whether it has requested to replace its old disk and does not know yet that it was accepted
     * @param joinLogIndex the log index of the membership change that made it a voter; 0 at the bootstrap
     */
    record LocalVoter(
            VoterEndpoint endpoint,
            long startCount,
            long incarnation,
            List<String> bootstrapVoters,
            boolean joining,
            long joinLogIndex) {}

    /** The bootstrap voters stored on the disk, or else those in the responses; empty if none are known. */
    static List<String> bootstrapVoters(LocalVoter self, Map<String, AgreementMessage.HelloResponse> responses) {
        return !self.bootstrapVoters().isEmpty()
                ? self.bootstrapVoters()
                : responses.values().stream()
                        .map(AgreementMessage.HelloResponse::bootstrapVoters)
                        .filter(bootstrapVoters -> !bootstrapVoters.isEmpty())
                        .findFirst()
                        .orElse(List.of());
    }

    /** Decides the next step by the responses received so far. */
    static Step nextStep(LocalVoter self, List<String> voters, Map<String, AgreementMessage.HelloResponse> responses) {
        String endpoint = self.endpoint().toString();
        List<String> bootstrapVoters = bootstrapVoters(self, responses);
        String groupId = bootstrapVoters.isEmpty() ? "" : groupId(bootstrapVoters);
        boolean split = responses.values().stream()
                .anyMatch(response -> !response.bootstrapVoters().isEmpty()
                                && !response.bootstrapVoters().equals(bootstrapVoters)
                        || !response.followedGroup().isEmpty()
                                && !response.followedGroup().equals(groupId));
        if (split) {
            return Step.SPLIT;
        }
        long voterResponses =
                responses.keySet().stream().filter(voters::contains).count();
        if (bootstrapVoters.isEmpty()) {
            return voters.get(0).equals(self.endpoint().name()) && voterResponses == voters.size() - 1
                    ? Step.BOOTSTRAP
                    : Step.WAIT;
        }
        for (AgreementMessage.HelloResponse response : responses.values()) {
            boolean later = response.lastSeenDiskId().equals(self.endpoint().diskId())
                    && (response.lastSeenStartCount() > self.startCount()
                            || response.lastSeenStartCount() == self.startCount()
                                    && response.lastSeenIncarnation() != self.incarnation());
            boolean replaced = !self.bootstrapVoters().isEmpty()
                    && !self.joining()
                    && response.membersLogIndex() > self.joinLogIndex()
                    && !response.members().contains(endpoint);
            if (later || replaced) {
                return Step.PUT_ASIDE;
            }
        }
        boolean isVoter = self.bootstrapVoters().isEmpty() ? bootstrapVoters.contains(endpoint) : !self.joining();
        return !isVoter ? Step.JOIN : voterResponses < voters.size() / 2 ? Step.WAIT : Step.START;
    }

    /** The id of the Raft group: a hash of the bootstrap voters, including their disk ids. */
    static String groupId(List<String> bootstrapVoters) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256")
                    .digest(String.join(",", bootstrapVoters).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}

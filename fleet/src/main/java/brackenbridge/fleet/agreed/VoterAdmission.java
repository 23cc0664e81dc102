package brackenbridge.fleet.agreed;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * Whether a voter may take part, and as who. A vote or an entry that was forced to a disk may have been counted on by
 * the others; so a disk that is new, old or copied must never pass for the one that they counted on.
 *
 * <ul>
 * <li>A voter is a member with the number of its disk. The first voter of the settings bootstraps the Raft group,
 * once: when all voters are there and no member, voter or not, knows of a group.
 * <li>A voter with an empty disk joins the group that it hears of: as one of its voters if its disk is one of them,
 * else it asks to take its old disk's place, which the others decide by a change of members.
 * <li>A bootstrap voter waits until a majority has told what it knows. A disk that was replaced, or that was
 * heard of with a later start, is put aside; it comes back as an empty one.
 * </ul>
 */
final class VoterAdmission {
    private VoterAdmission() {}

    /** What to do. */
    enum Step {
        /** Ask on. */
        WAIT,
        /** Bootstrap the group with the voters that were heard of. */
        BOOTSTRAP,
        /** Take part as one of the bootstrap voters. */
        START,
        /** Ask for the old disk's place. */
        JOIN,
        /** This disk is old, copied or was replaced: it counts as lost. */
        PUT_ASIDE,
        /** Members follow different Raft groups: operators must decide which disks to keep. */
        SPLIT
    }

    /**
     * What a voter knows of itself.
     *
     * @param bootstrapVoters the bootstrap voters of the group that its disk takes part in; empty if none
     * @param joining whether it has asked for its old disk's place and is not known to have it yet
     * @param since the change of members by which it became one; 0 at the bootstrap
     */
    record LocalVoter(
            VoterEndpoint endpoint,
            long startCount,
            long incarnation,
            List<String> bootstrapVoters,
            boolean joining,
            long joinLogIndex) {}

    /** The bootstrap voters by the disk or else by the answers; empty if none are known. */
    static List<String> bootstrapVoters(LocalVoter self, Map<String, AgreementMessage.HelloResponse> responses) {
        return !self.bootstrapVoters().isEmpty()
                ? self.bootstrapVoters()
                : responses.values().stream()
                        .map(AgreementMessage.HelloResponse::bootstrapVoters)
                        .filter(response -> !response.isEmpty())
                        .findFirst()
                        .orElse(List.of());
    }

    /** The next step, by the answers that have come. */
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

    /** The Raft group's id: the same for the same bootstrap voters with the same disks. */
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

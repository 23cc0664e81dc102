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
 * <li>A voter is a member with the number of its disk. The first voter of the file founds, once: when all voters are
 * there and nobody, voter or not, knows of a founding.
 * <li>A voter with an empty disk joins the founding that it hears of: as one of its voters if its disk is one of them,
 * else it asks to take its old disk's place, which the others decide by a change of members.
 * <li>A voter of the founding waits until a majority has told what it knows. A disk that was replaced, or that was
 * heard of with a later start, is put aside; it comes back as an empty one.
 * </ul>
 */
final class VoterAdmission {
    private VoterAdmission() {}

    /** What to do. */
    enum Step {
        /** Ask on. */
        WAIT,
        /** Found with the voters that were heard of. */
        FOUND,
        /** Take part as one of the founding's voters. */
        START,
        /** Ask for the old disk's place. */
        JOIN,
        /** This disk is old, copied or was replaced: it counts as lost. */
        PUT_ASIDE,
        /** Members follow different foundings: staff must decide which disks to keep. */
        TORN
    }

    /**
     * What a voter knows of itself.
     *
     * @param founding the founding that its disk takes part in; empty if none
     * @param joining whether it has asked for its old disk's place and is not known to have it yet
     * @param since the change of members by which it became one; 0 for the founding
     */
    record Self(VoterEndpoint endpoint, long starts, long life, List<String> founding, boolean joining, long since) {}

    /** The founding among the answers and on the disk; empty if there is none. */
    static List<String> founding(Self self, Map<String, AgreementMessage.Facts> answers) {
        return !self.founding().isEmpty()
                ? self.founding()
                : answers.values().stream()
                        .map(AgreementMessage.Facts::founding)
                        .filter(f -> !f.isEmpty())
                        .findFirst()
                        .orElse(List.of());
    }

    /** The next step, by the answers that have come. */
    static Step step(Self self, List<String> voters, Map<String, AgreementMessage.Facts> answers) {
        String me = self.endpoint().toString();
        List<String> founding = founding(self, answers);
        String id = founding.isEmpty() ? "" : id(founding);
        boolean torn = answers.values().stream()
                .anyMatch(f -> !f.founding().isEmpty() && !f.founding().equals(founding)
                        || !f.follows().isEmpty() && !f.follows().equals(id));
        if (torn) {
            return Step.TORN;
        }
        long heard = answers.keySet().stream().filter(voters::contains).count();
        if (founding.isEmpty()) {
            return voters.get(0).equals(self.endpoint().name()) && heard == voters.size() - 1 ? Step.FOUND : Step.WAIT;
        }
        for (AgreementMessage.Facts f : answers.values()) {
            boolean later = f.seenDisk().equals(self.endpoint().disk())
                    && (f.seenStarts() > self.starts()
                            || f.seenStarts() == self.starts() && f.seenLife() != self.life());
            boolean replaced = !self.founding().isEmpty()
                    && !self.joining()
                    && f.membersSince() > self.since()
                    && !f.members().contains(me);
            if (later || replaced) {
                return Step.PUT_ASIDE;
            }
        }
        boolean as = self.founding().isEmpty() ? founding.contains(me) : !self.joining();
        return !as ? Step.JOIN : heard < voters.size() / 2 ? Step.WAIT : Step.START;
    }

    /** A founding's number: the same for the same voters with the same disks. */
    static String id(List<String> founding) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256")
                    .digest(String.join(",", founding).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}

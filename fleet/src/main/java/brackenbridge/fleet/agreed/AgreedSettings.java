package brackenbridge.fleet.agreed;

import brackenbridge.core.generation.LeaseTerms;
import brackenbridge.fleet.peer.Member;
import java.util.List;

/**
 * How the members agree; the same at each of them, but for the seed.
 *
 * @param fleet the fleet's name: a disk of another one is refused
 * @param voters the names of those who vote, an odd number, in the order of the fleet's file; the first founds
 * @param terms the terms of leases
 * @param beatMs how often the leader is heard of by the other voters, in milliseconds
 * @param patienceBeats after how many beats without one the voters look for another leader
 * @param maxRoleMs the longest lease of a role, in milliseconds
 * @param seed seeds the jitter of elections and questions
 */
public record AgreedSettings(
        String fleet,
        List<String> voters,
        LeaseTerms leaseTerms,
        double heartbeatMs,
        int leaderTimeoutHeartbeats,
        double maxRoleLeaseMs,
        long seed) {
    /** Most voters that are taken from a file: more make each decision slower and none safer. */
    public static final int MAX_VOTERS = 5;

    /** What can't be kept is rejected with an {@link IllegalArgumentException}. */
    public AgreedSettings {
        voters = List.copyOf(voters);
        if (fleet.isBlank() || fleet.length() > 64) {
            throw new IllegalArgumentException("fleet: " + fleet);
        }
        if (voters.isEmpty() || voters.size() > 7 || voters.stream().distinct().count() != voters.size()) {
            throw new IllegalArgumentException("voters: " + voters);
        }
        if (!(heartbeatMs >= 10 && heartbeatMs <= 1000)
                || leaderTimeoutHeartbeats < 3
                || leaderTimeoutHeartbeats > 100) {
            throw new IllegalArgumentException(
                    "beatMs: " + heartbeatMs + ", patienceBeats: " + leaderTimeoutHeartbeats);
        }
        if (!(maxRoleLeaseMs > 0 && maxRoleLeaseMs <= 600_000)) {
            throw new IllegalArgumentException("maxRoleMs: " + maxRoleLeaseMs);
        }
    }

    /** The usual terms: leases of 1.6 s at 1% of drift, beats of 150 ms of which five may be missed. */
    public static AgreedSettings withDefaults(String fleet, List<Member> members, long seed) {
        return new AgreedSettings(fleet, voters(members), new LeaseTerms(1600, 0.01), 150, 5, 10_000, seed);
    }

    /** Who votes: the first members of the file, the largest odd number up to {@link #MOST_VOTERS}. */
    public static List<String> voters(List<Member> members) {
        int count = Math.min(MAX_VOTERS, members.size());
        return members.stream()
                .map(Member::name)
                .limit(count % 2 == 0 ? count - 1 : count)
                .toList();
    }
}

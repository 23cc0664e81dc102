package brackenbridge.fleet.agreed;

import brackenbridge.core.generation.LeaseTerms;
import brackenbridge.fleet.peer.Member;
import java.util.List;

/**
 * Settings of the agreement; the same at all members except for the seed.
 *
 * @param fleet the fleet's name; a disk of another fleet is rejected
 * @param voters the names of the voters, an odd number, in the order of the fleet file; the first one bootstraps
 * @param leaseTerms the terms of leases
 * @param heartbeatMs interval of the leader's heartbeats, in milliseconds
 * @param leaderTimeoutHeartbeats number of missed heartbeats after which the voters elect another leader
 * @param maxRoleLeaseMs the longest lease of a role, in milliseconds
 * @param seed seeds the jitter of elections and lease requests
 */
public record AgreedSettings(
        String fleet,
        List<String> voters,
        LeaseTerms leaseTerms,
        double heartbeatMs,
        int leaderTimeoutHeartbeats,
        double maxRoleLeaseMs,
        long seed) {
    /** Maximum number of voters taken from a fleet file: more of them slow down each decision and add no safety. */
    public static final int MAX_VOTERS = 5;

    /** Rejects values out of range with an {@link IllegalArgumentException}. */
    public AgreedSettings {
        voters = List.copyOf(voters);
        if (fleet.isBlank() || fleet.length() > 64) {
            throw new IllegalArgumentException("fleet name must have 1 to 64 characters: '" + fleet + "'");
        }
        if (voters.isEmpty() || voters.size() > 7 || voters.stream().distinct().count() != voters.size()) {
            throw new IllegalArgumentException("voters must be 1 to 7 distinct names: " + voters);
        }
        if (!(heartbeatMs >= 10 && heartbeatMs <= 1000)
                || leaderTimeoutHeartbeats < 3
                || leaderTimeoutHeartbeats > 100) {
            throw new IllegalArgumentException("heartbeatMs must be 10 to 1000: " + heartbeatMs
                    + "; leaderTimeoutHeartbeats must be 3 to 100: " + leaderTimeoutHeartbeats);
        }
        if (!(maxRoleLeaseMs > 0 && maxRoleLeaseMs <= 600_000)) {
            throw new IllegalArgumentException("maxRoleLeaseMs must be above 0 and at most 600000: " + maxRoleLeaseMs);
        }
    }

    /** The default settings: leases of 1.6 s at 1% drift, heartbeats of 150 ms, five of which may be missed. */
    public static AgreedSettings withDefaults(String fleet, List<Member> members, long seed) {
        return new AgreedSettings(fleet, voters(members), new LeaseTerms(1600, 0.01), 150, 5, 10_000, seed);
    }

    /** Selects the voters: the first members of the file, the largest odd number up to {@link #MAX_VOTERS}. */
    public static List<String> voters(List<Member> members) {
        int count = Math.min(MAX_VOTERS, members.size());
        return members.stream()
                .map(Member::name)
                .limit(count % 2 == 0 ? count - 1 : count)
                .toList();
    }
}

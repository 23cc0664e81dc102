package brackenbridge.lab.fleet;

import brackenbridge.lab.fleet.check.Promise;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * A fleet of members that share state, what is asked of them, what goes wrong and what they promise.
 *
 * @param name its name
 * @param about one line on what it shows
 * @param count how many members
 * @param zones their zones, by turns
 * @param command the command line of a member, with {@code {java} {classes} {name} {zone} {listen} {peers} {disk}}
 * @param load what is asked of them
 * @param settleMs how long they are left alone after the last fault and the load, in milliseconds
 * @param faults the script
 * @param drawn what is drawn by the seed beside it; null if nothing is
 * @param promises what is checked, by kind
 */
public record MembersPlan(
        String name,
        String about,
        int count,
        List<String> zones,
        List<String> command,
        Load load,
        double settleMs,
        List<Fault> faults,
        FleetPlan.Drawn drawn,
        Map<String, Promise> promises) {
    /**
     * What is asked of the members.
     *
     * @param lengthMs for how long, in milliseconds
     * @param writes own records written a second by each member
     * @param keys how many records each has of its own
     * @param adds additions to sums a second by each member
     * @param sums how many sums there are
     * @param proposals proposals a second, by any member
     * @param role a role that all ask for; empty if none is asked for
     * @param lines further lines that each member is told at the beginning
     */
    public record Load(
            double lengthMs,
            double writes,
            int keys,
            double adds,
            int sums,
            double proposals,
            String role,
            List<String> lines) {}

    /** Keeps its own copies. */
    public MembersPlan {
        zones = List.copyOf(zones);
        command = List.copyOf(command);
        faults = List.copyOf(faults);
    }

    /** The names of its members. */
    public List<String> members() {
        return IntStream.range(0, count).mapToObj(i -> "m" + i).toList();
    }

    /** The names of all links between them. */
    public List<String> links() {
        return members().stream()
                .flatMap(a -> members().stream().filter(b -> !b.equals(a)).map(b -> a + ">" + b))
                .toList();
    }

    /** The script with what the seed draws. */
    public List<Fault> faults(long seed) {
        return new FleetPlan(name, about, null, faults, drawn, 0).faults(seed, links(), members());
    }
}

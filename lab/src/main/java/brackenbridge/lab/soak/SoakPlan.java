package brackenbridge.lab.soak;

import brackenbridge.lab.world.World;
import java.util.List;

/**
 * All that a seed decides of a play.
 *
 * @param seed the seed
 * @param kind what it is mostly about
 * @param world classes, servers, discovery, and their troubles
 * @param descriptors the node's limit on descriptors
 * @param crowd idle clients
 * @param steps what is done to the node, in order of time
 * @param clients the clients, by how they behave
 * @param longBodyClients how many clients send long bodies or get long answers
 */
public record SoakPlan(
        long seed,
        SoakKind kind,
        World world,
        int descriptors,
        int crowd,
        List<SoakStep> steps,
        List<ClientHabit> clients,
        int longBodyClients) {
    /** The longest deadline that a stop waits for. */
    private static final double MAX_STOP_DEADLINE_MS = 3000;
    /** What a stop has beyond the longest deadline. */
    private static final double STOP_MARGIN_MS = 700;

    /** Keeps its own copies. */
    public SoakPlan {
        steps = List.copyOf(steps);
        clients = List.copyOf(clients);
    }

    /** How long after SIGTERM the platform sends SIGKILL at the earliest, in milliseconds. */
    public double killAfterMs() {
        return Math.min(longestDeadlineMs(), MAX_STOP_DEADLINE_MS) + STOP_MARGIN_MS;
    }

    /** The longest deadline of all classes, in milliseconds. */
    public double longestDeadlineMs() {
        return world.classes().stream()
                .mapToDouble(World.ClassSpec::deadlineMs)
                .max()
                .orElseThrow();
    }
}

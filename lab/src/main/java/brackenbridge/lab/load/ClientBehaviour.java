package brackenbridge.lab.load;

import brackenbridge.lab.rules.RuleChecker.Answer;
import brackenbridge.lab.stats.Scoreboard.End;
import brackenbridge.lab.world.World;
import org.apache.commons.rng.UniformRandomProvider;

/** What clients do when they are not served: try again after a pause, heed advice, or go away. */
public final class ClientBehaviour {
    /** Advice is followed so much later at the most, so that clients do not all come back at once. */
    private static final double SPREAD = 0.1;

    private static final int DOUBLINGS = 10;

    private final World.ClientSpec spec;
    private final UniformRandomProvider random;

    /**
     * What comes next.
     *
     * @param end the request has ended so; null if it is tried again
     * @param waitMs the pause before the next try
     */
    public record Next(End end, double waitMs) {}

    /** Drawn from this stream. */
    public ClientBehaviour(World.ClientSpec spec, UniformRandomProvider random) {
        this.spec = spec;
        this.random = random;
    }

    /** Whether the next client heeds advice. */
    public boolean heeds() {
        return random.nextDouble() < spec.heed();
    }

    /** After what time the next client goes away; infinite if it waits its deadline out. */
    public double leavesAfter(double deadlineMs) {
        return random.nextDouble() < spec.impatient() ? random.nextDouble() * deadlineMs : Double.POSITIVE_INFINITY;
    }

    /** How long the next try waits for its answer. */
    public double tryLasts(double deadlineMs) {
        double part =
                spec.tryLeast() >= 1 ? 1 : spec.tryLeast() + (spec.tryMost() - spec.tryLeast()) * random.nextDouble();
        return part * deadlineMs;
    }

    /** Whether the next request comes on a connection kept from before. */
    public boolean keepsConnection() {
        return random.nextDouble() < spec.keepAlive();
    }

    /**
     * A try has ended without being served.
     *
     * @param answer how it was answered; null if the node was gone
     * @param taken whether a node had taken it
     * @param tries tries made so far
     * @param retryAfterMs the node's advice; 0 for none
     */
    public Next afterFailure(
            Answer answer,
            boolean taken,
            boolean unsafe,
            int tries,
            boolean heeds,
            double retryAfterMs,
            double nowMs,
            double deadlineMs) {
        boolean mayRepeat = !unsafe || answer == Answer.REFUSED || answer == null && !taken;
        double wait = spec.backoffMs() * (1 << Math.min(DOUBLINGS, tries - 1)) * (0.5 + random.nextDouble());
        if (heeds && retryAfterMs > 0) {
            wait = Math.max(wait, retryAfterMs * (1 + SPREAD * random.nextDouble()));
        }
        if (mayRepeat && tries <= spec.retries() && nowMs + wait < deadlineMs) {
            return new Next(null, wait);
        }
        return new Next(answer == Answer.REFUSED ? End.REFUSED : nowMs > deadlineMs ? End.UNANSWERED : End.FAILED, 0);
    }
}

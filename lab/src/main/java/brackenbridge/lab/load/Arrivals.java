package brackenbridge.lab.load;

import brackenbridge.lab.world.Trouble;
import brackenbridge.lab.world.World;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The times at which requests are due: a Poisson process whose rate follows the load's shape, or a recorded trace.
 * Nothing that servers do moves them (open loop). A varying rate is drawn by thinning (Lewis and Shedler, 1979).
 */
public final class Arrivals {
    private final World.LoadSpec load;
    private final double ratePerMs;
    private final double lengthMs;
    private final List<Trouble> bursts;
    private final double most;
    private final UniformRandomProvider random;
    private final ContinuousSampler gap;
    private final double riseMs;
    private double at;
    private int traced;

    /** The arrivals of a world, drawn from this stream. */
    public Arrivals(World world, UniformRandomProvider random) {
        this(world, random, 0);
    }

    /** The same, rising from little to the full rate at first, while real programs warm up. */
    public Arrivals(World world, UniformRandomProvider random, double riseMs) {
        this.riseMs = riseMs;
        this.load = world.load();
        this.random = random;
        this.ratePerMs = world.ratePerSecond() / 1000;
        this.lengthMs = world.seconds() * 1000;
        this.bursts = world.troubles().stream()
                .filter(t -> t.kind() == Trouble.Kind.BURST)
                .toList();
        double factor = 1;
        for (Trouble t : bursts) {
            factor *= Math.max(1, t.amount());
        }
        this.most = ratePerMs * factor;
        this.gap = most > 0 && Double.isFinite(most) ? ZigguratSampler.Exponential.of(random, 1 / most) : null;
    }

    /** The next time, in milliseconds from the start; infinite after the last. */
    public double next() {
        if (load.shape() == World.Shape.TRACE) {
            double t = traced < load.traceMs().size() ? load.traceMs().get(traced++) : Double.POSITIVE_INFINITY;
            return t < lengthMs ? t : Double.POSITIVE_INFINITY;
        }
        if (gap == null) {
            return Double.POSITIVE_INFINITY;
        }
        while (true) {
            at += gap.sample();
            if (at >= lengthMs) {
                return Double.POSITIVE_INFINITY;
            }
            if (random.nextDouble() * most < rate(at)) {
                return at;
            }
        }
    }

    /** Requests a millisecond at this time. */
    double rate(double ms) {
        double rate = ratePerMs
                * switch (load.shape()) {
                    case RAMP -> load.low() + (1 - load.low()) * ms / lengthMs;
                    case STEPS -> (long) (ms / load.periodMs()) % 2 == 0 ? load.low() : 1;
                    case BURSTS -> ms % load.periodMs() < load.burstMs() ? 1 : load.low();
                    default -> 1;
                };
        if (ms < riseMs) {
            rate *= 0.1 + 0.9 * ms / riseMs;
        }
        for (Trouble t : bursts) {
            if (ms >= t.atMs() && ms < t.endMs()) {
                rate *= t.amount();
            }
        }
        return rate;
    }
}

package brackenbridge.fleet.evacuation;

import brackenbridge.core.share.ZoneWeights;
import java.util.Map;
import java.util.Optional;

/**
 * A node's side: which orders it follows. One of an earlier driver, or of an earlier record of the same driver, is
 * passed over, however late it comes. Plain; from one thread.
 */
public final class CommandFilter {
    private final double drift;
    private ZoneWeights last = new ZoneWeights(0, 0, Map.of(), 0);

    /** At a node whose clock's rate is off by this part at the most. */
    public CommandFilter(double drift) {
        this.drift = drift;
    }

    /** An order has come; what holds from now on, or nothing if it is passed over. */
    public Optional<ZoneWeights> accept(WeightCommand o, double nowMs) {
        if (o.token() < last.driverToken() || o.token() == last.driverToken() && o.epoch() < last.epoch()) {
            return Optional.empty();
        }
        last = new ZoneWeights(o.token(), o.epoch(), o.parts(), nowMs + o.forMs() * (1 - drift));
        return Optional.of(last);
    }

    /** The part of its usual load that a zone has at this moment. */
    public double part(String zone, double nowMs) {
        return nowMs < last.untilMs() ? last.weights().getOrDefault(zone, 1.0) : 1;
    }

    /** What was told last. */
    public ZoneWeights last() {
        return last;
    }
}

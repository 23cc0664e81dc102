package brackenbridge.fleet.evacuation;

import brackenbridge.core.share.ZoneWeights;
import java.util.Map;
import java.util.Optional;

/**
 * A node's side: which orders it follows. One of an earlier driver, or of an earlier record of the same driver, is
 * passed over, however late it comes. Plain; from one thread.
 */
public final class CommandFilter {
    private final double clockDrift;
    private ZoneWeights lastAccepted = new ZoneWeights(0, 0, Map.of(), 0);

    /** At a node whose clock's rate is off by this part at the most. */
    public CommandFilter(double clockDrift) {
        this.clockDrift = clockDrift;
    }

    /** An order has come; what holds from now on, or nothing if it is passed over. */
    public Optional<ZoneWeights> accept(WeightCommand command, double nowMs) {
        if (command.token() < lastAccepted.driverToken()
                || command.token() == lastAccepted.driverToken() && command.epoch() < lastAccepted.epoch()) {
            return Optional.empty();
        }
        lastAccepted = new ZoneWeights(
                command.token(), command.epoch(), command.weights(), nowMs + command.validForMs() * (1 - clockDrift));
        return Optional.of(lastAccepted);
    }

    /** The part of its usual load that a zone has at this moment. */
    public double weight(String zone, double nowMs) {
        return nowMs < lastAccepted.untilMs() ? lastAccepted.weights().getOrDefault(zone, 1.0) : 1;
    }

    /** What was told last. */
    public ZoneWeights lastAccepted() {
        return lastAccepted;
    }
}

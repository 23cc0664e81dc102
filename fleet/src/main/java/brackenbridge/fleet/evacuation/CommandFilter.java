package brackenbridge.fleet.evacuation;

import brackenbridge.core.share.ZoneWeights;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which of an evacuation driver's commands a node follows. A command of an earlier driver, or one that follows
 * from an earlier agreed record of the same driver, is ignored, however late it arrives. Not thread-safe.
 */
public final class CommandFilter {
    private final double clockDrift;
    private ZoneWeights lastAccepted = new ZoneWeights(0, 0, Map.of(), 0);

    /** Creates a filter for a node whose clock rate is off by at most the fraction {@code clockDrift}. */
    public CommandFilter(double clockDrift) {
        this.clockDrift = clockDrift;
    }

    /** Returns the zone weights in force from now on, or empty if the command is outdated and ignored. */
    public Optional<ZoneWeights> accept(WeightCommand command, double nowMs) {
        if (command.token() < lastAccepted.driverToken()
                || command.token() == lastAccepted.driverToken() && command.epoch() < lastAccepted.epoch()) {
            return Optional.empty();
        }
        lastAccepted = new ZoneWeights(
                command.token(), command.epoch(), command.weights(), nowMs + command.validForMs() * (1 - clockDrift));
        return Optional.of(lastAccepted);
    }

    /** Returns the fraction of its usual load that a zone keeps at this time; 1 once the last command has expired. */
    public double weight(String zone, double nowMs) {
        return nowMs < lastAccepted.expiresAtMs() ? lastAccepted.weights().getOrDefault(zone, 1.0) : 1;
    }

    /** Returns the weights of the last accepted command. */
    public ZoneWeights lastAccepted() {
        return lastAccepted;
    }
}

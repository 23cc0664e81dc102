package brackenbridge.fleet.evacuation;

import java.util.List;
import java.util.Map;

/**
 * What a forecast takes as given: the fleet's settings, not what is observed.
 *
 * @param tiers the tiers' names, the one that clients call first
 * @param classes the classes by name
 * @param attempts tries of a call at a node, at most
 * @param budget what further tries at a node may add, as a part of first tries
 * @param clientTries tries of a client, at most
 * @param failing a pool saturates once this part of the tries that come to it fails for want of room or time ...
 * @param windowMs ... over so long
 * @param freshMs a record whose owner was not heard of for longer is not acted on
 * @param drift the part by which clocks' rates may be off
 * @param halfLifeMs after what time an observation counts half
 */
public record ForecastSettings(
        List<String> tiers,
        Map<String, ClassSettings> classes,
        int maxAttempts,
        double retryBudget,
        int maxClientAttempts,
        double saturationFailureRatio,
        double saturationWindowMs,
        double maxRecordAgeMs,
        double clockDrift,
        double halfLifeMs) {
    /**
     * A class.
     *
     * @param deadlineMs the time that a try of its client waits
     * @param repeatable whether it may be tried again after it may have run
     */
    public record ClassSettings(double deadlineMs, boolean idempotent) {}

    /** Keeps its own copies; rejects what no fleet could be. */
    public ForecastSettings {
        tiers = List.copyOf(tiers);
        classes = Map.copyOf(classes);
        if (tiers.isEmpty()
                || maxAttempts < 1
                || maxClientAttempts < 1
                || !(retryBudget >= 0)
                || !(saturationFailureRatio > 0 && saturationFailureRatio < 1)
                || !(saturationWindowMs > 0)
                || !(maxRecordAgeMs > 0)
                || !(clockDrift >= 0 && clockDrift < 0.5)
                || !(halfLifeMs > 0)) {
            throw new IllegalArgumentException("terms out of bounds");
        }
    }

    /** The usual figures for these tiers and classes. */
    public static ForecastSettings withDefaults(List<String> tiers, Map<String, ClassSettings> classes) {
        return new ForecastSettings(tiers, classes, 3, 0.2, 3, 0.05, 2000, 15_000, 0.01, 20_000);
    }

    /** The time that a try of this class waits; a class that is not named waits as long as the longest. */
    double deadlineMs(String className) {
        ClassSettings settings = classes.get(className);
        return settings != null
                ? settings.deadlineMs()
                : classes.values().stream()
                        .mapToDouble(ClassSettings::deadlineMs)
                        .max()
                        .orElse(10_000);
    }

    boolean isIdempotent(String className) {
        ClassSettings settings = classes.get(className);
        return settings == null || settings.idempotent();
    }
}

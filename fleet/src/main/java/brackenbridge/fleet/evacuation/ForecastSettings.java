package brackenbridge.fleet.evacuation;

import java.util.List;
import java.util.Map;

/**
 * The configured inputs of a forecast, as opposed to the observed ones.
 *
 * @param tiers the names of the tiers, starting with the one that clients call
 * @param classes the request classes by name
 * @param maxAttempts the maximum number of attempts of a request at a node
 * @param retryBudget the most that a node's retries may add, as a fraction of first attempts
 * @param maxClientAttempts the maximum number of attempts of a client
 * @param saturationFailureRatio a pool saturates once this fraction of its attempts fails for lack of resources or time
 * @param saturationWindowMs the time window of that fraction
 * @param maxRecordAgeMs a record whose owner has not confirmed it for longer is not used
 * @param clockDrift the largest relative error of a clock's rate
 * @param halfLifeMs the age at which an observation's weight has halved
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
     * The settings of a request class.
     *
     * @param deadlineMs how long a client waits for one attempt
     * @param idempotent whether a request that may have run may be retried
     */
    public record ClassSettings(double deadlineMs, boolean idempotent) {}

    /** Copies the collections; rejects impossible values. */
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
            throw new IllegalArgumentException("forecast settings out of bounds");
        }
    }

    /** Returns the default settings for these tiers and classes. */
    public static ForecastSettings withDefaults(List<String> tiers, Map<String, ClassSettings> classes) {
        return new ForecastSettings(tiers, classes, 3, 0.2, 3, 0.05, 2000, 15_000, 0.01, 20_000);
    }

    /** Returns the deadline of a class; an unknown class has the longest deadline of all. */
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

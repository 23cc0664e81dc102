package brackenbridge.fleet.evacuation;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A plan to evacuate a zone. Fractions refer to the zone's usual load; times are in milliseconds.
 *
 * @param name the plan's name
 * @param zone the zone to evacuate
 * @param startDayMs the start as a time of day (UTC); negative to start at once
 * @param steps the fractions to move, one after the other; together they move all of the load
 * @param rehearsalFraction the fraction that a rehearsal moves
 * @param rehearsalMs how long a rehearsal lasts
 * @param returnSteps how the load returns when an operator requests it or after {@code returnAfterMs}; empty to return
 *     all of it at once
 * @param returnAfterMs the time after which the load returns without a request; 0 to return only on request
 * @param addedServers servers that are added to pools during the evacuation
 */
@JsonIgnoreProperties(ignoreUnknown = false)
public record EvacuationPlan(
        @JsonProperty("name") String name,
        @JsonProperty("zone") String zone,
        @JsonProperty("startDayMs") double startDayMs,
        @JsonProperty("steps") List<Step> steps,
        @JsonProperty("rehearsalPart") double rehearsalFraction,
        @JsonProperty("rehearsalMs") double rehearsalMs,
        @JsonProperty("back") List<Step> returnSteps,
        @JsonProperty("backAfterMs") double returnAfterMs,
        @JsonProperty("comes") List<AddedServers> addedServers) {
    /** The largest number of steps and of added servers' entries: the plan has to fit into an agreed record. */
    public static final int MAX_ENTRIES = 64;

    private static final double MAX_DURATION_MS = 24 * 3_600_000.0;
    private static final double ROUNDING = 1e-6;

    /**
     * One step of the plan.
     *
     * @param fraction the fraction of the zone's usual load that the step moves
     * @param pauseMs the time before the next step
     */
    public record Step(
            @JsonProperty("part") double fraction,
            @JsonProperty("pauseMs") double pauseMs) {}

    /**
     * Servers that are added to a pool.
     *
     * @param pool the pool
     * @param servers the number of servers, of the pool's kind; they start cold
     * @param afterMs when they start, after the start of the first step
     */
    public record AddedServers(
            @JsonProperty("pool") PoolName pool,
            @JsonProperty("servers") int servers,
            @JsonProperty("afterMs") double afterMs) {}

    /** Copies the lists; an absent list becomes empty. */
    public EvacuationPlan {
        steps = steps == null ? List.of() : List.copyOf(steps);
        returnSteps = returnSteps == null ? List.of() : List.copyOf(returnSteps);
        addedServers = addedServers == null ? List.of() : List.copyOf(addedServers);
    }

    /** Returns a plan of equal steps whose rehearsal moves 5% of the load for eight seconds. */
    public static EvacuationPlan withEvenSteps(String name, String zone, int stepCount, double pauseMs) {
        List<Step> equalSteps = new ArrayList<>();
        for (int i = 0; i < stepCount; i++) {
            equalSteps.add(new Step(1.0 / stepCount, pauseMs));
        }
        return new EvacuationPlan(name, zone, -1, equalSteps, 0.05, 8000, List.of(), 0, List.of());
    }

    /** Returns the same plan with other steps. */
    public EvacuationPlan withSteps(List<Step> newSteps) {
        return new EvacuationPlan(
                name,
                zone,
                startDayMs,
                newSteps,
                rehearsalFraction,
                rehearsalMs,
                returnSteps,
                returnAfterMs,
                addedServers);
    }

    /** Returns the fraction that is moved once this number of steps has begun. */
    public double movedFraction(int stepsBegun) {
        double sum = 0;
        for (int i = 0; i < Math.min(stepsBegun, steps.size()); i++) {
            sum += steps.get(i).fraction();
        }
        return Math.min(1, sum);
    }

    /** Returns the fraction that is still moved once this number of return steps has begun. */
    public double movedFractionDuringReturn(int returnStepsBegun) {
        if (returnStepsBegun > 0 && returnStepsBegun >= returnSteps.size()) {
            return 0;
        }
        double sum = movedFraction(steps.size());
        for (int i = 0; i < returnStepsBegun; i++) {
            sum -= returnSteps.get(i).fraction();
        }
        return Math.max(0, sum);
    }

    /** Returns the time from the start of the first step to the end of the last one. */
    public double durationMs() {
        return steps.stream().mapToDouble(Step::pauseMs).sum();
    }

    /** Returns everything that makes the plan invalid for a fleet with these pools; empty if it is valid. */
    public List<String> validationErrors(Collection<PoolName> pools) {
        List<String> errors = new ArrayList<>();
        Set<String> zones = new TreeSet<>();
        pools.forEach(p -> zones.add(p.zone()));
        if (name == null || !name.matches("[A-Za-z0-9._-]{1,64}")) {
            errors.add("name: must be 1 to 64 letters, digits, dots, dashes or underscores");
        }
        if (zone == null || !zones.contains(zone)) {
            errors.add("zone: unknown zone " + zone + "; the zones are " + zones);
        } else {
            Set<String> tiersOnlyInZone = new TreeSet<>();
            pools.stream().filter(p -> p.zone().equals(zone)).forEach(p -> tiersOnlyInZone.add(p.tier()));
            pools.stream().filter(p -> !p.zone().equals(zone)).forEach(p -> tiersOnlyInZone.remove(p.tier()));
            if (zones.size() == 1) {
                errors.add("zone: " + zone + " is the last one of the fleet");
            } else if (!tiersOnlyInZone.isEmpty()) {
                errors.add("zone: " + zone + " is the last one with " + tiersOnlyInZone);
            }
        }
        validateSteps("steps", steps, errors);
        if (steps.isEmpty()) {
            errors.add("steps: must not be empty");
        } else if (steps.size() <= MAX_ENTRIES && Math.abs(totalFraction(steps) - 1) > ROUNDING) {
            errors.add("steps: move " + round(totalFraction(steps)) + " of the load, not all of it");
        }
        validateSteps("back", returnSteps, errors);
        if (!returnSteps.isEmpty() && Math.abs(totalFraction(returnSteps) - 1) > ROUNDING) {
            errors.add("back: return " + round(totalFraction(returnSteps)) + " of the load, not all of it");
        }
        if (!(rehearsalFraction > 0 && rehearsalFraction <= 0.5)) {
            errors.add("rehearsalPart: must be greater than 0 and at most 0.5");
        }
        if (!(rehearsalMs >= 1000 && rehearsalMs <= 600_000)) {
            errors.add("rehearsalMs: must be between one second and ten minutes");
        }
        if (!(startDayMs < MAX_DURATION_MS) || Double.isNaN(startDayMs)) {
            errors.add("startDayMs: must be a time of day, or negative");
        }
        if (!(returnAfterMs >= 0 && returnAfterMs <= MAX_DURATION_MS)) {
            errors.add("backAfterMs: must be between 0 and one day");
        }
        if (addedServers.size() > MAX_ENTRIES) {
            errors.add("comes: more than " + MAX_ENTRIES + " entries");
        }
        for (AddedServers added : addedServers) {
            if (added.pool() == null || !pools.contains(added.pool())) {
                errors.add("comes: unknown pool " + added.pool());
            } else if (added.pool().zone().equals(zone)) {
                errors.add("comes: " + added.pool() + " is in the zone to be evacuated");
            }
            if (added.servers() < 1
                    || added.servers() > 10_000
                    || !(added.afterMs() >= 0 && added.afterMs() <= MAX_DURATION_MS)) {
                errors.add("comes: must be 1 to 10000 servers that start within one day");
            }
        }
        return errors;
    }

    private static void validateSteps(String key, List<Step> steps, List<String> errors) {
        if (steps.size() > MAX_ENTRIES) {
            errors.add(key + ": more than " + MAX_ENTRIES + " steps");
        }
        for (int i = 0; i < Math.min(MAX_ENTRIES, steps.size()); i++) {
            Step step = steps.get(i);
            if (!(step.fraction() > 0 && step.fraction() <= 1 + ROUNDING)) {
                errors.add(key + "[" + i + "].part: must be greater than 0 and at most 1");
            }
            if (!(step.pauseMs() >= 1000 && step.pauseMs() <= MAX_DURATION_MS)) {
                errors.add(key + "[" + i + "].pauseMs: must be between one second and one day");
            }
        }
    }

    private static double totalFraction(List<Step> steps) {
        return steps.stream().mapToDouble(Step::fraction).sum();
    }

    private static double round(double v) {
        return Math.round(v * 1000) / 1000.0;
    }
}

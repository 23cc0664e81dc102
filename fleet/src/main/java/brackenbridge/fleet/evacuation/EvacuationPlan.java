package brackenbridge.fleet.evacuation;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A plan to empty a zone. Parts are of the zone's usual load; times in milliseconds.
 *
 * @param name its name
 * @param zone the zone to be emptied
 * @param startDayMs when, as a time of the day (UTC); negative if at once
 * @param steps what is moved, one after the other; together all of the load
 * @param rehearsalPart what a rehearsal moves
 * @param rehearsalMs for how long
 * @param back how the load comes back, once staff say so or after {@code backAfterMs}; empty if at once
 * @param backAfterMs after what time it comes back by itself; 0 if only when staff say so
 * @param comes servers that come to pools meanwhile
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
    /** Steps and pools that a plan may name: it travels in an agreed record. */
    public static final int MAX_ENTRIES = 64;

    private static final double MAX_DURATION_MS = 24 * 3_600_000.0;
    private static final double ROUNDING = 1e-6;

    /**
     * A step.
     *
     * @param part the part of the zone's usual load that it moves
     * @param pauseMs how long it is held before the next
     */
    public record Step(
            @JsonProperty("part") double fraction,
            @JsonProperty("pauseMs") double pauseMs) {}

    /**
     * Servers that come.
     *
     * @param pool where
     * @param servers how many, of the pool's sort, cold
     * @param afterMs after the first step's begin
     */
    public record AddedServers(
            @JsonProperty("pool") PoolName pool,
            @JsonProperty("servers") int servers,
            @JsonProperty("afterMs") double afterMs) {}

    /** Keeps its own copies; what is absent is empty. */
    public EvacuationPlan {
        steps = steps == null ? List.of() : List.copyOf(steps);
        returnSteps = returnSteps == null ? List.of() : List.copyOf(returnSteps);
        addedServers = addedServers == null ? List.of() : List.copyOf(addedServers);
    }

    /** A plan of equal steps, rehearsed with a twentieth of the load for eight seconds. */
    public static EvacuationPlan withEvenSteps(String name, String zone, int stepCount, double pauseMs) {
        List<Step> equalSteps = new ArrayList<>();
        for (int i = 0; i < stepCount; i++) {
            equalSteps.add(new Step(1.0 / stepCount, pauseMs));
        }
        return new EvacuationPlan(name, zone, -1, equalSteps, 0.05, 8000, List.of(), 0, List.of());
    }

    /** The same plan with other steps. */
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

    /** The part that is moved once so many steps have begun. */
    public double movedFraction(int stepsBegun) {
        double sum = 0;
        for (int i = 0; i < Math.min(stepsBegun, steps.size()); i++) {
            sum += steps.get(i).fraction();
        }
        return Math.min(1, sum);
    }

    /** The part that is still moved once so many steps back have begun. */
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

    /** From the first step's begin to the last one's end. */
    public double durationMs() {
        return steps.stream().mapToDouble(Step::pauseMs).sum();
    }

    /** All that is wrong with it, for a fleet of these pools; empty if nothing is. */
    public List<String> validationErrors(Collection<PoolName> pools) {
        List<String> errors = new ArrayList<>();
        Set<String> zones = new TreeSet<>();
        pools.forEach(p -> zones.add(p.zone()));
        if (name == null || !name.matches("[A-Za-z0-9._-]{1,64}")) {
            errors.add("name: 1 to 64 letters, digits, dots, dashes or underscores");
        }
        if (zone == null || !zones.contains(zone)) {
            errors.add("zone: there is no zone " + zone + "; there are " + zones);
        } else {
            Set<String> tiersOnlyInZone = new TreeSet<>();
            pools.stream().filter(p -> p.zone().equals(zone)).forEach(p -> tiersOnlyInZone.add(p.tier()));
            pools.stream().filter(p -> !p.zone().equals(zone)).forEach(p -> tiersOnlyInZone.remove(p.tier()));
            if (zones.size() == 1) {
                errors.add("zone: " + zone + " is the last one");
            } else if (!tiersOnlyInZone.isEmpty()) {
                errors.add("zone: " + zone + " is the last one with " + tiersOnlyInZone);
            }
        }
        steps("steps", steps, errors);
        if (steps.isEmpty()) {
            errors.add("steps: none");
        } else if (steps.size() <= MAX_ENTRIES && Math.abs(totalFraction(steps) - 1) > ROUNDING) {
            errors.add("steps: they move " + round(totalFraction(steps)) + " of the load, not all of it");
        }
        steps("back", returnSteps, errors);
        if (!returnSteps.isEmpty() && Math.abs(totalFraction(returnSteps) - 1) > ROUNDING) {
            errors.add("back: they bring back " + round(totalFraction(returnSteps)) + " of the load, not all of it");
        }
        if (!(rehearsalFraction > 0 && rehearsalFraction <= 0.5)) {
            errors.add("rehearsalPart: above 0, at most 0.5");
        }
        if (!(rehearsalMs >= 1000 && rehearsalMs <= 600_000)) {
            errors.add("rehearsalMs: from a second to ten minutes");
        }
        if (!(startDayMs < MAX_DURATION_MS) || Double.isNaN(startDayMs)) {
            errors.add("startDayMs: a time of the day, or negative");
        }
        if (!(returnAfterMs >= 0 && returnAfterMs <= MAX_DURATION_MS)) {
            errors.add("backAfterMs: from 0 to a day");
        }
        if (addedServers.size() > MAX_ENTRIES) {
            errors.add("comes: more than " + MAX_ENTRIES);
        }
        for (AddedServers added : addedServers) {
            if (added.pool() == null || !pools.contains(added.pool())) {
                errors.add("comes: there is no pool " + added.pool());
            } else if (added.pool().zone().equals(zone)) {
                errors.add("comes: " + added.pool() + " is in the zone that is emptied");
            }
            if (added.servers() < 1
                    || added.servers() > 10_000
                    || !(added.afterMs() >= 0 && added.afterMs() <= MAX_DURATION_MS)) {
                errors.add("comes: 1 to 10000 servers, within a day");
            }
        }
        return errors;
    }

    private static void steps(String key, List<Step> steps, List<String> errors) {
        if (steps.size() > MAX_ENTRIES) {
            errors.add(key + ": more than " + MAX_ENTRIES);
        }
        for (int i = 0; i < Math.min(MAX_ENTRIES, steps.size()); i++) {
            Step step = steps.get(i);
            if (!(step.fraction() > 0 && step.fraction() <= 1 + ROUNDING)) {
                errors.add(key + "[" + i + "].part: above 0, at most 1");
            }
            if (!(step.pauseMs() >= 1000 && step.pauseMs() <= MAX_DURATION_MS)) {
                errors.add(key + "[" + i + "].pauseMs: from a second to a day");
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

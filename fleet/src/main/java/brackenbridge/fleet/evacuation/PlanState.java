package brackenbridge.fleet.evacuation;

import brackenbridge.fleet.evacuation.Forecast.Interval;
import brackenbridge.fleet.evacuation.Forecast.Verdict;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The agreed record of the one plan that there is. What nodes are told follows from it alone, so whoever drives it does
 * the same, also twice.
 *
 * @param plan the plan
 * @param status where it stands
 * @param step the step that is held now, from 0, while load is moved or comes back
 * @param foretold what the forecast said, by pool
 * @param verdict the forecast's verdict
 * @param override staff said that it is carried out although no rehearsal passed
 * @param token of whoever wrote it last as its driver; 0 if staff did
 * @param history what became of it, the latest last; bounded
 */
public record PlanState(
        @JsonProperty("plan") EvacuationPlan plan,
        @JsonProperty("status") EvacuationStatus status,
        @JsonProperty("step") int step,
        @JsonProperty("foretold") List<PoolPrediction> predictions,
        @JsonProperty("verdict") Verdict verdict,
        @JsonProperty("override") boolean override,
        @JsonProperty("token") long token,
        @JsonProperty("history") List<HistoryEntry> history) {
    /** Pools whose figures an agreed record carries. */
    public static final int MAX_POOLS = 128;

    private static final int MAX_HISTORY = 100;
    private static final int MAX_BYTES = 4 << 20;
    private static final ObjectMapper JSON = new ObjectMapper(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(20)
                            .maxStringLength(10_000)
                            .maxDocumentLength(MAX_BYTES)
                            .build())
                    .build())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, true);

    /**
     * What was foretold of a pool.
     *
     * @param pool its name
     * @param servers the servers for which it was
     * @param before tries a second before anything was moved
     * @param rehearsal tries a second while the rehearsal holds
     * @param steps tries a second while each step holds
     */
    public record PoolPrediction(
            @JsonProperty("pool") PoolName pool,
            @JsonProperty("servers") int servers,
            @JsonProperty("before") double baselineRate,
            @JsonProperty("rehearsal") Interval rehearsal,
            @JsonProperty("steps") List<Interval> steps) {}

    /**
     * What has happened.
     *
     * @param status what it became
     * @param step the step
     * @param by who did it
     * @param why the reason
     */
    public record HistoryEntry(
            @JsonProperty("status") EvacuationStatus status,
            @JsonProperty("step") int step,
            @JsonProperty("by") String actor,
            @JsonProperty("why") String reason) {}

    /** Keeps its own copies, and the latest of its history. */
    public PlanState {
        predictions = predictions == null ? List.of() : List.copyOf(predictions);
        history = history == null
                ? List.of()
                : List.copyOf(history.subList(Math.max(0, history.size() - MAX_HISTORY), history.size()));
    }

    /** A new plan. */
    public static PlanState drafted(EvacuationPlan plan, String actor) {
        return new PlanState(
                plan,
                EvacuationStatus.DRAFTED,
                0,
                List.of(),
                null,
                false,
                0,
                List.of(new HistoryEntry(EvacuationStatus.DRAFTED, 0, actor, "")));
    }

    /**
     * The same plan at another status or step.
     *
     * @throws IllegalStateException if that may not come after where it stands
     */
    public PlanState transitionTo(EvacuationStatus next, int nextStep, long driverToken, String actor, String reason) {
        if (!status.allowedNext().contains(next)) {
            throw new IllegalStateException(
                    plan.name() + " is " + lowerCaseName(status) + "; it can't be " + lowerCaseName(next) + " next");
        }
        if (next == EvacuationStatus.EVACUATING && status == EvacuationStatus.FORECAST && !override) {
            throw new IllegalStateException(plan.name() + " has not passed a rehearsal; staff may override that");
        }
        if (next == status && next != EvacuationStatus.FORECAST && nextStep != step + 1) {
            throw new IllegalStateException("step " + nextStep + " does not follow step " + step);
        }
        List<HistoryEntry> newHistory = new ArrayList<>(history);
        newHistory.add(new HistoryEntry(next, nextStep, actor, reason));
        return new PlanState(plan, next, nextStep, predictions, verdict, override, driverToken, newHistory);
    }

    /** The same with what a forecast says. */
    public PlanState predictions(List<PoolPrediction> newPredictions, Verdict newVerdict, String actor) {
        PlanState next = transitionTo(EvacuationStatus.FORECAST, 0, 0, actor, lowerCaseName(newVerdict));
        return new PlanState(plan, next.status(), 0, newPredictions, newVerdict, false, 0, next.history());
    }

    /** The same, to be carried out whatever its rehearsal said. */
    public PlanState withOverride() {
        return new PlanState(plan, status, step, predictions, verdict, true, token, history);
    }

    /** The part of its usual load that the plan's zone keeps. */
    public double retainedFraction() {
        return switch (status) {
            case REHEARSING -> 1 - plan.rehearsalFraction();
            case EVACUATING -> 1 - plan.movedFraction(step + 1);
            case EVACUATED -> 1 - plan.movedFraction(plan.steps().size());
            case RETURNING -> 1 - plan.movedFractionDuringReturn(step + 1);
            default -> 1;
        };
    }

    /** What nodes are to be told. */
    public Map<String, Double> zoneWeights() {
        return Map.of(plan.zone(), Math.max(0, retainedFraction()));
    }

    static String lowerCaseName(Enum<?> constant) {
        return constant.name().toLowerCase(java.util.Locale.ROOT);
    }

    /** As bytes, for the agreed record. */
    public byte[] encode() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads it.
     *
     * @throws IOException if it is not one
     */
    public static PlanState decode(byte[] bytes) throws IOException {
        PlanState state = bytes.length > MAX_BYTES ? null : JSON.readValue(bytes, PlanState.class);
        if (state == null
                || state.plan() == null
                || state.status() == null
                || state.plan().zone() == null
                || state.step() < 0
                || state.step() > EvacuationPlan.MAX_ENTRIES
                || state.plan().steps().size() > EvacuationPlan.MAX_ENTRIES
                || state.predictions().size() > MAX_POOLS) {
            throw new IOException("not a plan's record");
        }
        return state;
    }

    /** What the forecasts of a plan and of its rehearsal say, as the record carries it. */
    public static List<PoolPrediction> predictions(
            PoolSnapshot snapshot, Forecast forecast, Forecast rehearsalForecast) {
        List<PoolPrediction> predictions = new ArrayList<>();
        for (Forecast.PoolForecast planned : forecast.pools()) {
            Forecast.PoolForecast rehearsed = rehearsalForecast.of(planned.pool());
            PoolSnapshot.Pool pool = snapshot.pool(planned.pool());
            if (predictions.size() < MAX_POOLS
                    && pool != null
                    && rehearsed != null
                    && !rehearsed.steps().isEmpty()) {
                predictions.add(new PoolPrediction(
                        planned.pool(),
                        pool.servers(),
                        pool.attemptRate(),
                        rehearsed.steps().get(0).load(),
                        planned.steps().stream()
                                .map(Forecast.StepForecast::load)
                                .toList()));
            }
        }
        return predictions;
    }
}

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
 * The agreed record of the only evacuation plan. The weights that nodes receive follow from this record alone, so any
 * driver computes the same ones, and repeating them does no harm.
 *
 * @param plan the plan
 * @param status the plan's status
 * @param step the index of the current step, from 0, while load is moved or returns
 * @param predictions the forecast loads by pool
 * @param verdict the verdict of the forecast
 * @param override whether an operator allows the evacuation although no rehearsal has passed
 * @param token the token of the driver that wrote the record; 0 if an operator did
 * @param history the latest changes, oldest first; bounded
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
    /** The maximum number of pools whose predictions a record carries. */
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
     * The predicted load of a pool.
     *
     * @param pool the pool's name
     * @param servers the number of servers for which the prediction was made
     * @param baselineRate attempts per second before any load was moved
     * @param rehearsal attempts per second during the rehearsal
     * @param steps attempts per second during each step
     */
    public record PoolPrediction(
            @JsonProperty("pool") PoolName pool,
            @JsonProperty("servers") int servers,
            @JsonProperty("before") double baselineRate,
            @JsonProperty("rehearsal") Interval rehearsal,
            @JsonProperty("steps") List<Interval> steps) {}

    /**
     * A change of the plan's status or step.
     *
     * @param status the new status
     * @param step the new step
     * @param actor who made the change
     * @param reason why
     */
    public record HistoryEntry(
            @JsonProperty("status") EvacuationStatus status,
            @JsonProperty("step") int step,
            @JsonProperty("by") String actor,
            @JsonProperty("why") String reason) {}

    /** Copies the lists and keeps the latest history entries. */
    public PlanState {
        predictions = predictions == null ? List.of() : List.copyOf(predictions);
        history = history == null
                ? List.of()
                : List.copyOf(history.subList(Math.max(0, history.size() - MAX_HISTORY), history.size()));
    }

    /** Returns the record of a new plan. */
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
     * Returns the record of the same plan with another status or step.
     *
     * @throws IllegalStateException if that may not follow the current status or step
     */
    public PlanState transitionTo(EvacuationStatus next, int nextStep, long driverToken, String actor, String reason) {
        if (!status.allowedNext().contains(next)) {
            throw new IllegalStateException(
                    plan.name() + " is " + lowerCaseName(status) + " and can't become " + lowerCaseName(next));
        }
        if (next == EvacuationStatus.EVACUATING && status == EvacuationStatus.FORECAST && !override) {
            throw new IllegalStateException(plan.name() + " has not passed a rehearsal; an operator may override this");
        }
        if (next == status && next != EvacuationStatus.FORECAST && nextStep != step + 1) {
            throw new IllegalStateException("step " + nextStep + " does not follow step " + step);
        }
        List<HistoryEntry> newHistory = new ArrayList<>(history);
        newHistory.add(new HistoryEntry(next, nextStep, actor, reason));
        return new PlanState(plan, next, nextStep, predictions, verdict, override, driverToken, newHistory);
    }

    /** Returns the record with the predictions and verdict of a new forecast. */
    public PlanState predictions(List<PoolPrediction> newPredictions, Verdict newVerdict, String actor) {
        PlanState next = transitionTo(EvacuationStatus.FORECAST, 0, 0, actor, lowerCaseName(newVerdict));
        return new PlanState(plan, next.status(), 0, newPredictions, newVerdict, false, 0, next.history());
    }

    /** Returns the record with permission to evacuate whatever the rehearsal showed. */
    public PlanState withOverride() {
        return new PlanState(plan, status, step, predictions, verdict, true, token, history);
    }

    /** Returns the fraction of its usual load that the plan's zone keeps. */
    public double retainedFraction() {
        return switch (status) {
            case REHEARSING -> 1 - plan.rehearsalFraction();
            case EVACUATING -> 1 - plan.movedFraction(step + 1);
            case EVACUATED -> 1 - plan.movedFraction(plan.steps().size());
            case RETURNING -> 1 - plan.movedFractionDuringReturn(step + 1);
            default -> 1;
        };
    }

    /** Returns the zone weights that nodes have to apply. */
    public Map<String, Double> zoneWeights() {
        return Map.of(plan.zone(), Math.max(0, retainedFraction()));
    }

    static String lowerCaseName(Enum<?> constant) {
        return constant.name().toLowerCase(java.util.Locale.ROOT);
    }

    /** Encodes the record as JSON. */
    public byte[] encode() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a record.
     *
     * @throws IOException if the bytes are not a valid record
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
            throw new IOException("not a valid evacuation plan record");
        }
        return state;
    }

    /** Returns the predictions from the forecasts of a plan and of its rehearsal, as the record carries them. */
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

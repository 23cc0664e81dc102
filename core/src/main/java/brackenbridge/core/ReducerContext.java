package brackenbridge.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * State that the parts of the {@link Reducer} share while an event is handled: its time, its effects in order, and the
 * outcomes not yet delivered to the balancer. One instance is reused for all events, to avoid allocation.
 */
final class ReducerContext {
    private final ArrayDeque<PendingOutcome> pendingOutcomes = new ArrayDeque<>();
    private List<Effect> effects = new ArrayList<>();
    private double nowMs;

    /** Begins the handling of an event. */
    void startEvent(double eventTimeMs) {
        nowMs = eventTimeMs;
        effects = new ArrayList<>();
    }

    double nowMs() {
        return nowMs;
    }

    /** The event's time in microseconds, the balancer's unit. */
    long nowMicros() {
        return Microseconds.ofMs(nowMs);
    }

    List<Effect> effects() {
        return effects;
    }

    void addEffect(Effect effect) {
        effects.add(effect);
    }

    void setTimer(double atMs, TimerKey key) {
        effects.add(new Effect.SetTimer(atMs, key));
    }

    void addPendingOutcome(PendingOutcome outcome) {
        pendingOutcomes.add(outcome);
    }

    /** Removes and returns the oldest undelivered outcome; null if there is none. */
    PendingOutcome pollPendingOutcome() {
        return pendingOutcomes.poll();
    }

    /** Reports a fault of the balancer and discards the undelivered outcomes. */
    void reportFault(RuntimeException fault) {
        pendingOutcomes.clear();
        effects.add(new Effect.ReportFault(fault));
    }

    /** Runs a step whose fault must not prevent the following steps. */
    void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException fault) {
            reportFault(fault);
        }
    }
}

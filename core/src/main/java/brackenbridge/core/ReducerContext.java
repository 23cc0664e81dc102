package brackenbridge.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What the parts of the {@link Reducer} share while one event is handled: its time, its effects in order, and the
 * outcomes that the balancer has yet to receive. It is reused from event to event, so that it costs no allocation.
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

    /** The event's time in the balancer's unit. */
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

    /** The oldest outcome that is not delivered, which counts as delivered from now on; null if there is none. */
    PendingOutcome pollPendingOutcome() {
        return pendingOutcomes.poll();
    }

    /** Reports a fault of the balancer; outcomes that it has not received are discarded. */
    void reportFault(RuntimeException fault) {
        pendingOutcomes.clear();
        effects.add(new Effect.ReportFault(fault));
    }

    /** Runs a step in which a fault must not prevent the steps after it. */
    void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException fault) {
            reportFault(fault);
        }
    }
}

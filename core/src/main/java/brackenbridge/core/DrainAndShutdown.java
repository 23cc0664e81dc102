package brackenbridge.core;

import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;

/** Runs the steps of a drain and of a shutdown at their scheduled times. */
final class DrainAndShutdown {
    private final CurrentSettings settings;
    private final LifeCycle lifeCycle;
    private final Counters counters;
    private final double longestDeadlineAtStartMs;
    /** Another process of this node serves clients and will replace this one. */
    private boolean hasSuccessor;

    private double stopRequestedMs;
    /** The kind of shutdown, determined when it was requested. */
    private ShutdownSchedule.ShutdownKind kind;

    private boolean servingEnded;
    private boolean exitRequested;

    DrainAndShutdown(CurrentSettings settings, LifeCycle lifeCycle, Counters counters) {
        this.settings = settings;
        this.lifeCycle = lifeCycle;
        this.counters = counters;
        this.longestDeadlineAtStartMs = ShutdownSchedule.longestDeadlineMs(settings.get());
    }

    void setHasSuccessor(boolean serving) {
        hasSuccessor = serving;
    }

    /** Starts a drain, or cancels the one in progress. */
    void drain(ReducerContext context, boolean enabled) {
        if (!(enabled ? lifeCycle.drain() : lifeCycle.cancelDrain())) {
            return;
        }
        counters.count(enabled ? Counter.DRAINS : Counter.DRAINS_CANCELLED);
        context.addEffect(new Effect.AnnounceClose(enabled));
        if (enabled) {
            scheduleDrain(context);
        } else {
            context.addEffect(new Effect.CloseClientsWhenIdle(false));
        }
    }

    private void scheduleDrain(ReducerContext context) {
        for (LifeCycle.DrainStep step : LifeCycle.DrainStep.values()) {
            context.setTimer(context.nowMs() + step.delayMs, new TimerKey.DrainStep(lifeCycle.drainCount(), step));
        }
    }

    void runDrainStep(ReducerContext context, TimerKey.DrainStep due) {
        if (!lifeCycle.isCurrent(due.drainNumber())) {
            return;
        }
        switch (due.step()) {
            case CLOSE_IDLE_CLIENTS -> context.addEffect(new Effect.CloseClientsWhenIdle(true));
            case REJECT_NEW_REQUESTS -> lifeCycle.startRejecting();
            default -> context.addEffect(new Effect.RejectIncompleteRequests());
        }
    }

    /**
     * Starts the shutdown; further requests are ignored.
     *
     * @param waitedMs how long ago the shutdown was requested: the platform's time until the kill has begun then
     */
    void stop(ReducerContext context, double waitedMs) {
        boolean drained = lifeCycle.phase() == LifeCycle.LifeCyclePhase.DRAINING;
        if (!lifeCycle.stop()) {
            return;
        }
        stopRequestedMs = context.nowMs() - waitedMs;
        kind = hasSuccessor
                ? ShutdownSchedule.ShutdownKind.REPLACED
                : drained ? ShutdownSchedule.ShutdownKind.DRAINED : ShutdownSchedule.ShutdownKind.RESTARTED;
        if (hasSuccessor) {
            // The successor accepts new connections; clients of this process are notified before their connections
            // close.
            context.addEffect(new Effect.LeaveNewConnectionsToSuccessor());
            context.addEffect(new Effect.AnnounceClose(true));
        }
        scheduleStop(context);
    }

    /** Reschedules a shutdown in progress, because the longest deadline may have changed. */
    void onSettingsChanged(ReducerContext context) {
        if (lifeCycle.phase() == LifeCycle.LifeCyclePhase.STOPPING) {
            scheduleStop(context);
        }
    }

    /** Sets the timers of a shutdown; repeating a step has no further effect. */
    private void scheduleStop(ReducerContext context) {
        // The platform may apply the settings at startup or the newest ones: the shorter deadline is safe in both
        // cases.
        double longestDeadlineMs =
                Math.min(longestDeadlineAtStartMs, ShutdownSchedule.longestDeadlineMs(settings.get()));
        ShutdownSchedule schedule = ShutdownSchedule.of(kind, longestDeadlineMs);
        if (kind == ShutdownSchedule.ShutdownKind.REPLACED) {
            context.setTimer(stopRequestedMs + schedule.closeIdleMs(), new TimerKey.CloseIdleClients());
        }
        context.setTimer(stopRequestedMs + schedule.stopAcceptingMs(), new TimerKey.StopAccepting());
        context.setTimer(stopRequestedMs + schedule.stopServingMs(), new TimerKey.StopServing());
        context.setTimer(stopRequestedMs + schedule.answerAllMs(), new TimerKey.AnswerAll());
        context.setTimer(stopRequestedMs + schedule.exitMs(), new TimerKey.ExitNow());
    }

    /** Announces the close and closes idle client connections; the node exits once no request is open. */
    void stopServing(ReducerContext context) {
        servingEnded = true;
        context.addEffect(new Effect.AnnounceClose(true));
        context.addEffect(new Effect.CloseIdleClients());
    }

    /** Requests the exit, at most once, if the node has stopped serving and every request is answered. */
    void exitIfDone(ReducerContext context, int unanswered) {
        if (servingEnded && unanswered == 0 && !exitRequested) {
            exitRequested = true;
            context.addEffect(new Effect.Exit(false));
        }
    }
}

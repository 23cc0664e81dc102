package brackenbridge.core;

import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;

/** Runs the steps of a drain and of a shutdown by their schedules. */
final class DrainAndShutdown {
    private final CurrentSettings settings;
    private final LifeCycle lifeCycle;
    private final Counters counters;
    private final double longestDeadlineAtStartMs;
    /** Another process of this node serves clients as well and is to replace this one. */
    private boolean hasSuccessor;

    private double stopRequestedMs;
    /** What the node was when its stop was requested. */
    private ShutdownSchedule.Situation situation;

    private boolean servingEnded;
    private boolean exitRequested;

    DrainAndShutdown(CurrentSettings settings, LifeCycle lifeCycle, Counters counters) {
        this.settings = settings;
        this.lifeCycle = lifeCycle;
        this.counters = counters;
        this.longestDeadlineAtStartMs = ShutdownSchedule.longestDeadlineMs(settings.get());
    }

    void setHasSuccessor(boolean on) {
        hasSuccessor = on;
    }

    /** Starts a drain, or cancels the one in progress. */
    void drain(ReducerContext context, boolean on) {
        if (!(on ? lifeCycle.drain() : lifeCycle.cancelDrain())) {
            return;
        }
        counters.count(on ? Counter.DRAINS : Counter.DRAINS_CANCELLED);
        context.addEffect(new Effect.AnnounceClose(on));
        if (on) {
            scheduleDrain(context);
        } else {
            context.addEffect(new Effect.CloseClientsWhenIdle(false));
        }
    }

    private void scheduleDrain(ReducerContext context) {
        for (LifeCycle.DrainStep step : LifeCycle.DrainStep.values()) {
            context.setTimer(context.nowMs() + step.afterMs, new TimerKey.DrainStep(lifeCycle.drainCount(), step));
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

    /** Starts the shutdown; a second request changes nothing. */
    void stop(ReducerContext context) {
        boolean drained = lifeCycle.phase() == LifeCycle.LifeCyclePhase.DRAINING;
        if (!lifeCycle.stop()) {
            return;
        }
        stopRequestedMs = context.nowMs();
        situation = hasSuccessor
                ? ShutdownSchedule.Situation.REPLACED
                : drained ? ShutdownSchedule.Situation.EMPTIED : ShutdownSchedule.Situation.RESTARTED;
        if (hasSuccessor) {
            // Another process serves: new connections go to it, and those of this one end as gently as they can.
            context.addEffect(new Effect.LeaveNewConnectionsToSuccessor());
            context.addEffect(new Effect.AnnounceClose(true));
        }
        scheduleStop(context);
    }

    /** The deadlines may have changed while the node is stopping. */
    void onSettingsChanged(ReducerContext context) {
        if (lifeCycle.phase() == LifeCycle.LifeCyclePhase.STOPPING) {
            scheduleStop(context);
        }
    }

    /** Sets the timers of a shutdown; a step that is due twice does nothing the second time. */
    private void scheduleStop(ReducerContext context) {
        // The platform may go by the settings that it started the node with or by the newest: safe under both.
        double longestDeadlineMs =
                Math.min(longestDeadlineAtStartMs, ShutdownSchedule.longestDeadlineMs(settings.get()));
        ShutdownSchedule schedule = ShutdownSchedule.of(situation, longestDeadlineMs);
        if (situation == ShutdownSchedule.Situation.REPLACED) {
            context.setTimer(stopRequestedMs + schedule.closeIdleMs(), new TimerKey.CloseIdleClients());
        }
        context.setTimer(stopRequestedMs + schedule.stopAcceptingMs(), new TimerKey.StopAccepting());
        context.setTimer(stopRequestedMs + schedule.stopServingMs(), new TimerKey.StopServing());
        context.setTimer(stopRequestedMs + schedule.answerAllMs(), new TimerKey.AnswerAll());
        context.setTimer(stopRequestedMs + schedule.exitMs(), new TimerKey.ExitNow());
    }

    /** Ends the connections that carry nothing; the node exits once no request is open. */
    void stopServing(ReducerContext context) {
        servingEnded = true;
        context.addEffect(new Effect.AnnounceClose(true));
        context.addEffect(new Effect.CloseIdleClients());
    }

    /** Requests the exit, once, if the node has stopped serving and every request is answered. */
    void exitIfDone(ReducerContext context, int unanswered) {
        if (servingEnded && unanswered == 0 && !exitRequested) {
            exitRequested = true;
            context.addEffect(new Effect.Exit(false));
        }
    }
}

package brackenbridge.net;

import brackenbridge.clock.Clock;
import brackenbridge.core.Effect;
import brackenbridge.core.Event;
import brackenbridge.core.TimerKey;
import brackenbridge.net.channel.EventSink;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Schedules the reducer's timers on the event loop, by the node's clock. Used on the event loop only. */
final class Timers {
    private static final double NANOSECONDS_PER_MS = 1e6;

    private final EventLoop loop;
    private final Clock clock;
    private final EventSink events;
    /** Only request deadlines are cancelled; other timers fire and are ignored by the reducer if they are obsolete. */
    private final Map<TimerKey, ScheduledFuture<?>> requestDeadlines = new HashMap<>();

    Timers(EventLoop loop, Clock clock, EventSink events) {
        this.loop = loop;
        this.clock = clock;
        this.events = events;
    }

    /** Schedules a timer; an earlier deadline of the same request is cancelled. */
    void set(Effect.SetTimer timer) {
        double delayMs = timer.atMs() - clock.nowMs();
        ScheduledFuture<?> scheduled = loop.schedule(
                () -> fire(timer), (long) (Math.max(0, delayMs) * NANOSECONDS_PER_MS), TimeUnit.NANOSECONDS);
        if (timer.key() instanceof TimerKey.RequestDeadline) {
            ScheduledFuture<?> previous = requestDeadlines.put(timer.key(), scheduled);
            if (previous != null) {
                previous.cancel(false);
            }
        }
    }

    private void fire(Effect.SetTimer timer) {
        if (clock.nowMs() < timer.atMs()) {
            set(timer);
        } else {
            requestDeadlines.remove(timer.key());
            events.raise(new Event.TimerFired(timer.key()));
        }
    }

    /** Cancels the deadline of a request. */
    void cancel(Effect.CancelTimer timer) {
        ScheduledFuture<?> scheduled = requestDeadlines.remove(timer.key());
        if (scheduled != null) {
            scheduled.cancel(false);
        }
    }
}

package brackenbridge.lab.live;

import brackenbridge.clock.Clock;
import brackenbridge.lab.model.Scheduler;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Real time on one event loop. */
public final class LoopScheduler implements Scheduler {
    private final EventLoop loop;
    private final Clock clock;

    /** Tasks on this loop, at times of this clock. */
    public LoopScheduler(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    @Override
    public double nowMs() {
        return clock.nowMs();
    }

    @Override
    public void at(double atMs, Runnable task) {
        double wait = atMs - clock.nowMs();
        if (Double.isInfinite(wait)) {
            return;
        }
        loop.schedule(
                () -> {
                    if (clock.nowMs() < atMs) {
                        at(atMs, task);
                    } else {
                        task.run();
                    }
                },
                (long) (Math.max(0, wait) * 1e6),
                TimeUnit.NANOSECONDS);
    }
}

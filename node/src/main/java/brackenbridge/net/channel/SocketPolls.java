package brackenbridge.net.channel;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Defers tasks until an event loop has polled its sockets again. */
public final class SocketPolls {
    private SocketPolls() {}

    /**
     * Runs a task once the loop has polled all sockets again and has read the available bytes. Must be called on the
     * loop.
     *
     * <p>In each turn the loop polls its sockets, handles their events, fetches the tasks that are due and runs them.
     * A task that is scheduled while sockets are handled may be due before the turn's tasks are fetched; one that is
     * scheduled by a task of this turn can't be.
     */
    public static void runAfterNextPoll(EventLoop loop, Runnable task) {
        loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
    }
}

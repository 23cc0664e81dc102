package brackenbridge.fleet.agreed;

import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The only thread on which a member's components run, including the Raft library. */
final class MemberThread implements RaftNodeExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(MemberThread.class);
    private static final long SHUTDOWN_TIMEOUT_S = 2;

    private final String member;
    private final double raftClockRate;
    private final LongAdder dropped;
    private final ScheduledThreadPoolExecutor pool;

    /**
     * Creates the thread.
     *
     * @param member the member's name
     * @param raftClockRate how many seconds of the library's clock pass in one second
     * @param dropped counts the events submitted after the shutdown
     */
    MemberThread(String member, double raftClockRate, LongAdder dropped) {
        this.member = member;
        this.raftClockRate = raftClockRate;
        this.dropped = dropped;
        pool = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "agreed-" + member);
            thread.setDaemon(true);
            return thread;
        });
        pool.setRemoveOnCancelPolicy(true);
    }

    /** Guards the thread: an exception in an event is logged and ends that event only. */
    Runnable logFailures(Runnable event) {
        return () -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                LOG.error("agreement at {}: uncaught exception in an event", member, e);
            }
        };
    }

    /** Runs an event after all queued events; drops it if the thread has been shut down. */
    @Override
    public void execute(Runnable event) {
        try {
            pool.execute(logFailures(event));
        } catch (RejectedExecutionException e) {
            // The thread has been shut down: nobody waits for the event.
            dropped.increment();
        }
    }

    /** Runs an event repeatedly, with a fixed delay between the end of one run and the start of the next. */
    void scheduleRepeatedly(long intervalMs, Runnable event) {
        pool.scheduleWithFixedDelay(logFailures(event), 0, intervalMs, TimeUnit.MILLISECONDS);
    }

    /** Whether the thread has been shut down, so that no event runs any more. */
    boolean isShutDown() {
        return pool.isShutdown();
    }

    /** This thread as an executor for {@link java.util.concurrent.CompletableFuture}. */
    java.util.concurrent.Executor executor() {
        return pool;
    }

    /** Shuts down at once: queued events are discarded. */
    void shutDown() {
        pool.shutdownNow();
        try {
            pool.awaitTermination(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void submit(Runnable task) {
        execute(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        try {
            pool.schedule(logFailures(task), (long) (unit.toNanos(delay) / raftClockRate), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            dropped.increment();
        }
    }
}

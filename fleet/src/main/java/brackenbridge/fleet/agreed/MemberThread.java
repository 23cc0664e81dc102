package brackenbridge.fleet.agreed;

import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread on which a member's part of the agreement runs, the Raft library's part too. */
final class MemberThread implements RaftNodeExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(MemberThread.class);
    private static final long SHUTDOWN_TIMEOUT_S = 2;

    private final String member;
    private final double raftClockRate;
    private final LongAdder dropped;
    private final ScheduledThreadPoolExecutor pool;

    /**
     * A thread that has nothing to do yet.
     *
     * @param member whose
     * @param speed how many of the library's seconds pass in one
     * @param dropped counts what came after the end
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

    /** Guards the thread: a fault in one event is logged and ends that event only. */
    Runnable logFailures(Runnable event) {
        return () -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                LOG.error("agreement at {}: an event failed", member, e);
            }
        };
    }

    /** Runs an event behind all that waits already; none once the thread has ended. */
    @Override
    public void execute(Runnable event) {
        try {
            pool.execute(logFailures(event));
        } catch (RejectedExecutionException e) {
            // It is closed: nothing is owed any more.
            dropped.increment();
        }
    }

    /** Runs an event again and again, so many milliseconds after it has ended. */
    void scheduleRepeatedly(long intervalMs, Runnable event) {
        pool.scheduleWithFixedDelay(logFailures(event), 0, intervalMs, TimeUnit.MILLISECONDS);
    }

    /** Whether the thread has ended: nothing is run any more. */
    boolean isShutDown() {
        return pool.isShutdown();
    }

    /** What {@link java.util.concurrent.CompletableFuture} runs on. */
    java.util.concurrent.Executor executor() {
        return pool;
    }

    /** Ends at once: nothing that waits is done any more. */
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

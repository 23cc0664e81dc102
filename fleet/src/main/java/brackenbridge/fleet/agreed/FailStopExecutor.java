package brackenbridge.fleet.agreed;

import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs a voter's part of the Raft library for as long as its disk takes what is written. From the first write that
 * fails nothing of that part runs any more, so that no vote and no acknowledgement can rest on it.
 */
final class FailStopExecutor implements RaftNodeExecutor {
    private final MemberThread thread;
    private final BooleanSupplier failed;

    /** Runs on this thread until the disk has failed. */
    FailStopExecutor(MemberThread thread, BooleanSupplier failed) {
        this.thread = thread;
        this.failed = failed;
    }

    private Runnable unlessFailed(Runnable task) {
        return () -> {
            if (!failed.getAsBoolean()) {
                task.run();
            }
        };
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(unlessFailed(task));
    }

    @Override
    public void submit(Runnable task) {
        thread.submit(unlessFailed(task));
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        thread.schedule(unlessFailed(task), delay, unit);
    }
}

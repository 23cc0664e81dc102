package brackenbridge.fleet.agreed;

import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs the Raft library's tasks of a voter until a write to its disk fails. After that it runs none of them, so that no
 * vote and no acknowledgement relies on data that may not be on disk.
 */
final class FailStopExecutor implements RaftNodeExecutor {
    private final MemberThread thread;
    private final BooleanSupplier failed;

    /** Runs tasks on this thread until {@code failed} returns true. */
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

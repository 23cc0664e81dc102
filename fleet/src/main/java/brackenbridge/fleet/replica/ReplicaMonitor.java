package brackenbridge.fleet.replica;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/** The lock that guards a replica's state, with conditions on which its threads wait for a change or for closing. */
final class ReplicaMonitor {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final Condition closing = lock.newCondition();
    private volatile boolean closed;

    void lock() {
        lock.lock();
    }

    void unlock() {
        lock.unlock();
    }

    <T> T locked(Supplier<T> action) {
        lock.lock();
        try {
            return action.get();
        } finally {
            lock.unlock();
        }
    }

    boolean isClosed() {
        return closed;
    }

    /** Marks the replica as closed and ends all waits. */
    void close() {
        lock.lock();
        try {
            closed = true;
            changed.signalAll();
            closing.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Wakes threads that wait for a change; with the lock held. */
    void signalChange() {
        changed.signalAll();
    }

    /** Waits for a change or for closing; with the lock held. May wake spuriously. */
    void awaitChange() throws InterruptedException {
        changed.await();
    }

    /**
     * Waits for a change or for closing; with the lock held. May wake spuriously.
     *
     * @return the remaining nanoseconds
     */
    long awaitChange(long nanos) throws InterruptedException {
        return changed.awaitNanos(nanos);
    }

    /** Waits for this time or for closing; with the lock held, which is released meanwhile. */
    void pause(double ms) throws InterruptedException {
        long left = (long) (ms * TimeUnit.MILLISECONDS.toNanos(1));
        while (left > 0 && !closed) {
            left = closing.awaitNanos(left);
        }
    }
}

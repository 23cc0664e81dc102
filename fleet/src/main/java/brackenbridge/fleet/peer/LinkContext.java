package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * State shared by the parts of {@link TcpPeerLinks}: this member's identity, the lock that guards peers and the failure
 * detector, and the threads. All threads of the links are owned here.
 */
final class LinkContext {
    final String fleet;
    /** Random number drawn at this start: distinguishes two processes of one name and incarnation. */
    final long instance = new SecureRandom().nextLong() | 1;

    final PeerLimits limits;
    final Clock clock;
    final Random random = new Random(instance);
    final LinkMetrics metrics = new LinkMetrics();
    final Object lock = new Object();
    private final Set<Thread> threads = new HashSet<>();
    private volatile Member self;
    private volatile long incarnation;
    private volatile boolean closing;

    LinkContext(Member self, long incarnation, String fleet, Clock clock, PeerLimits limits) {
        this.self = self;
        this.incarnation = incarnation;
        this.fleet = fleet;
        this.clock = clock;
        this.limits = limits;
    }

    /** This member, with the address at which its peers reach it. */
    Member self() {
        return self;
    }

    void setSelf(Member member) {
        self = member;
    }

    long incarnation() {
        return incarnation;
    }

    void setIncarnation(long nextIncarnation) {
        incarnation = nextIncarnation;
    }

    boolean closing() {
        return closing;
    }

    /** Signals the threads to terminate. The caller holds the lock. */
    void beginClosing() {
        closing = true;
    }

    /** Starts a daemon thread whose name begins with this member's. The caller holds the lock. */
    Thread startThread(String name, Runnable work) {
        Thread thread = new Thread(() -> runAndRemove(work), self.name() + "-" + name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
        return thread;
    }

    private void runAndRemove(Runnable work) {
        try {
            work.run();
        } finally {
            synchronized (lock) {
                threads.remove(Thread.currentThread());
            }
        }
    }

    /** The running threads. The caller holds the lock. */
    List<Thread> runningThreads() {
        return new ArrayList<>(threads);
    }

    /** The number of running threads. The caller holds the lock. */
    int threadCount() {
        return threads.size();
    }

    /**
     * Interrupts these threads and waits for them to terminate, for this time in total. The caller must not hold the
     * lock.
     */
    void stopThreads(List<Thread> running, double timeoutMs) {
        for (Thread thread : running) {
            thread.interrupt();
        }
        double untilMs = clock.nowMs() + timeoutMs;
        try {
            for (Thread thread : running) {
                if (thread != Thread.currentThread()) {
                    thread.join((long) Math.max(1, untilMs - clock.nowMs()));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits on the lock, which the caller holds. An interrupt only sets the thread's interrupt status, so that the
     * caller's cleanup is completed.
     */
    void awaitChange(double timeoutMs) {
        try {
            lock.wait((long) Math.max(1, Math.ceil(timeoutMs)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Wakes the threads waiting in {@link #awaitChange}. The caller holds the lock. */
    void signalChange() {
        lock.notifyAll();
    }
}

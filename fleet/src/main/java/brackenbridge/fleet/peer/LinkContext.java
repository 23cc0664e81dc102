package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * What the parts of {@link TcpPeerLinks} share: this member's identity, the lock that guards peers and the failure
 * detector, and the threads. This class is the one owner of all threads of the links.
 */
final class LinkContext {
    final String fleet;
    /** Drawn at this start: distinguishes two processes of one name and life. */
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

    /** With the lock: the threads are to end from now on. */
    void beginClosing() {
        closing = true;
    }

    /** With the lock: starts a daemon thread whose name begins with this member's. */
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

    /** With the lock: the threads that run. */
    List<Thread> runningThreads() {
        return new ArrayList<>(threads);
    }

    /** With the lock: how many threads run. */
    int threadCount() {
        return threads.size();
    }

    /** Without the lock: interrupts these threads and waits for their end, at most for so long in all. */
    void stopThreads(List<Thread> running, double timeoutMs) {
        for (Thread thread : running) {
            thread.interrupt();
        }
        double until = clock.nowMs() + timeoutMs;
        try {
            for (Thread thread : running) {
                if (thread != Thread.currentThread()) {
                    thread.join((long) Math.max(1, until - clock.nowMs()));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** With the lock: waits on it; an interrupt stays set, so that the caller's cleanup is completed. */
    void awaitChange(double timeoutMs) {
        try {
            lock.wait((long) Math.max(1, Math.ceil(timeoutMs)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** With the lock: wakes those that wait in {@link #awaitChange}. */
    void signalChange() {
        lock.notifyAll();
    }
}

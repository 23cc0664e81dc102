package brackenbridge.net;

import brackenbridge.clock.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The system's clock, which a test can put forward, or stop the node at: its event loop rests where it asks next. */
final class HeldClock extends Clock {
    private final Clock system = Clock.system();
    private final Thread test = Thread.currentThread();
    private volatile double ahead;
    private volatile double stands = Double.NaN;
    private volatile CountDownLatch entered;
    private volatile CountDownLatch released;

    void pass(double ms) {
        ahead += ms;
    }

    /** From now on no time passes. */
    void stand() {
        stands = system.nowMs() + ahead;
    }

    /** Returns once the node's event loop rests; what comes to its sockets from now on waits there. */
    void hold() throws InterruptedException {
        entered = new CountDownLatch(1);
        released = new CountDownLatch(1);
        if (!entered.await(10, TimeUnit.SECONDS)) {
            throw new IllegalStateException("nobody asks for the time");
        }
    }

    void release() {
        CountDownLatch r = released;
        released = null;
        r.countDown();
    }

    @Override
    public double nowMs() {
        CountDownLatch r = released;
        if (r != null && Thread.currentThread() != test) {
            entered.countDown();
            try {
                r.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return Double.isNaN(stands) ? system.nowMs() + ahead : stands;
    }
}

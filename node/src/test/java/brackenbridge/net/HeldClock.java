package brackenbridge.net;

import brackenbridge.clock.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The system's clock, which a test can put forward, or stop the node at: its event loop rests where it asks next, or
 * where a certain method asks. It can also fail where a certain method asks.
 */
final class HeldClock extends Clock {
    private final Clock system = Clock.system();
    private final Thread test = Thread.currentThread();
    private volatile double ahead;
    private volatile double stands = Double.NaN;
    private volatile CountDownLatch entered;
    private volatile CountDownLatch released;
    /** The method, as {@code Class.method}, whose question for the time stops the loop; null if any does. */
    private volatile String onlyIn;

    private volatile String failsIn;
    /** The method in which the event loop is to rest; null if anywhere. */
    private volatile String where;

    void pass(double ms) {
        ahead += ms;
        stands += ms;
    }

    /** From now on no time passes by itself. */
    void stand() {
        stands = system.nowMs() + ahead;
    }

    /** The time that stands is put forward. */
    void standAhead(double ms) {
        stands += ms;
    }

    /**
     * From now on the node's event loop rests as soon as it has read the clock in a method of this name: it goes on
     * with that reading, however late. To be followed by {@link #awaitHeld}.
     */
    void holdBehindReadingIn(String method) {
        onlyIn = null;
        entered = new CountDownLatch(1);
        where = method;
        released = new CountDownLatch(1);
    }

    /** Returns once the node's event loop rests. */
    void awaitHeld() throws InterruptedException {
        if (!entered.await(10, TimeUnit.SECONDS)) {
            throw new IllegalStateException("nobody asks for the time there");
        }
    }

    /** Returns once the node's event loop rests; what comes to its sockets from now on waits there. */
    void hold() throws InterruptedException {
        holdIn(null);
        awaitHeld();
    }

    /** The event loop rests once this method, named as {@code Class.method}, asks for the time. */
    void holdIn(String method) {
        onlyIn = method;
        entered = new CountDownLatch(1);
        where = null;
        released = new CountDownLatch(1);
    }

    void release() {
        CountDownLatch r = released;
        released = null;
        if (r != null) {
            r.countDown();
        }
    }

    /** The next time that this method, named as {@code Class.method}, asks for the time, it gets an exception. */
    void failIn(String method) {
        failsIn = method;
    }

    private static String caller() {
        return StackWalker.getInstance()
                .walk(frames -> frames.skip(2)
                        .findFirst()
                        .map(f -> f.getClassName().substring(f.getClassName().lastIndexOf('.') + 1) + "."
                                + f.getMethodName())
                        .orElse(""));
    }

    @Override
    public double nowMs() {
        if (failsIn != null && Thread.currentThread() != test && caller().equals(failsIn)) {
            failsIn = null;
            throw new IllegalStateException("a fault that the test wants");
        }
        CountDownLatch r = released;
        if (r == null || Thread.currentThread() == test) {
            return reading();
        }
        String method = where;
        if (method == null) {
            if (onlyIn == null || caller().equals(onlyIn)) {
                rest(r);
            }
            return reading();
        }
        double before = reading();
        if (StackWalker.getInstance()
                .walk(frames -> frames.anyMatch(f -> f.getMethodName().equals(method)))) {
            rest(r);
        }
        return before;
    }

    private void rest(CountDownLatch until) {
        entered.countDown();
        try {
            until.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private double reading() {
        return Double.isNaN(stands) ? system.nowMs() + ahead : stands;
    }
}

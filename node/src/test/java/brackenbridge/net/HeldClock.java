package brackenbridge.net;

import brackenbridge.clock.Clock;
import java.lang.reflect.Method;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The system's clock, which a test can put forward, or stop the node at: its event loop rests where it asks next, or
 * where a certain method asks. It can also fail where a certain method asks.
 */
final class HeldClock extends Clock {
    /** Where the methods that tests name are looked for. */
    private static final List<String> PACKAGES =
            List.of("brackenbridge.net.", "brackenbridge.net.client.", "brackenbridge.net.upstream.");

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
     * From now on the node's event loop rests as soon as it has read the clock in this method, named as
     * {@code Class.method}, or in one that it calls: it goes on with that reading, however late. To be followed by
     * {@link #awaitHeld}.
     */
    void holdBehindReadingIn(String method) {
        requireMethod(method);
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
        holdWhereAsked(null);
        awaitHeld();
    }

    /** The event loop rests once this method, named as {@code Class.method}, asks for the time. */
    void holdIn(String method) {
        requireMethod(method);
        holdWhereAsked(method);
    }

    private void holdWhereAsked(String method) {
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
        requireMethod(method);
        failsIn = method;
    }

    /** Guards tests against a method that has been renamed or moved: none would ever be held or fail there. */
    private static void requireMethod(String name) {
        int dot = name.lastIndexOf('.');
        String className = name.substring(0, dot);
        String methodName = name.substring(dot + 1);
        boolean exists = PACKAGES.stream()
                .flatMap(prefix -> declaredMethods(prefix + className))
                .anyMatch(method -> method.getName().equals(methodName));
        if (!exists) {
            throw new IllegalArgumentException("there is no method " + name);
        }
    }

    private static Stream<Method> declaredMethods(String className) {
        try {
            return Stream.of(Class.forName(className).getDeclaredMethods());
        } catch (ClassNotFoundException e) {
            return Stream.empty();
        }
    }

    private static String methodOf(StackWalker.StackFrame frame) {
        String className = frame.getClassName();
        return className.substring(className.lastIndexOf('.') + 1) + "." + frame.getMethodName();
    }

    private static String caller() {
        return StackWalker.getInstance()
                .walk(frames ->
                        frames.skip(2).findFirst().map(HeldClock::methodOf).orElse(""));
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
                .walk(frames -> frames.anyMatch(f -> methodOf(f).equals(method)))) {
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

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
final class PausableClock extends Clock {
    /** Where the methods that tests name are looked for. */
    private static final List<String> PACKAGES =
            List.of("brackenbridge.net.", "brackenbridge.net.client.", "brackenbridge.net.upstream.");

    private final Clock system = Clock.system();
    private final Thread testThread = Thread.currentThread();
    private volatile double aheadMs;
    private volatile double frozenMs = Double.NaN;
    private volatile CountDownLatch paused;
    private volatile CountDownLatch resumeSignal;
    /** The method, as {@code Class.method}, whose question for the time stops the loop; null if any does. */
    private volatile String pauseMethod;

    private volatile String failMethod;
    /** The method in which the event loop is to rest; null if anywhere. */
    private volatile String pauseAfterMethod;

    void pass(double ms) {
        aheadMs += ms;
        frozenMs += ms;
    }

    /** From now on no time passes by itself. */
    void freeze() {
        frozenMs = system.nowMs() + aheadMs;
    }

    /** The time that stands is put forward. */
    void advanceFrozen(double ms) {
        frozenMs += ms;
    }

    /**
     * From now on the node's event loop rests as soon as it has read the clock in this method, named as
     * {@code Class.method}, or in one that it calls: it goes on with that reading, however late. To be followed by
     * {@link #awaitHeld}.
     */
    void pauseAfterReadingIn(String method) {
        requireMethod(method);
        pauseMethod = null;
        paused = new CountDownLatch(1);
        pauseAfterMethod = method;
        resumeSignal = new CountDownLatch(1);
    }

    /** Returns once the node's event loop rests. */
    void awaitPaused() throws InterruptedException {
        if (!paused.await(10, TimeUnit.SECONDS)) {
            throw new IllegalStateException("nobody asks for the time there");
        }
    }

    /** Returns once the node's event loop rests; what comes to its sockets from now on waits there. */
    void pause() throws InterruptedException {
        startPause(null);
        awaitPaused();
    }

    /** The event loop rests once this method, named as {@code Class.method}, asks for the time. */
    void pauseIn(String method) {
        requireMethod(method);
        startPause(method);
    }

    private void startPause(String method) {
        pauseMethod = method;
        paused = new CountDownLatch(1);
        pauseAfterMethod = null;
        resumeSignal = new CountDownLatch(1);
    }

    void resume() {
        CountDownLatch signal = resumeSignal;
        resumeSignal = null;
        if (signal != null) {
            signal.countDown();
        }
    }

    /** The next time that this method, named as {@code Class.method}, asks for the time, it gets an exception. */
    void failIn(String method) {
        requireMethod(method);
        failMethod = method;
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
                        frames.skip(2).findFirst().map(PausableClock::methodOf).orElse(""));
    }

    @Override
    public double nowMs() {
        if (failMethod != null && Thread.currentThread() != testThread && caller().equals(failMethod)) {
            failMethod = null;
            throw new IllegalStateException("a fault that the test wants");
        }
        CountDownLatch signal = resumeSignal;
        if (signal == null || Thread.currentThread() == testThread) {
            return reading();
        }
        String method = pauseAfterMethod;
        if (method == null) {
            if (pauseMethod == null || caller().equals(pauseMethod)) {
                awaitResume(signal);
            }
            return reading();
        }
        double before = reading();
        if (StackWalker.getInstance()
                .walk(frames -> frames.anyMatch(f -> methodOf(f).equals(method)))) {
            awaitResume(signal);
        }
        return before;
    }

    private void awaitResume(CountDownLatch until) {
        paused.countDown();
        try {
            until.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private double reading() {
        return Double.isNaN(frozenMs) ? system.nowMs() + aheadMs : frozenMs;
    }
}

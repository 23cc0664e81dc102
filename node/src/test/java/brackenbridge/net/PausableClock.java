package brackenbridge.net;

import brackenbridge.clock.Clock;
import java.lang.reflect.Method;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The system's clock with hooks for tests: it can be advanced or frozen, it can pause the node's event loop at its next
 * reading of the clock or at one in a certain method, and it can fail there.
 */
final class PausableClock extends Clock {
    /** Packages in which methods named by tests are looked up. */
    private static final List<String> PACKAGES =
            List.of("brackenbridge.net.", "brackenbridge.net.client.", "brackenbridge.net.upstream.");

    private final Clock system = Clock.system();
    private final Thread testThread = Thread.currentThread();
    private volatile double aheadMs;
    private volatile double frozenMs = Double.NaN;
    private volatile CountDownLatch paused;
    private volatile CountDownLatch resumeSignal;
    /** The method, as {@code Class.method}, whose reading of the clock pauses the loop; null for any reading. */
    private volatile String pauseMethod;

    private volatile String failMethod;
    /** The method in which the loop pauses after a reading; null if it pauses before one. */
    private volatile String pauseAfterMethod;

    void pass(double ms) {
        aheadMs += ms;
        frozenMs += ms;
    }

    /** Stops time; it advances only by calls from now on. */
    void freeze() {
        frozenMs = system.nowMs() + aheadMs;
    }

    /** Advances the frozen time. */
    void advanceFrozen(double ms) {
        frozenMs += ms;
    }

    /**
     * Pauses the node's event loop as soon as it has read the clock in this method, named as {@code Class.method}, or
     * in one that it calls: it resumes with that reading, however late. To be followed by {@link #awaitPaused}.
     */
    void pauseAfterReadingIn(String method) {
        requireMethod(method);
        pauseMethod = null;
        paused = new CountDownLatch(1);
        pauseAfterMethod = method;
        resumeSignal = new CountDownLatch(1);
    }

    /** Waits until the node's event loop is paused. */
    void awaitPaused() throws InterruptedException {
        if (!paused.await(10, TimeUnit.SECONDS)) {
            throw new IllegalStateException("the clock was not read there within 10 s");
        }
    }

    /** Pauses the node's event loop at its next reading and waits for that; input from now on stays in its sockets. */
    void pause() throws InterruptedException {
        startPause(null);
        awaitPaused();
    }

    /** Pauses the event loop when this method, named as {@code Class.method}, reads the clock next. */
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

    /** Makes the next reading of the clock in this method, named as {@code Class.method}, throw an exception. */
    void failIn(String method) {
        requireMethod(method);
        failMethod = method;
    }

    /** Guards tests against a renamed or moved method, in which nothing would ever pause or fail. */
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
            throw new IllegalStateException("fault injected by the test");
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

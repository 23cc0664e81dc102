package brackenbridge.log;

import brackenbridge.clock.Clock;
import java.io.PrintStream;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * A logger that writes one line for each entry and limits the lines per second. Entries above the limit are dropped and
 * counted; the count is logged in the next second. A separate thread writes the lines, so that a slow reader of the log
 * does not block the event loop.
 */
public final class Log {
    private static final int MAX_LINES_PER_SECOND = 40;
    /** Details never take more than this of the limit, so that they do not displace other entries. */
    private static final int MAX_DETAILS_PER_SECOND = 15;

    private static final int MAX_ENTRY_CHARACTERS = 500;
    private static final int QUEUE_CAPACITY = 256;
    private static final double WINDOW_MS = 1000;
    private static final double MS_PER_SECOND = 1000;
    /** Only a part of the time that a stopping process has left before it is killed. */
    private static final double MAX_FLUSH_MS = 50;

    private final Clock clock;
    private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    /** The entries that are not yet written, including the one that is being written. */
    private final AtomicInteger unwritten = new AtomicInteger();

    private double windowStartMs;
    private int linesInWindow;
    private int detailsInWindow;
    private int droppedLines;

    /** Creates a log and starts the thread that writes to the stream. */
    public Log(Clock clock, PrintStream out) {
        this.clock = clock;
        Thread writer = new Thread(() -> writeLines(out), "log");
        writer.setDaemon(true);
        writer.start();
    }

    private void writeLines(PrintStream out) {
        try {
            while (true) {
                out.println(lines.take());
                removeUnwritten();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void removeUnwritten() {
        if (unwritten.decrementAndGet() == 0) {
            synchronized (unwritten) {
                unwritten.notifyAll();
            }
        }
    }

    /** Logs an event for operators. */
    public void info(String text) {
        log("info", text);
    }

    /** Logs a detail of one request or connection; its text is only made if the limit on details allows the entry. */
    public synchronized void detail(Supplier<String> text) {
        startWindow(clock.nowMs());
        if (detailsInWindow < MAX_DETAILS_PER_SECOND) {
            detailsInWindow++;
            log("info", text.get());
        } else {
            droppedLines++;
        }
    }

    /** Logs a fault outside the node. */
    public void warn(String text) {
        log("warn", text);
    }

    /** Logs a fault inside the node, with the place where it was thrown. */
    public void error(String text, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        log("error", text + ": " + cause + (trace.length == 0 ? "" : " at " + trace[0]));
    }

    private synchronized void log(String level, String text) {
        double nowMs = clock.nowMs();
        startWindow(nowMs);
        if (linesInWindow >= MAX_LINES_PER_SECOND || !enqueue(format(nowMs, level, text))) {
            droppedLines++;
            return;
        }
        linesInWindow++;
    }

    private void startWindow(double nowMs) {
        if (nowMs - windowStartMs < WINDOW_MS) {
            return;
        }
        windowStartMs = nowMs;
        linesInWindow = 0;
        detailsInWindow = 0;
        if (droppedLines > 0 && enqueue(format(nowMs, "warn", droppedLines + " log lines dropped"))) {
            droppedLines = 0;
        }
    }

    private boolean enqueue(String line) {
        unwritten.incrementAndGet();
        if (lines.offer(line)) {
            return true;
        }
        removeUnwritten();
        return false;
    }

    private static String format(double nowMs, String level, String text) {
        String clean = text.replaceAll("\\p{Cntrl}", " ");
        return String.format(
                Locale.ROOT,
                "%.3f %s %s",
                nowMs / MS_PER_SECOND,
                level,
                clean.length() > MAX_ENTRY_CHARACTERS ? clean.substring(0, MAX_ENTRY_CHARACTERS) + "..." : clean);
    }

    /** Waits until all entries so far are written, for a short time at most; called before the process exits. */
    public void flush() throws InterruptedException {
        double endMs = clock.nowMs() + MAX_FLUSH_MS;
        synchronized (unwritten) {
            for (double leftMs = MAX_FLUSH_MS; unwritten.get() > 0 && leftMs > 0; leftMs = endMs - clock.nowMs()) {
                unwritten.wait((long) Math.ceil(leftMs));
            }
        }
    }
}

package brackenbridge.log;

import brackenbridge.clock.Clock;
import java.io.PrintStream;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A small logger: one line an entry, so many lines a second at most. What is over is counted and told in the
 * next second. A thread of its own writes, so that a slow reader of the log never holds up the event loop.
 */
public final class Log {
    private static final int LINES_A_SECOND = 40;
    private static final int LONGEST = 500;

    private final Clock clock;
    private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(256);
    /** Entries that are not yet on the stream, the one that is being written included. */
    private final AtomicInteger unwritten = new AtomicInteger();

    private double second;
    private int written;
    private int dropped;

    /** Writes to this stream. */
    public Log(Clock clock, PrintStream out) {
        this.clock = clock;
        Thread writer = new Thread(() -> write(out), "log");
        writer.setDaemon(true);
        writer.start();
    }

    private void write(PrintStream out) {
        try {
            while (true) {
                out.println(lines.take());
                unwritten.decrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Something that an operator wants to know. */
    public void info(String text) {
        entry("info", text);
    }

    /** Something that went wrong outside the node. */
    public void warn(String text) {
        entry("warn", text);
    }

    /** Something that went wrong inside the node. */
    public void error(String text, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        entry("error", text + ": " + cause + (trace.length == 0 ? "" : " at " + trace[0]));
    }

    private synchronized void entry(String level, String text) {
        double now = clock.nowMs();
        if (now - second >= 1000) {
            second = now;
            written = 0;
            if (dropped > 0 && offer(line(now, "warn", dropped + " log lines dropped"))) {
                dropped = 0;
            }
        }
        if (written >= LINES_A_SECOND || !offer(line(now, level, text))) {
            dropped++;
            return;
        }
        written++;
    }

    private boolean offer(String line) {
        unwritten.incrementAndGet();
        if (lines.offer(line)) {
            return true;
        }
        unwritten.decrementAndGet();
        return false;
    }

    private static String line(double now, String level, String text) {
        String clean = text.replaceAll("\\p{Cntrl}", " ");
        return String.format(
                Locale.ROOT,
                "%.3f %s %s",
                now / 1000,
                level,
                clean.length() > LONGEST ? clean.substring(0, LONGEST) + "..." : clean);
    }

    /** Waits, for a moment at most, until all entries so far are written; for the end of the process. */
    public void flush() throws InterruptedException {
        for (int i = 0; i < 100 && unwritten.get() > 0; i++) {
            Thread.sleep(2);
        }
    }
}

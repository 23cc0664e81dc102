package brackenbridge.lab.soak;

import brackenbridge.clock.Clock;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What came when in a play: a line each, with the milliseconds of the monotonic clock; any thread. */
final class SoakLog implements AutoCloseable {
    private final Clock clock;
    private final PrintWriter lines;

    SoakLog(Clock clock, Path file) throws IOException {
        this.clock = clock;
        this.lines = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void add(String what) {
        lines.printf(Locale.ROOT, "%.3f ms  %s%n", clock.nowMs(), what);
    }

    @Override
    public synchronized void close() {
        lines.close();
    }
}

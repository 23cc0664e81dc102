package brackenbridge.lab.live;

import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Reads from {@code /proc} what a process holds. */
public final class ProcessTable {
    private static final String RESIDENT = "VmRSS:";
    private static final String PEAK = "VmHWM:";
    private static final String THREADS = "Threads:";
    /** The state of a process whose first thread has ended; others may still run. */
    private static final Pattern ZOMBIE = Pattern.compile("State:\\s+[ZX].*");

    private ProcessTable() {}

    /** Open descriptors; empty if the process has ended. */
    public static OptionalLong descriptors(long pid) {
        long count = 0;
        try (DirectoryStream<Path> open = Files.newDirectoryStream(folder(pid).resolve("fd"))) {
            for (Path descriptor : open) {
                count += descriptor == null ? 0 : 1;
            }
            return OptionalLong.of(count);
        } catch (IOException | DirectoryIteratorException e) {
            return OptionalLong.empty();
        }
    }

    /** Memory that is resident now, in KiB; empty if the process has ended. */
    public static OptionalLong residentKib(long pid) {
        return memoryKib(pid, RESIDENT);
    }

    /** The most memory that was resident at once, in KiB; empty if the process has ended. */
    public static OptionalLong peakResidentKib(long pid) {
        return memoryKib(pid, PEAK);
    }

    private static OptionalLong memoryKib(long pid, String field) {
        return number(status(pid), field);
    }

    /**
     * Whether each thread of a process has ended, by the kernel. The parent learns of it only once its own thread that
     * waits for the process has run.
     */
    public static boolean hasEnded(long pid) {
        List<String> status = status(pid);
        boolean leaderEnded = status.stream().anyMatch(ZOMBIE.asMatchPredicate());
        return status.isEmpty() || leaderEnded && number(status, THREADS).orElse(0) <= 1;
    }

    private static OptionalLong number(List<String> status, String field) {
        return status.stream()
                .filter(line -> line.startsWith(field))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst();
    }

    /** Empty if there is no such process any more. */
    private static List<String> status(long pid) {
        try {
            return Files.readAllLines(folder(pid).resolve("status"));
        } catch (IOException e) {
            return List.of();
        }
    }

    private static Path folder(long pid) {
        return Path.of("/proc", Long.toString(pid));
    }
}

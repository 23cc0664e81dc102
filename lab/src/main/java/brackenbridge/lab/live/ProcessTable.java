package brackenbridge.lab.live;

import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;

/** Reads from {@code /proc} what a process holds. */
public final class ProcessTable {
    private static final String RESIDENT = "VmRSS:";
    private static final String PEAK = "VmHWM:";

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
        try {
            return Files.readAllLines(folder(pid).resolve("status")).stream()
                    .filter(line -> line.startsWith(field))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst();
        } catch (IOException e) {
            return OptionalLong.empty();
        }
    }

    private static Path folder(long pid) {
        return Path.of("/proc", Long.toString(pid));
    }
}

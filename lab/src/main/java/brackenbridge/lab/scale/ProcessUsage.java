package brackenbridge.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * What a process has used by now, as the kernel counts it.
 *
 * @param pid the process
 * @param cpuMs processor time, in milliseconds
 * @param memoryMb resident memory, in MB of 2^20 bytes
 * @param threads threads
 * @param descriptors open descriptors
 */
record ProcessUsage(long pid, double cpuMs, double memoryMb, int threads, int descriptors) {
    private static final double KB_PER_MB = 1024;

    /** Reads it of this project's own process; what can't be read is 0. */
    static ProcessUsage of(ProcessHandle process) {
        Path folder = Path.of("/proc", Long.toString(process.pid()));
        double cpuMs = process.info()
                .totalCpuDuration()
                .map(spent -> spent.toNanos() / 1e6)
                .orElse(0.0);
        return new ProcessUsage(
                process.pid(),
                cpuMs,
                statusValue(folder, "VmRSS:") / KB_PER_MB,
                (int) statusValue(folder, "Threads:"),
                descriptors(folder));
    }

    private static double statusValue(Path folder, String key) {
        try (Stream<String> lines = Files.lines(folder.resolve("status"))) {
            return lines.filter(line -> line.startsWith(key))
                    .mapToDouble(line -> Double.parseDouble(
                            line.substring(key.length()).replace("kB", "").trim()))
                    .findFirst()
                    .orElse(0);
        } catch (IOException | java.io.UncheckedIOException e) {
            // The process has just ended.
            return 0;
        }
    }

    private static int descriptors(Path folder) {
        try (Stream<Path> all = Files.list(folder.resolve("fd"))) {
            return (int) all.count();
        } catch (IOException e) {
            return 0;
        }
    }
}

package brackenbridge.lab.soak;

import brackenbridge.lab.live.ProcessTable;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Adds up, again and again, what all processes of a node hold; a thread of its own. */
final class ResourceWatch implements AutoCloseable {
    private static final long PERIOD_MS = 20;

    private final Thread thread = new Thread(this::watch, "soak resources");
    private volatile List<Long> pids = List.of();
    private volatile long peakDescriptors;
    private volatile long peakResidentKib;
    private volatile double schedulingDelayMs;
    /** Of the watching thread alone. */
    private final SchedulingDelay delay = new SchedulingDelay();

    void start() {
        thread.setDaemon(true);
        thread.start();
    }

    /** Watches these processes from now on. */
    void watch(List<Long> processes) {
        pids = List.copyOf(processes);
    }

    private void watch() {
        try {
            while (true) {
                sample(pids);
                TimeUnit.MILLISECONDS.sleep(PERIOD_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sample(List<Long> processes) {
        long descriptors = 0;
        long residentKib = 0;
        for (long pid : processes) {
            descriptors += ProcessTable.descriptors(pid).orElse(0);
            residentKib += ProcessTable.residentKib(pid).orElse(0);
        }
        double nodeMs = processes.stream().mapToDouble(delay::recentMs).max().orElse(0);
        schedulingDelayMs =
                nodeMs + delay.recentEventLoopMs(ProcessHandle.current().pid());
        peakDescriptors = Math.max(peakDescriptors, descriptors);
        peakResidentKib = Math.max(peakResidentKib, residentKib);
    }

    /** How long a process of the node and the laboratory's own loop waited for processors within the last second. */
    double schedulingDelayMs() {
        return schedulingDelayMs;
    }

    long peakDescriptors() {
        return peakDescriptors;
    }

    long peakResidentKib() {
        return peakResidentKib;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}

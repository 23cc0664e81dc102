package brackenbridge.lab.grow;

import brackenbridge.lab.live.Control;
import brackenbridge.lab.live.LiveRunner;
import brackenbridge.lab.live.ProcessTable;
import brackenbridge.lab.model.Scheduler;
import java.io.IOException;
import java.time.Duration;
import java.util.List;

/** Reads what a run's one node process needs from {@code /proc}, while the run lasts and once at its end. */
final class ProcessMeter implements LiveRunner.Begun {
    private static final double SAMPLE_EVERY_MS = 50;
    private static final double NS_PER_S = 1e9;
    private static final double KB_PER_MB = 1024;

    private volatile boolean over;
    private volatile long mostDescriptors;
    private double cpuSeconds;
    private double memoryMb;

    @Override
    public void now(Scheduler scheduler, List<? extends Control> nodes) {
        sample(scheduler, nodes.get(0).pid());
    }

    private void sample(Scheduler scheduler, long pid) {
        if (over) {
            return;
        }
        mostDescriptors =
                Math.max(mostDescriptors, ProcessTable.descriptors(pid).orElseThrow());
        scheduler.at(scheduler.nowMs() + SAMPLE_EVERY_MS, () -> sample(scheduler, pid));
    }

    @Override
    public void ended(List<? extends Control> nodes) throws IOException {
        over = true;
        long pid = nodes.get(0).pid();
        memoryMb =
                ProcessTable.peakResidentKib(pid).orElseThrow(() -> new IOException("no peak memory of process " + pid))
                        / KB_PER_MB;
        cpuSeconds = ProcessHandle.of(pid)
                        .flatMap(process -> process.info().totalCpuDuration())
                        .map(Duration::toNanos)
                        .orElseThrow(() -> new IOException("no processor time of process " + pid))
                / NS_PER_S;
    }

    double cpuSeconds() {
        return cpuSeconds;
    }

    double memoryMb() {
        return memoryMb;
    }

    long descriptors() {
        return mostDescriptors;
    }
}

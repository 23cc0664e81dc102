package brackenbridge.fleet.peer;

import java.util.ArrayDeque;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls to watchers and alarms, one after another on a thread of their own, so that one that blocks holds no lock of
 * the links. Bounded: beyond that the oldest call about the same peer gives way.
 */
final class WatcherQueue {
    private static final Logger LOG = LoggerFactory.getLogger(WatcherQueue.class);
    private static final int MAX_CALLS = 4096;

    private record Call(String peer, Runnable run) {}

    private final ArrayDeque<Call> calls = new ArrayDeque<>();
    private final LinkMetrics metrics;
    private boolean ended;

    /** An empty queue that counts calls that were lost or failed. */
    WatcherQueue(LinkMetrics figures) {
        this.metrics = figures;
    }

    /** Adds a call about this peer. */
    synchronized void add(String peer, Runnable run) {
        if (calls.size() >= MAX_CALLS) {
            calls.remove(calls.stream()
                    .filter(call -> Objects.equals(call.peer(), peer))
                    .findFirst()
                    .orElse(calls.peek()));
            metrics.count("events_lost");
        }
        calls.add(new Call(peer, run));
        notifyAll();
    }

    /** No call comes any more: {@link #run} returns once all that wait are made. */
    synchronized void end() {
        ended = true;
        notifyAll();
    }

    /** Makes the calls until the end. */
    void run() {
        for (Call call = next(); call != null; call = next()) {
            try {
                call.run().run();
            } catch (RuntimeException e) {
                metrics.count("watcher_failed");
                LOG.error("a watcher failed", e);
            }
        }
    }

    /** The next call; null at the end. */
    private synchronized Call next() {
        while (calls.isEmpty() && !ended) {
            try {
                wait();
            } catch (InterruptedException e) {
                // Only the end interrupts; what is left is told first.
                LOG.debug("woken to end");
            }
        }
        return calls.poll();
    }
}

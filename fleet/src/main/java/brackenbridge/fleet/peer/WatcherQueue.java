package brackenbridge.fleet.peer;

import java.util.ArrayDeque;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Queue of calls to watchers and fault listeners, made sequentially on a dedicated thread, so that one that blocks does
 * not hold the lock of the links. Bounded: when full, the oldest call about the same peer is dropped.
 */
final class WatcherQueue {
    private static final Logger LOG = LoggerFactory.getLogger(WatcherQueue.class);
    private static final int MAX_CALLS = 4096;

    private record Call(String peer, Runnable run) {}

    private final ArrayDeque<Call> calls = new ArrayDeque<>();
    private final LinkMetrics metrics;
    private boolean ended;

    /** Creates an empty queue that counts dropped and failed calls in these metrics. */
    WatcherQueue(LinkMetrics metrics) {
        this.metrics = metrics;
    }

    /** Queues a call about this peer. */
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

    /** Ends the queue: {@link #run} returns after the queued calls. */
    synchronized void end() {
        ended = true;
        notifyAll();
    }

    /** Makes the queued calls until {@link #end} is called. */
    void run() {
        for (Call call = next(); call != null; call = next()) {
            try {
                call.run().run();
            } catch (RuntimeException e) {
                metrics.count("watcher_failed");
                LOG.error("a watcher or fault listener failed", e);
            }
        }
    }

    /** Waits for the next call; null after {@link #end}. */
    private synchronized Call next() {
        while (calls.isEmpty() && !ended) {
            try {
                wait();
            } catch (InterruptedException e) {
                // Interrupted only at shutdown; the queued calls are made first.
                LOG.debug("interrupted at shutdown");
            }
        }
        return calls.poll();
    }
}

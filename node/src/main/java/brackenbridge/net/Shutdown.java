package brackenbridge.net;

import brackenbridge.core.ShutdownSchedule;
import brackenbridge.counters.Counters;
import brackenbridge.log.Log;
import brackenbridge.net.client.Listener;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The last steps of a graceful shutdown, after the reducer has decided to exit. Used on the event loop only. */
final class Shutdown {
    private static final long FINISH_CHECK_INTERVAL_MS = 20;
    private static final int SERVICE_UNAVAILABLE_STATUS = 503;

    private final EventLoop loop;
    private final Listener listener;
    private final Replacement replacement;
    private final Counters counters;
    private final Log log;
    private final CompletableFuture<Void> completed = new CompletableFuture<>();
    /** The process exits within {@link ShutdownSchedule#EXIT_LINGER_MS}, whatever its clients do. */
    private boolean exitsImmediately;

    Shutdown(EventLoop loop, Listener listener, Replacement replacement, Counters counters, Log log) {
        this.loop = loop;
        this.listener = listener;
        this.replacement = replacement;
        this.counters = counters;
        this.log = log;
    }

    /** Completes when the node has stopped; any thread may wait for it. */
    CompletableFuture<Void> completed() {
        return completed;
    }

    /**
     * Exits once the last clients have received their responses; after a fixed short delay if it must be immediately.
     */
    void exit(boolean immediately) {
        if (immediately) {
            exitsImmediately = true;
            // Incomplete requests are rejected now: the process will have exited before the rest of them arrives.
            listener.rejectIncomplete(SERVICE_UNAVAILABLE_STATUS);
            loop.schedule(this::complete, ShutdownSchedule.EXIT_LINGER_MS, TimeUnit.MILLISECONDS);
        }
        awaitConnectionsFinished();
    }

    private void awaitConnectionsFinished() {
        if (exitsImmediately) {
            listener.closeAllIdleConnections();
        } else {
            listener.closeIdleConnections();
        }
        if (listener.allConnectionsFinished()) {
            complete();
        } else if (!completed.isDone()) {
            loop.schedule(this::awaitConnectionsFinished, FINISH_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void complete() {
        if (completed.isDone()) {
            return;
        }
        replacement.close();
        log.info("stopped: " + counters.toLine());
        completed.complete(null);
    }
}

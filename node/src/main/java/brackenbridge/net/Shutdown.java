package brackenbridge.net;

import brackenbridge.core.ShutdownSchedule;
import brackenbridge.counters.Counters;
import brackenbridge.log.Log;
import brackenbridge.net.client.Listener;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The last steps of a stopping node, once the reducer has decided that it exits. Used on the event loop only. */
final class Shutdown {
    private static final long FINISH_CHECK_INTERVAL_MS = 20;
    private static final int SERVICE_UNAVAILABLE_STATUS = 503;

    private final EventLoop loop;
    private final Listener listener;
    private final Replacement replacement;
    private final Counters counters;
    private final Log log;
    private final CompletableFuture<Void> completed = new CompletableFuture<>();

    Shutdown(EventLoop loop, Listener listener, Replacement replacement, Counters counters, Log log) {
        this.loop = loop;
        this.listener = listener;
        this.replacement = replacement;
        this.counters = counters;
        this.log = log;
    }

    /** Completes when the node has stopped; may be waited for on any thread. */
    CompletableFuture<Void> completed() {
        return completed;
    }

    /** Exits once the last clients have received their responses; soon if it must be immediately. */
    void exit(boolean immediately) {
        if (immediately) {
            // An incomplete request is rejected now: its rest would meet a process that has exited.
            listener.rejectIncomplete(SERVICE_UNAVAILABLE_STATUS);
            loop.schedule(this::complete, ShutdownSchedule.EXIT_LINGER_MS, TimeUnit.MILLISECONDS);
        }
        awaitConnectionsFinished();
    }

    private void awaitConnectionsFinished() {
        listener.closeIdleConnections();
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

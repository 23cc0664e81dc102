package brackenbridge.cli;

import brackenbridge.log.Log;
import brackenbridge.net.Node;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntConsumer;

/** The process of a node: stops the node in an orderly way and then ends. */
final class NodeProcess {
    /** The exit status after a shutdown that failed. */
    static final int EXIT_STOP_FAILED = 1;

    private static final long MAX_STOP_MINUTES = 1;

    private final Node node;
    private final Main.NodeExtension extension;
    private final Log log;
    private final IntConsumer exit;
    /** Completes at the end of the process; null until a stop. */
    private volatile CompletableFuture<Void> ended;

    /**
     * Creates the process of a node.
     *
     * @param extension null for a node without one
     * @param exit ends the process with a status, without running shutdown hooks
     */
    NodeProcess(Node node, Main.NodeExtension extension, Log log, IntConsumer exit) {
        this.node = node;
        this.extension = extension;
        this.log = log;
        this.exit = exit;
    }

    /**
     * Starts to stop the node, after which the process ends with status 0; repeated calls have no further effect.
     *
     * <p>The process ends on the thread that completes the stop, which is the node's event loop unless there is an
     * extension. Guards a process against a platform that kills it while another thread, which has slept since the
     * stop began, waits for a processor.
     */
    synchronized void stop() {
        if (ended == null) {
            ended = closeExtension(node.stop()).thenRun(this::end);
        }
    }

    /** Waits for the end after {@link #stop}; ends the process with status 1 if the node does not stop. */
    void awaitEnd() {
        try {
            ended.get(MAX_STOP_MINUTES, TimeUnit.MINUTES);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            System.err.println("brackenbridge: stop failed: " + e);
            exit.accept(EXIT_STOP_FAILED);
        }
    }

    /** Closes the extension, if there is one, on a thread of its own, since that may block. */
    private CompletableFuture<Void> closeExtension(CompletableFuture<Void> stopped) {
        return extension == null
                ? stopped
                : stopped.thenRunAsync(extension::onStopped, close -> new Thread(close, "extension").start());
    }

    private void end() {
        try {
            log.flush();
        } catch (InterruptedException e) {
            // The process ends without the rest of its log.
            Thread.currentThread().interrupt();
        }
        exit.accept(0);
    }
}

package brackenbridge.cli;

import brackenbridge.log.Log;
import brackenbridge.net.Node;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
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
    private final Closeable logOutput;
    private final IntConsumer halt;

    /**
     * Creates the process of a node.
     *
     * @param extension null for a node without one
     * @param logOutput what the log is written to
     * @param halt ends the process with a status, without running shutdown hooks
     */
    NodeProcess(Node node, Main.NodeExtension extension, Log log, Closeable logOutput, IntConsumer halt) {
        this.node = node;
        this.extension = extension;
        this.log = log;
        this.logOutput = logOutput;
        this.halt = halt;
    }

    /**
     * Stops the node and ends the process: with status 0, or 1 if the node did not stop. Blocks meanwhile.
     *
     * <p>The process ends on the thread that completes the stop, which is the node's event loop unless there is an
     * extension. Guards a process against a platform that kills it while the calling thread, which has slept since the
     * stop began, waits for a processor.
     */
    void stop() {
        try {
            closeExtension(node.stop()).thenRun(this::end).get(MAX_STOP_MINUTES, TimeUnit.MINUTES);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            System.err.println("brackenbridge: stop failed: " + e);
            halt.accept(EXIT_STOP_FAILED);
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
            node.parkEventLoops();
            log.flush();
            // Unblocks a write to a pipe that nobody reads, for which the exit would wait.
            logOutput.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            // The process ends without the rest of its log.
            Thread.currentThread().interrupt();
        }
        halt.accept(0);
    }
}

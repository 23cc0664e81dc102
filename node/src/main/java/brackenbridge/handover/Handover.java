package brackenbridge.handover;

import brackenbridge.counters.Counters;
import brackenbridge.log.Log;
import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/**
 * One process's side of the replacement of a node's process. A process starts as the successor of the running process,
 * and later is the predecessor of the next one. Confined to the node's event loop.
 */
public final class Handover {
    /** Below the limit of operating systems for the path of a Unix socket, which is 104 bytes or more. */
    private static final int MAX_PATH_LENGTH = 100;

    /** The process that takes part in a handover. */
    public interface Participant {
        /**
         * Called when a successor has connected. Completes on the event loop with the state for the successor; the
         * process gives up the descriptors in it.
         */
        CompletableFuture<HandoverState> prepareState();

        /** Called when the successor begins to serve clients, or has ended. */
        void onSuccessorChanged(boolean serving);

        /** Called when the predecessor has ended. */
        void onPredecessorEnded();

        /** Called when another process has sent a message about descriptors. */
        void onDescriptorMessage(Neighbour from, DescriptorMessage message);
    }

    private final PredecessorClient predecessorClient;
    private final SuccessorListener successorListener;

    /** Creates a handover without opening a connection or a listener. */
    public Handover(EventLoop loop, Path path, Participant process, Counters counters, Log log) {
        predecessorClient = new PredecessorClient(loop, path, process, counters, log);
        successorListener = new SuccessorListener(loop, path, process, counters, log);
    }

    /** Returns the path of the socket for handovers of a node; null if the path would be too long for a socket. */
    public static Path socketPath(String directory, String node, String listen) {
        Path path = Path.of(directory, "bb-" + Integer.toHexString((node + " " + listen).hashCode()) + ".sock");
        return path.toString().length() > MAX_PATH_LENGTH ? null : path;
    }

    /** Connects to a predecessor; completes with its state, or with null if there is no readable one. */
    public CompletableFuture<HandoverState> requestState() {
        return predecessorClient.requestState();
    }

    /** Notifies the predecessor that this process can serve, takes over the path and then runs the action. */
    public void announceReady(Runnable action) {
        predecessorClient.announceReady(() -> {
            successorListener.listen();
            action.run();
        });
    }

    /** Sends a message about descriptors; it is dropped if there is no such process. */
    public void send(Neighbour recipient, DescriptorMessage message) {
        if (recipient == Neighbour.PREDECESSOR) {
            predecessorClient.send(message);
        } else {
            successorListener.send(message);
        }
    }

    /** Stops listening and leaves the path to the successor, as this process ends. */
    public void close() {
        successorListener.close();
    }
}

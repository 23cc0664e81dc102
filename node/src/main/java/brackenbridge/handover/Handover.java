package brackenbridge.handover;

import brackenbridge.counters.Counters;
import brackenbridge.log.Log;
import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/**
 * One process's part in the replacement of a node's process: at its start it is the successor of the process that
 * serves already, later the predecessor of the one that comes next. On the node's event loop only.
 */
public final class Handover {
    /** Below the limit of the systems for the name of a Unix socket, which is 104 bytes or more. */
    private static final int MAX_PATH_LENGTH = 100;

    /** The process that hands over or takes over. */
    public interface Participant {
        /**
         * A successor has connected: completes, on the event loop, with the state that it gets. The process gives up
         * that part of its descriptors.
         */
        CompletableFuture<HandoverState> prepareState();

        /** The successor serves clients, or there is none any more. */
        void onSuccessorChanged(boolean on);

        /** The predecessor has ended. */
        void onPredecessorEnded();
    }

    private final PredecessorClient predecessorClient;
    private final SuccessorListener successorListener;

    /** A handover that has not begun: neither a connection nor a listener is open. */
    public Handover(EventLoop loop, Path path, Participant process, Counters counters, Log log) {
        predecessorClient = new PredecessorClient(loop, path, process, counters, log);
        successorListener = new SuccessorListener(loop, path, process, counters, log);
    }

    /** The path at which the processes of a node meet; null if the directory's name is too long for a socket's. */
    public static Path socketPath(String directory, String node, String listen) {
        Path path = Path.of(directory, "bb-" + Integer.toHexString((node + " " + listen).hashCode()) + ".sock");
        return path.toString().length() > MAX_PATH_LENGTH ? null : path;
    }

    /** Asks for a predecessor; completes with its state, or with null if there is none that can be read. */
    public CompletableFuture<HandoverState> requestState() {
        return predecessorClient.requestState();
    }

    /** This process listens and can serve; the action runs once the predecessor knows and the path is taken over. */
    public void announceReady(Runnable action) {
        predecessorClient.announceReady(() -> {
            successorListener.listen();
            action.run();
        });
    }

    /** This process ends: it leaves the path to its successor. */
    public void close() {
        successorListener.close();
    }
}

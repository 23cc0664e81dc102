package brackenbridge.net.client;

import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;
import brackenbridge.net.channel.DescriptorBudget;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The open client connections. Pauses accepting while no descriptor is left for further ones. */
final class ConnectionRegistry {
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final DescriptorBudget descriptors;
    private final Counters counters;
    private final Runnable makeRoom;
    private final Runnable onPaused;
    private ConnectionAcceptor acceptor;

    /**
     * Creates an empty registry.
     *
     * @param makeRoom closes an idle connection when no further client connection fits
     * @param onPaused runs when nothing could be closed and accepting has been paused
     */
    ConnectionRegistry(DescriptorBudget descriptors, Counters counters, Runnable makeRoom, Runnable onPaused) {
        this.descriptors = descriptors;
        this.counters = counters;
        this.makeRoom = makeRoom;
        this.onPaused = onPaused;
    }

    /** Sets the acceptor that this registry pauses and resumes. */
    void setAcceptor(ConnectionAcceptor newAcceptor) {
        acceptor = newAcceptor;
    }

    /** The open connections, the oldest first. */
    Set<ClientConnection> connections() {
        return connections;
    }

    /** A copy of the open connections, for loops that may end some of them. */
    List<ClientConnection> copy() {
        return List.copyOf(connections);
    }

    /** Adds an accepted connection. */
    void add(ClientConnection connection) {
        counters.count(Counter.CLIENTS_ACCEPTED);
        descriptors.addClients(1);
        connections.add(connection);
    }

    /** Removes a closed connection. */
    void remove(ClientConnection connection) {
        connections.remove(connection);
        descriptors.addClients(-1);
        resumeAccepting();
    }

    /** Frees a descriptor for the next client; if no idle connection can be shed, accepting is paused. */
    void makeRoomForNext() {
        if (!descriptors.hasRoomForClient()) {
            makeRoom.run();
            if (!descriptors.hasRoomForClient() && acceptor != null) {
                acceptor.setAccepting(false);
                onPaused.run();
            }
        }
    }

    /** Upper bound on the time for which clients have been waiting to be accepted, in milliseconds. */
    double backlogWaitMs() {
        return acceptor == null ? 0 : acceptor.backlogWaitMs();
    }

    /** Runs the action after a delay in milliseconds, unless the acceptor is being closed by then. */
    void scheduleIfAccepting(Runnable action, long delayMs) {
        acceptor.scheduleIfOpen(action, delayMs);
    }

    /** Resumes accepting if one more client fits; returns whether it does. */
    boolean resumeAccepting() {
        if (acceptor != null && descriptors.hasRoomForClient()) {
            acceptor.setAccepting(true);
            return true;
        }
        return false;
    }

    /** Directs new connections to the successor process. */
    void steerNewConnections() {
        if (acceptor != null) {
            acceptor.steerToSuccessor();
        }
    }

    /** Stops accepting permanently. */
    void stopAccepting() {
        if (acceptor != null) {
            acceptor.close();
        }
    }

    /** Whether the backlog is still being emptied after {@link #stopAccepting}. */
    boolean isEmptyingBacklog() {
        return acceptor != null && acceptor.isEmptyingBacklog();
    }
}

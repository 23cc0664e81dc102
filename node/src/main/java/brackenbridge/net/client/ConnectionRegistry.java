package brackenbridge.net.client;

import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;
import brackenbridge.net.channel.DescriptorBudget;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The open client connections, and whether further ones are accepted: with no descriptor left they wait. */
final class ConnectionRegistry {
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final DescriptorBudget descriptors;
    private final Counters counters;
    private final Runnable makeRoom;
    private final Runnable onPaused;
    private ConnectionAcceptor acceptor;

    /**
     * With no connection yet.
     *
     * @param makeRoom is to close something that is idle when no client connection fits any more
     * @param onPaused runs when there was nothing to close, and further clients wait
     */
    ConnectionRegistry(DescriptorBudget descriptors, Counters counters, Runnable makeRoom, Runnable onPaused) {
        this.descriptors = descriptors;
        this.counters = counters;
        this.makeRoom = makeRoom;
        this.onPaused = onPaused;
    }

    /** Sets the acceptor that is paused and resumed here. */
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

    /** Registers a connection that has been accepted. */
    void add(ClientConnection connection) {
        counters.count(Counter.CLIENTS_ACCEPTED);
        descriptors.addClients(1);
        connections.add(connection);
    }

    /** Removes a connection that has ended. */
    void remove(ClientConnection connection) {
        connections.remove(connection);
        descriptors.addClients(-1);
        resumeAccepting();
    }

    /** Makes room for the next client; with nothing idle to shed, clients wait in the backlog. */
    void makeRoomForNext() {
        if (!descriptors.hasRoomForClient()) {
            makeRoom.run();
            if (!descriptors.hasRoomForClient() && acceptor != null) {
                acceptor.setAccepting(false);
                onPaused.run();
            }
        }
    }

    /** Runs this after a delay in milliseconds, unless nothing is accepted any more. */
    void scheduleIfAccepting(Runnable action, long delayMs) {
        acceptor.scheduleIfOpen(action, delayMs);
    }

    /** Accepts clients again if one more fits; whether it does. */
    boolean resumeAccepting() {
        if (acceptor != null && descriptors.hasRoomForClient()) {
            acceptor.setAccepting(true);
            return true;
        }
        return false;
    }

    /** Leaves new connections to the process that listens beside this one. */
    void steerNewConnections() {
        if (acceptor != null) {
            acceptor.steerToSuccessor();
        }
    }

    /** Accepts no more clients, for good. */
    void stopAccepting() {
        if (acceptor != null) {
            acceptor.close();
        }
    }

    /** Whether clients that the kernel has accepted are still being taken after {@link #stopAccepting}. */
    boolean isEmptyingBacklog() {
        return acceptor != null && acceptor.isEmptyingBacklog();
    }
}

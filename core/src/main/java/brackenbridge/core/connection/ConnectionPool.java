package brackenbridge.core.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The pool of the node's connections to servers. A connection is opening, idle, assigned to one attempt, or closed and
 * forgotten. An attempt acquires a connection and waits for it. The oldest waiter for a server gets the first
 * connection that becomes available, whether it was opened for this waiter, opened late for another one or released. If
 * a connection is late, another one is opened in addition, within a budget; the late one is kept and serves a later
 * attempt once it is established.
 *
 * <p>The pool does no I/O: events and times go in, and commands to be carried out in order come out. Times are
 * milliseconds of one clock. Unknown ids are ignored, since the connection or waiter may have ended in the meantime.
 */
public final class ConnectionPool {
    private static final int MAX_OPENS_PER_WAITER = 3;
    /** A connection may take this many connect time-outs to open, since a later attempt can still use it. */
    private static final double OPEN_TIMEOUT_CONNECT_TIMEOUTS = 4;
    /** How many local failures of a waiter's connections are retried. */
    private static final int MAX_LOCAL_RETRIES = 1;

    private static final double LOCAL_RETRY_DELAY_MS = 4;

    private final Map<EndpointIdentity, EndpointConnections> endpoints = new HashMap<>();
    private final Map<Long, PooledConnection> connections = new HashMap<>();
    private final Map<Long, ConnectionWaiter> waiters = new HashMap<>();
    private final ConnectLatencyEstimate connectLatency;
    private final StaleConnectionEstimate staleConnections = new StaleConnectionEstimate();
    private final AdditionalOpenBudget additionalOpens = new AdditionalOpenBudget();
    private List<ConnectionCommand> commands = new ArrayList<>();
    private long nextConnectionId;
    private double connectTimeoutMs;
    private double idleTimeoutMs;

    /**
     * Creates an empty pool.
     *
     * @param connectTimeoutMs the longest time that an attempt waits for a connection
     * @param idleTimeoutMs how long an idle connection is kept
     */
    public ConnectionPool(double connectTimeoutMs, double idleTimeoutMs) {
        applySettings(connectTimeoutMs, idleTimeoutMs);
        connectLatency = new ConnectLatencyEstimate(connectTimeoutMs);
    }

    /** Applies these times to attempts that acquire a connection from now on. */
    public void applySettings(double newConnectTimeoutMs, double newIdleTimeoutMs) {
        connectTimeoutMs = newConnectTimeoutMs;
        idleTimeoutMs = newIdleTimeoutMs;
    }

    /** Acquires a connection for an attempt, under a waiter id that was never used before. */
    public List<ConnectionCommand> acquire(double nowMs, long waiterId, EndpointIdentity endpoint) {
        EndpointConnections group = findOrCreateGroup(endpoint);
        if (!assignIdle(nowMs, group, waiterId)) {
            enqueueWaiter(nowMs, group, new ConnectionWaiter(waiterId, endpoint, nowMs + connectTimeoutMs));
        }
        return takeCommands();
    }

    /** Assigns the most recently used idle connection that is trusted; closes those that are not. */
    private boolean assignIdle(double nowMs, EndpointConnections group, long waiterId) {
        while (!group.idle.isEmpty()) {
            PooledConnection connection = group.idle.pollLast();
            if (connection.timeInStateMs(nowMs) < maxTrustedIdleMs()) {
                connection.assignFromIdle(nowMs);
                assign(nowMs, connection, waiterId);
                return true;
            }
            close(connection);
        }
        return false;
    }

    private void enqueueWaiter(double nowMs, EndpointConnections group, ConnectionWaiter waiter) {
        waiters.put(waiter.id, waiter);
        group.waiters.add(waiter);
        if (group.needsOpening(nowMs, lateAfterMs())) {
            additionalOpens.onFirstOpen();
            open(nowMs, group, waiter);
        }
        scheduleWake(nowMs, waiter);
    }

    /** Cancels the wait of an attempt, for which nothing was sent. A connection opened for it serves another waiter. */
    public List<ConnectionCommand> cancelWait(long waiterId) {
        ConnectionWaiter waiter = waiters.remove(waiterId);
        if (waiter != null) {
            EndpointConnections group = endpoints.get(waiter.endpoint);
            group.waiters.remove(waiter);
            removeIfEmpty(waiter.endpoint, group);
        }
        return takeCommands();
    }

    /** The time of a {@link ConnectionCommand.Wake} has come. */
    public List<ConnectionCommand> onWake(double nowMs, long waiterId) {
        ConnectionWaiter waiter = waiters.get(waiterId);
        if (waiter == null || nowMs < waiter.nextWakeMs) {
            return takeCommands();
        }
        EndpointConnections group = endpoints.get(waiter.endpoint);
        if (nowMs >= waiter.deadlineMs) {
            giveUp(group, waiter, waiter.timeoutReason());
            removeIfEmpty(waiter.endpoint, group);
            return takeCommands();
        }
        if (group.needsOpening(nowMs, lateAfterMs())) {
            openIfPermitted(nowMs, group, waiter);
        }
        scheduleWake(nowMs, waiter);
        return takeCommands();
    }

    private void openIfPermitted(double nowMs, EndpointConnections group, ConnectionWaiter waiter) {
        if (waiter.openCount == 0) {
            open(nowMs, group, waiter);
        } else if (waiter.openCount < MAX_OPENS_PER_WAITER && additionalOpens.hasToken()) {
            additionalOpens.takeToken();
            open(nowMs, group, waiter);
        }
    }

    /** A connection has been established. */
    public List<ConnectionCommand> onConnected(double nowMs, long connectionId) {
        PooledConnection connection = connections.get(connectionId);
        if (connection != null && connection.state == PooledConnection.State.OPENING) {
            EndpointConnections group = endpoints.get(connection.endpoint);
            group.opening.remove(connection);
            connectLatency.onConnected(connection.timeInStateMs(nowMs), connectTimeoutMs);
            assignToOldestOrKeep(nowMs, group, connection);
        }
        return takeCommands();
    }

    /** Releases the connection of a complete attempt, so that it can be used for another one. */
    public List<ConnectionCommand> release(double nowMs, long connectionId) {
        PooledConnection connection = connections.get(connectionId);
        if (connection != null && connection.state == PooledConnection.State.ASSIGNED) {
            assignToOldestOrKeep(nowMs, findOrCreateGroup(connection.endpoint), connection);
        }
        return takeCommands();
    }

    /** A connection has failed or ended, or is about to be closed. */
    public List<ConnectionCommand> onConnectionEnded(double nowMs, long connectionId) {
        return onConnectionEnded(nowMs, connectionId, ConnectionCommand.FailureReason.CONNECT_FAILED);
    }

    /** A connection could not be opened because the node has no file descriptor left. */
    public List<ConnectionCommand> onDescriptorsExhausted(double nowMs, long connectionId) {
        return onConnectionEnded(nowMs, connectionId, ConnectionCommand.FailureReason.NO_DESCRIPTOR);
    }

    private List<ConnectionCommand> onConnectionEnded(
            double nowMs, long connectionId, ConnectionCommand.FailureReason reason) {
        PooledConnection connection = connections.remove(connectionId);
        EndpointConnections group = connection == null ? null : endpoints.get(connection.endpoint);
        if (group == null) {
            return takeCommands();
        }
        group.idle.remove(connection);
        if (group.opening.remove(connection)) {
            reopenOrGiveUp(nowMs, group, reason);
        }
        removeIfEmpty(connection.endpoint, group);
        return takeCommands();
    }

    /** For each waiter without an opening connection, opens its first connection or gives up. */
    private void reopenOrGiveUp(double nowMs, EndpointConnections group, ConnectionCommand.FailureReason reason) {
        int withoutOpening = group.waitersWithoutOpening();
        for (ConnectionWaiter waiter : List.copyOf(group.waiters)) {
            if (withoutOpening-- <= 0) {
                return;
            }
            if (waiter.openCount == 0 && reason != ConnectionCommand.FailureReason.NO_DESCRIPTOR) {
                open(nowMs, group, waiter);
            } else {
                giveUp(group, waiter, reason);
            }
        }
    }

    /**
     * A connection could not be opened because a system call failed on this machine. The waiter tries once more after a
     * short delay, since the missing resource may be available again, and then gives up, since another server may still
     * be reachable.
     */
    public List<ConnectionCommand> onLocalFailure(double nowMs, long connectionId) {
        PooledConnection connection = connections.remove(connectionId);
        EndpointConnections group = connection == null ? null : endpoints.get(connection.endpoint);
        if (group == null) {
            return takeCommands();
        }
        group.idle.remove(connection);
        if (group.opening.remove(connection)) {
            retryLocalFailures(nowMs, group);
        }
        removeIfEmpty(connection.endpoint, group);
        return takeCommands();
    }

    private void retryLocalFailures(double nowMs, EndpointConnections group) {
        int withoutOpening = group.waitersWithoutOpening();
        for (ConnectionWaiter waiter : List.copyOf(group.waiters)) {
            if (withoutOpening-- <= 0) {
                return;
            }
            // A waiter for which no connection was opened opens its own at its next wake-up.
            if (waiter.openCount > 0) {
                retryLater(nowMs, group, waiter);
            }
        }
    }

    private void retryLater(double nowMs, EndpointConnections group, ConnectionWaiter waiter) {
        if (waiter.localFailures++ >= MAX_LOCAL_RETRIES) {
            giveUp(group, waiter, ConnectionCommand.FailureReason.FAILED_LOCALLY);
            return;
        }
        waiter.openCount = 0;
        wakeAt(waiter, Math.min(waiter.deadlineMs, nowMs + LOCAL_RETRY_DELAY_MS));
    }

    /**
     * The connection of an attempt broke right after the attempt was sent. Guards requests that must not be sent again
     * against idle connections that have already been closed by the server.
     *
     * @return whether it counts as closed before it was assigned
     */
    public boolean onBrokenAfterAssign(long connectionId) {
        PooledConnection connection = connections.get(connectionId);
        if (connection == null || connection.state != PooledConnection.State.ASSIGNED) {
            return false;
        }
        if (!connection.isReused()) {
            staleConnections.onNewBroken();
            return false;
        }
        return staleConnections.onReusedBroken(connection.idleBeforeAssignMs());
    }

    /** Closes connections that have reached the idle time-out. Has to be called at regular intervals. */
    public List<ConnectionCommand> closeExpiredIdle(double nowMs) {
        staleConnections.raiseLimit(idleTimeoutMs);
        Iterator<EndpointConnections> groups = endpoints.values().iterator();
        while (groups.hasNext()) {
            EndpointConnections group = groups.next();
            while (!group.idle.isEmpty() && group.idle.peekFirst().timeInStateMs(nowMs) >= idleTimeoutMs) {
                close(group.idle.pollFirst());
            }
            if (group.isEmpty()) {
                groups.remove();
            }
        }
        return takeCommands();
    }

    /** Closes all idle connections to this server. */
    public List<ConnectionCommand> closeIdle(EndpointIdentity endpoint) {
        EndpointConnections group = endpoints.get(endpoint);
        if (group != null) {
            while (!group.idle.isEmpty()) {
                close(group.idle.pollFirst());
            }
            removeIfEmpty(endpoint, group);
        }
        return takeCommands();
    }

    /** Closes one idle connection, if there is any. */
    public List<ConnectionCommand> closeOneIdle() {
        for (EndpointConnections group : endpoints.values()) {
            if (!group.idle.isEmpty()) {
                close(group.idle.pollFirst());
                break;
            }
        }
        return takeCommands();
    }

    /** The number of connections, including those that are opening. */
    public int size() {
        return connections.size();
    }

    /** The number of attempts that wait for a connection. */
    public int waiterCount() {
        return waiters.size();
    }

    double lateAfterMs() {
        return connectLatency.lateAfterMs(connectTimeoutMs);
    }

    double maxTrustedIdleMs() {
        return staleConnections.maxTrustedIdleMs(idleTimeoutMs);
    }

    private void assignToOldestOrKeep(double nowMs, EndpointConnections group, PooledConnection connection) {
        connection.assignWithoutIdling();
        ConnectionWaiter waiter = group.waiters.poll();
        if (waiter == null) {
            connection.enterState(PooledConnection.State.IDLE, nowMs);
            group.idle.addLast(connection);
            return;
        }
        waiters.remove(waiter.id);
        assign(nowMs, connection, waiter.id);
        removeIfEmpty(connection.endpoint, group);
    }

    private void assign(double nowMs, PooledConnection connection, long waiterId) {
        staleConnections.onAssigned(connection.isReused());
        connection.enterState(PooledConnection.State.ASSIGNED, nowMs);
        commands.add(new ConnectionCommand.Assign(connection.id, waiterId));
    }

    private void open(double nowMs, EndpointConnections group, ConnectionWaiter waiter) {
        PooledConnection connection = new PooledConnection(nextConnectionId++, waiter.endpoint, nowMs);
        connections.put(connection.id, connection);
        group.opening.add(connection);
        waiter.openCount++;
        double openTimeoutMs = connectTimeoutMs * OPEN_TIMEOUT_CONNECT_TIMEOUTS;
        commands.add(
                new ConnectionCommand.Open(connection.id, connection.endpoint, openTimeoutMs, waiter.openCount > 1));
    }

    private void scheduleWake(double nowMs, ConnectionWaiter waiter) {
        boolean mayOpenAnother = waiter.openCount < MAX_OPENS_PER_WAITER;
        wakeAt(waiter, mayOpenAnother ? Math.min(waiter.deadlineMs, nowMs + lateAfterMs()) : waiter.deadlineMs);
    }

    private void wakeAt(ConnectionWaiter waiter, double atMs) {
        waiter.nextWakeMs = atMs;
        commands.add(new ConnectionCommand.Wake(atMs, waiter.id));
    }

    private void giveUp(EndpointConnections group, ConnectionWaiter waiter, ConnectionCommand.FailureReason reason) {
        waiters.remove(waiter.id);
        group.waiters.remove(waiter);
        commands.add(new ConnectionCommand.GiveUp(waiter.id, reason));
    }

    private void close(PooledConnection connection) {
        connections.remove(connection.id);
        commands.add(new ConnectionCommand.Close(connection.id));
    }

    private EndpointConnections findOrCreateGroup(EndpointIdentity endpoint) {
        return endpoints.computeIfAbsent(endpoint, key -> new EndpointConnections());
    }

    /** Guards memory against groups of removed endpoints. */
    private void removeIfEmpty(EndpointIdentity endpoint, EndpointConnections group) {
        if (group.isEmpty()) {
            endpoints.remove(endpoint);
        }
    }

    private List<ConnectionCommand> takeCommands() {
        List<ConnectionCommand> taken = commands;
        commands = new ArrayList<>();
        return taken;
    }
}

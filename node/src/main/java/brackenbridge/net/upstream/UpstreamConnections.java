package brackenbridge.net.upstream;

import brackenbridge.core.Effect;
import brackenbridge.core.Event;
import brackenbridge.core.balancing.BalancerSettings;
import brackenbridge.core.connection.ConnectionCommand;
import brackenbridge.core.connection.ConnectionPool;
import brackenbridge.core.connection.EndpointIdentity;
import brackenbridge.core.connection.ReuseDelay;
import brackenbridge.counters.Counter;
import brackenbridge.net.channel.Addresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Passes attempts to the connection pool and executes its commands; the pool decides which attempt gets which
 * connection and when one is opened. Used on the event loop only.
 */
public final class UpstreamConnections {
    /**
     * An attempt that is dispatched this long after it was decided waits for another poll: its client may have
     * disconnected.
     */
    private static final double DISPATCH_DELAY_LIMIT_MS = 50;
    /** Delay before an attempt whose client is not known to be connected is checked again. */
    private static final long CLIENT_RECHECK_DELAY_MS = 1;

    private static final double MICROSECONDS_PER_MS = 1000.0;
    private static final double NANOSECONDS_PER_MS = 1e6;
    private static final double MIN_CONNECT_TIMEOUT_MS = 1;

    private final UpstreamContext context;
    private final AttemptStartCheck startCheck;
    private final Runnable makeRoom;
    private final ConnectionPool pool;
    private final Map<Long, UpstreamConnection> connections = new HashMap<>();
    private final RunningAttempts attempts;
    private final ResponsesInProgress responses = new ResponsesInProgress();
    private final ConnectFailureLog connectFailures;
    private final ReuseDelay reuseDelay = new ReuseDelay();
    private BalancerSettings settings;

    /**
     * Creates the connections of a node; none is open yet.
     *
     * @param startCheck consulted just before the first byte of each attempt
     * @param makeRoom closes idle connections when descriptors are short
     */
    public UpstreamConnections(
            UpstreamContext context, BalancerSettings settings, AttemptStartCheck startCheck, Runnable makeRoom) {
        this.context = context;
        this.settings = settings;
        this.startCheck = startCheck;
        this.makeRoom = makeRoom;
        attempts = new RunningAttempts(context.events());
        connectFailures = new ConnectFailureLog(context.clock(), context.log());
        pool = new ConnectionPool(connectTimeoutMs(settings), idleTimeoutMs(settings));
    }

    /** Applies these settings to attempts that start from now on. */
    public void applySettings(BalancerSettings newSettings) {
        settings = newSettings;
        pool.applySettings(connectTimeoutMs(newSettings), idleTimeoutMs(newSettings));
    }

    private static double connectTimeoutMs(BalancerSettings settings) {
        return Math.max(MIN_CONNECT_TIMEOUT_MS, settings.network().connectTimeout() / MICROSECONDS_PER_MS);
    }

    /**
     * Half of the configured timeout: guards against servers that close idle connections early, as a request written
     * after the close would be lost.
     */
    private static double idleTimeoutMs(BalancerSettings settings) {
        return settings.idleTimeout() / (2 * MICROSECONDS_PER_MS);
    }

    /** Starts an attempt; its outcome is raised as an event. */
    public void startAttempt(Effect.StartAttempt effect) {
        RunningAttempt attempt = new RunningAttempt(effect);
        attempts.add(attempt);
        // Deferred until all bytes that have arrived by now are read: among them may be the end of the connection that
        // this attempt would get, or bytes that make it unusable.
        double decidedMs = nowMs();
        context.loop().execute(() -> {
            if (nowMs() - decidedMs < DISPATCH_DELAY_LIMIT_MS) {
                dispatch(attempt);
            } else {
                // Only a scheduled task is certain to run after all sockets have been polled again.
                context.loop().schedule(() -> dispatch(attempt), 0, TimeUnit.NANOSECONDS);
            }
        });
    }

    private void dispatch(RunningAttempt attempt) {
        if (attempts.isRunning(attempt)) {
            attempts.addWaiter(attempt);
            execute(pool.acquire(nowMs(), attempt.waiter(), attempt.endpoint()));
        }
    }

    /** Cancels an attempt if it is still running; its connection is closed. */
    public void cancelAttempt(long requestId, int attempt) {
        RunningAttempt cancelled = attempts.cancel(requestId, attempt);
        if (cancelled != null) {
            execute(pool.cancelWait(cancelled.waiter()));
            if (cancelled.connection() != null) {
                cancelled.connection().cancelAttempt();
            }
        }
    }

    /** Streams the response to an attempt that is being received, or raises that it can't be streamed. */
    public void streamResponse(long requestId, int attempt) {
        RunningAttempt running = attempts.find(requestId, attempt);
        boolean receiving = running != null && running.connection() != null;
        if (!receiving || !running.connection().streamResponse()) {
            context.events().raise(new Event.ResponseNotStreamable(requestId, attempt));
        }
    }

    /** Closes the idle connections to this host at this address. */
    public void closeIdleConnections(String host, String address) {
        execute(pool.closeIdle(new EndpointIdentity(host, address)));
    }

    /** Closes connections that have been idle too long, and those whose response makes no progress. */
    public void sweep() {
        double now = nowMs();
        for (RunningAttempt attempt : attempts.snapshot()) {
            UpstreamConnection connection = attempt.connection();
            if (connection != null) {
                connection.sweep(now);
            }
        }
        responses.sweepStreaming(now);
        execute(pool.closeExpiredIdle(now));
    }

    /** Closes one idle connection; returns whether there was one. */
    public boolean closeOneIdleConnection() {
        List<ConnectionCommand> commands = pool.closeOneIdle();
        if (commands.isEmpty()) {
            return false;
        }
        context.counters().count(Counter.CONNECTIONS_SHED);
        execute(commands);
        return true;
    }

    private double nowMs() {
        return context.clock().nowMs();
    }

    private void execute(List<ConnectionCommand> commands) {
        for (ConnectionCommand command : commands) {
            if (command instanceof ConnectionCommand.Open open) {
                openConnection(open);
            } else if (command instanceof ConnectionCommand.Assign assign) {
                assignConnection(assign);
            } else if (command instanceof ConnectionCommand.Close close) {
                closeConnection(close);
            } else if (command instanceof ConnectionCommand.GiveUp giveUp) {
                giveUpWaiting(giveUp);
            } else if (command instanceof ConnectionCommand.Wake wake) {
                scheduleWake(wake);
            }
        }
    }

    private void openConnection(ConnectionCommand.Open command) {
        InetSocketAddress address = Addresses.parse(command.endpoint().address());
        if (!context.descriptors().hasRoomForServer()) {
            makeRoom.run();
        }
        if (address == null) {
            execute(pool.onConnectionEnded(nowMs(), command.connection()));
        } else if (!context.descriptors().hasRoomForServer()) {
            // A lack of descriptors on this node must not count against the health of the server.
            execute(pool.onDescriptorsExhausted(nowMs(), command.connection()));
        } else {
            connect(command, address);
        }
    }

    private void connect(ConnectionCommand.Open command, InetSocketAddress address) {
        UpstreamConnection connection = new UpstreamConnection(command.connection(), command.endpoint(), this, context);
        int timeoutMs = (int) Math.min(Integer.MAX_VALUE, command.timeoutMs());
        Bootstrap bootstrap = context.bootstrap()
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                // Reports an orderly shutdown by the server as a separate event: a closed channel may also have been
                // reset, or its writes may have failed.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(connection);
        connection.open(bootstrap, address);
        if (command.additional()) {
            context.counters().count(Counter.ADDITIONAL_CONNECTIONS_OPENED);
        }
        if (connection.channel() != null) {
            connections.put(connection.id(), connection);
            context.descriptors().addServers(1);
            connection
                    .channel()
                    .closeFuture()
                    .addListener(done -> context.descriptors().addServers(-1));
        }
    }

    private void assignConnection(ConnectionCommand.Assign command) {
        UpstreamConnection connection = connections.get(command.connection());
        RunningAttempt attempt = attempts.removeWaiter(command.waiter());
        if (attempt == null) {
            // The attempt was cancelled by an event that an earlier command raised, or while its client was being
            // checked.
            release(command.connection());
        } else if (connection != null && connection.channel().isActive()) {
            send(command, connection, attempt);
        } else {
            // The connection has ended, which has not been reported to the pool yet.
            execute(pool.onConnectionEnded(nowMs(), command.connection()));
            dispatch(attempt);
        }
    }

    private void send(ConnectionCommand.Assign command, UpstreamConnection connection, RunningAttempt attempt) {
        SendResult result = connection.send(attempt, startCheck);
        if (result == SendResult.EXPIRED) {
            release(command.connection());
            attempts.attemptNotStarted(attempt);
        } else if (result == SendResult.CLIENT_UNCONFIRMED) {
            // The retries end: soon the client is confirmed, found to have disconnected, or its presence has been
            // unknown for too long.
            attempts.restoreWaiter(command.waiter(), attempt);
            context.loop().schedule(() -> assignConnection(command), CLIENT_RECHECK_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeConnection(ConnectionCommand.Close command) {
        UpstreamConnection connection = connections.remove(command.connection());
        if (connection != null) {
            connection.channel().close();
        }
    }

    private void giveUpWaiting(ConnectionCommand.GiveUp command) {
        RunningAttempt attempt = attempts.removeWaiter(command.waiter());
        if (attempt == null) {
            return;
        }
        switch (command.reason()) {
            case CONNECT_FAILED -> attempts.connectionLost(attempt);
            case FAILED_LOCALLY -> attempts.failLocally(attempt);
            case NO_DESCRIPTOR -> attempts.attemptNotStarted(attempt);
        }
    }

    private void scheduleWake(ConnectionCommand.Wake command) {
        double delayMs = command.atMs() - nowMs();
        context.loop()
                .schedule(
                        () -> {
                            if (nowMs() < command.atMs()) {
                                scheduleWake(command);
                            } else {
                                execute(pool.onWake(nowMs(), command.waiter()));
                            }
                        },
                        (long) (Math.max(0, delayMs) * NANOSECONDS_PER_MS),
                        TimeUnit.NANOSECONDS);
    }

    RunningAttempts attempts() {
        return attempts;
    }

    ResponsesInProgress responses() {
        return responses;
    }

    /** How long connections rest between two attempts. */
    ReuseDelay reuseDelay() {
        return reuseDelay;
    }

    ConnectFailureLog connectFailures() {
        return connectFailures;
    }

    /** Whether load reports in response headers are read. */
    boolean readsLoadReports() {
        return settings.network().reportsInResponses();
    }

    void makeRoom() {
        makeRoom.run();
    }

    void onConnected(long connection) {
        execute(pool.onConnected(nowMs(), connection));
    }

    /** Returns a connection to the pool for reuse. */
    void release(long connection) {
        execute(pool.release(nowMs(), connection));
    }

    void removeConnection(long connection) {
        connections.remove(connection);
    }

    void onConnectionEnded(long connection) {
        removeConnection(connection);
        execute(pool.onConnectionEnded(nowMs(), connection));
    }

    /** Reports a connection that could not be opened because a system call failed on this machine. */
    void onLocalFailure(long connection) {
        execute(pool.onLocalFailure(nowMs(), connection));
    }

    /** Reports a connection that broke just after an attempt started; returns whether it was a reused one. */
    boolean onBrokenAtOnce(long connection) {
        return pool.onBrokenAfterAssign(connection);
    }
}

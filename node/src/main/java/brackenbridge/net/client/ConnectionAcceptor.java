package brackenbridge.net.client;

import brackenbridge.clock.Clock;
import brackenbridge.net.channel.SocketCalls;
import brackenbridge.transport.AcceptBackoff;
import brackenbridge.transport.AcceptRecovery;
import brackenbridge.transport.SocketErrors;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The listening socket. Other processes of this node may listen on the same address; closing it drops no connection
 * that the kernel has already accepted.
 */
public final class ConnectionAcceptor {
    /** The selector needs a turn to deregister the channel; a close before that would not take effect immediately. */
    private static final long DEREGISTRATION_DELAY_MS = 2;

    /** Maximum pauses while the backlog is emptied: a node that can't accept closes after a quarter of a second. */
    private static final int MAX_EMPTYING_PAUSES = 50;

    /**
     * The system calls that the acceptor makes on its socket.
     *
     * @param accept accepts the next connection
     * @param steer directs new connections to the successor process that listens on the same address
     */
    public record Calls(SocketCalls.AcceptCall accept, SocketCalls.SteerCall steer) {}

    /** The descriptors that are available to clients. */
    public interface ClientRoom {
        /** The number of further client connections that fit. */
        int freeSlots();

        /** Closes an idle connection. */
        void makeRoom();
    }

    private static final AttributeKey<Double> BACKLOG_WAIT_MS =
            AttributeKey.valueOf(ConnectionAcceptor.class, "waited");

    private final ServerSocketChannel socket;
    private final Channel channel;
    private final Clock clock;
    private final SocketCalls.AcceptCall accept;
    private final SocketCalls.SteerCall steer;
    private final ClientRoom room;
    private final Consumer<String> warn;
    private final AcceptRecovery recovery;
    private boolean steeringToSuccessor;
    private boolean closing;
    /** Time since which clients may wait in the backlog; NaN if it was empty at the last accept. */
    private double waitingSinceMs = Double.NaN;

    /**
     * Listens on the address; throws if that fails. When an accept fails for lack of descriptors or buffers, an idle
     * connection is closed.
     */
    public ConnectionAcceptor(
            ServerBootstrap bootstrap,
            InetSocketAddress address,
            Clock clock,
            Calls calls,
            ClientRoom room,
            Consumer<String> warn) {
        this.clock = clock;
        accept = calls.accept();
        steer = calls.steer();
        this.room = room;
        this.warn = warn;
        recovery = new AcceptRecovery(room::makeRoom, warn);
        try {
            socket = ServerSocketChannel.open();
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        channel = bootstrap
                .channelFactory(() -> new BacklogChannel(socket))
                .handler(recovery)
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Upper bound on the time that a client waited in the backlog before it was accepted, in milliseconds. */
    public static double maxBacklogWaitMs(Channel client) {
        Double waitMs = client.attr(BACKLOG_WAIT_MS).get();
        return waitMs == null ? 0 : waitMs;
    }

    /** Upper bound on the time for which clients have been waiting in the backlog, in milliseconds; 0 if none waits. */
    double backlogWaitMs() {
        return Double.isNaN(waitingSinceMs) ? 0 : clock.nowMs() - waitingSinceMs;
    }

    /** Records that clients may wait in the backlog from now on. */
    private void onBacklogNotEmpty() {
        waitingSinceMs = Double.isNaN(waitingSinceMs) ? clock.nowMs() : waitingSinceMs;
    }

    /** Records the backlog wait of an accepted client: at most the time since the backlog was last empty. */
    private void markWait(Channel client) {
        onBacklogNotEmpty();
        client.attr(BACKLOG_WAIT_MS).set(clock.nowMs() - waitingSinceMs);
    }

    /** Accepts connections and records with each client an upper bound on its backlog wait. */
    private final class BacklogChannel extends NioServerSocketChannel {
        BacklogChannel(ServerSocketChannel socket) {
            super(socket);
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (!accepted.isEmpty() && accepted.size() >= room.freeSlots()) {
                // Connections accepted in this turn are counted only after it: accepting more would take the
                // descriptors that their requests need for connections to servers.
                onBacklogNotEmpty();
                return 0;
            }
            NioSocketChannel client;
            try {
                client = accept.acceptNext(this, socket);
            } catch (IOException e) {
                // The failed accept leaves clients in the backlog.
                onBacklogNotEmpty();
                throw e;
            }
            if (client == null) {
                waitingSinceMs = Double.NaN;
                return 0;
            }
            markWait(client);
            accepted.add(client);
            return 1;
        }
    }

    /** The address that the socket listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Whether this socket is to receive new connections. */
    public boolean isOpen() {
        return !steeringToSuccessor && !closing;
    }

    /** Whether it is being closed and clients may still wait in its backlog. */
    public boolean isEmptyingBacklog() {
        return closing && socket.isOpen();
    }

    /** Runs the action after a delay in milliseconds, unless the socket is being closed by then. */
    void scheduleIfOpen(Runnable action, long delayMs) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (!closing) {
                                action.run();
                            }
                        },
                        delayMs,
                        TimeUnit.MILLISECONDS);
    }

    /** Resumes or pauses accepting; while it is paused, clients wait in the backlog. */
    public void setAccepting(boolean on) {
        if (closing) {
            return;
        }
        if (!on) {
            onBacklogNotEmpty();
        }
        recovery.setAccepting(channel, on);
    }

    /**
     * Directs new connections to the successor process, and still accepts those whose handshake has begun. If the
     * system does not support that, stops accepting.
     */
    public void steerToSuccessor() {
        if (steeringToSuccessor || closing) {
            return;
        }
        steeringToSuccessor = true;
        steer.steerToNewer(address()).whenCompleteAsync(this::onSteeringDone, channel.eventLoop());
    }

    private void onSteeringDone(Void done, Throwable failure) {
        if (failure != null) {
            warn.accept(
                    "can't direct new connections to the successor process, closing the listening socket: " + failure);
            close();
        }
    }

    /**
     * Stops accepting permanently. Closing a listening socket resets all connections that the kernel has queued on it,
     * so the backlog is emptied first, and the close follows the last accept immediately.
     */
    public void close() {
        if (closing) {
            return;
        }
        closing = true;
        channel.deregister().addListener(f -> scheduleEmptyingBacklog(DEREGISTRATION_DELAY_MS, MAX_EMPTYING_PAUSES));
    }

    private void scheduleEmptyingBacklog(long delayMs, int pausesLeft) {
        channel.eventLoop().schedule(() -> emptyBacklogAndClose(pausesLeft), delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Accepts all clients in the backlog and closes the socket; failed accepts, and clients that do not fit, are tried
     * again after at most this many pauses.
     */
    private void emptyBacklogAndClose(int pausesLeft) {
        AcceptBackoff backoff = new AcceptBackoff();
        boolean empty = false;
        while (!empty) {
            long pauseMs = 0;
            if (!hasRoom()) {
                pauseMs = AcceptBackoff.PAUSE_MS;
            } else {
                try {
                    empty = !acceptFromBacklog();
                    backoff.onAccepted();
                } catch (IOException e) {
                    pauseMs = backoff.onAcceptFailed(e);
                    if (pauseMs > 0 && SocketErrors.isResourceShortage(e)) {
                        room.makeRoom();
                    }
                }
            }
            if (pauseMs > 0 && pausesLeft > 0) {
                scheduleEmptyingBacklog(pauseMs, pausesLeft - 1);
                return;
            }
            empty = empty || pauseMs > 0;
        }
        closeSocket();
    }

    /** Whether a client fits, after an idle connection has been closed if necessary. */
    private boolean hasRoom() {
        if (room.freeSlots() <= 0) {
            room.makeRoom();
        }
        return room.freeSlots() > 0;
    }

    /** Accepts the next client; returns whether there was one. */
    private boolean acceptFromBacklog() throws IOException {
        NioSocketChannel client = accept.acceptNext(channel, socket);
        if (client == null) {
            return false;
        }
        markWait(client);
        channel.pipeline().fireChannelRead(client);
        return true;
    }

    private void closeSocket() {
        try {
            socket.close();
        } catch (IOException e) {
            channel.pipeline().fireExceptionCaught(e);
        } finally {
            channel.close();
        }
    }
}

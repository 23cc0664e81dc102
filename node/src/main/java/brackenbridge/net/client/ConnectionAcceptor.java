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
 * The socket that accepts clients. Other processes of this node may listen at the same address; closing it rejects no
 * client that the kernel has accepted already.
 */
public final class ConnectionAcceptor {
    /** The selector needs a turn to let go of the channel; until then closing it would only mark it. */
    private static final long DEREGISTRATION_DELAY_MS = 2;

    /** Pauses while the backlog is emptied, so a node that can't accept closes after a quarter of a second. */
    private static final int MAX_EMPTYING_PAUSES = 50;

    /**
     * What the acceptor does at its socket.
     *
     * @param accept takes the next connection
     * @param steer directs new connections to the process that listens beside this one
     */
    public record Calls(SocketCalls.AcceptCall accept, SocketCalls.SteerCall steer) {}

    /** The descriptors that clients may take. */
    public interface ClientRoom {
        /** How many more clients fit. */
        int freeSlots();

        /** Closes something that is idle. */
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
    /** Since when clients may wait in the backlog; not a number if it was empty at the last accept. */
    private double waitingSinceMs = Double.NaN;

    /**
     * Listens at the address; fails if it can't. When an accept fails for lack of descriptors or buffers, room is
     * made.
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

    /** How long a client may have waited in the backlog before it was accepted, at the most; in milliseconds. */
    public static double maxBacklogWaitMs(Channel client) {
        Double waitMs = client.attr(BACKLOG_WAIT_MS).get();
        return waitMs == null ? 0 : waitMs;
    }

    /** Clients may wait in the backlog from now on, if they don't already. */
    private void onBacklogNotEmpty() {
        waitingSinceMs = Double.isNaN(waitingSinceMs) ? clock.nowMs() : waitingSinceMs;
    }

    /** A client has been accepted; it has waited no longer than the backlog was not empty. */
    private void markWait(Channel client) {
        onBacklogNotEmpty();
        client.attr(BACKLOG_WAIT_MS).set(clock.nowMs() - waitingSinceMs);
    }

    /** Notes with each client how long the backlog had not been empty when it was accepted. */
    private final class BacklogChannel extends NioServerSocketChannel {
        BacklogChannel(ServerSocketChannel socket) {
            super(socket);
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (!accepted.isEmpty() && accepted.size() >= room.freeSlots()) {
                // Those accepted in this turn are counted only after it: more would take the descriptors that their
                // own requests need towards servers.
                onBacklogNotEmpty();
                return 0;
            }
            NioSocketChannel client;
            try {
                client = accept.acceptNext(this, socket);
            } catch (IOException e) {
                // Clients that the failed accept leaves in the backlog wait from now on.
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

    /** The address that it listens at. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Whether new connections are to come here. */
    public boolean isOpen() {
        return !steeringToSuccessor && !closing;
    }

    /** Whether it has been told to close, and clients may still wait in its backlog. */
    public boolean isEmptyingBacklog() {
        return closing && socket.isOpen();
    }

    /** Runs this after a delay in milliseconds, unless the socket has been told to close by then. */
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

    /** Accepts clients, or lets them wait in the backlog. */
    public void setAccepting(boolean on) {
        if (closing) {
            return;
        }
        if (!on) {
            onBacklogNotEmpty();
        }
        recovery.admit(channel, on);
    }

    /**
     * Leaves new connections to the process that listens beside this one, and still accepts those whose handshake has
     * begun. Where the system can't do that, accepts no more clients.
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
            warn.accept("new connections can't be left to the new process alone: " + failure);
            close();
        }
    }

    /**
     * Accepts no more clients, for good. Closing a listening socket resets all that the kernel has queued there, so the
     * queue is emptied first, with nothing between the last accept and the close.
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

    /** Accepts all that wait and closes; an accept that fails is tried again, after this many pauses at most. */
    private void emptyBacklogAndClose(int pausesLeft) {
        AcceptBackoff backoff = new AcceptBackoff();
        while (true) {
            try {
                NioSocketChannel client = accept.acceptNext(channel, socket);
                if (client == null) {
                    break;
                }
                backoff.accepted();
                markWait(client);
                channel.pipeline().fireChannelRead(client);
            } catch (IOException e) {
                long pauseMs = backoff.pauseMs(e);
                if (pauseMs > 0 && pausesLeft == 0) {
                    break;
                }
                if (pauseMs > 0) {
                    if (SocketErrors.isShortage(e)) {
                        room.makeRoom();
                    }
                    scheduleEmptyingBacklog(pauseMs, pausesLeft - 1);
                    return;
                }
            }
        }
        closeSocket();
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

package brackenbridge.net;

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
 * The socket at which clients arrive. Other processes of this node may listen at the same address; closing the door
 * turns nobody away who stands before it.
 */
final class ConnectionAcceptor {
    /** The selector needs a turn to let go of the channel; until then closing it would only mark it. */
    private static final long OFF_SELECTOR_MS = 2;

    /** Pauses while the backlog is emptied, so a node that can't accept closes after a quarter of a second. */
    private static final int EMPTYING_PAUSES = 50;

    private static final AttributeKey<Double> WAITED = AttributeKey.valueOf(ConnectionAcceptor.class, "waited");
    private final ServerSocketChannel socket;
    private final Channel channel;
    private final Clock clock;
    private final SocketCalls.AcceptCall accept;
    private final Runnable makeRoom;
    private final AcceptRecovery recovery;
    private boolean closing;
    /** Since when clients may stand in the backlog; not a number if nobody did at the last look. */
    private double waitingSince = Double.NaN;

    /**
     * Listens; fails if it can't. When an accept fails for lack of descriptors or buffers, {@code makeRoom} is to close
     * something.
     */
    ConnectionAcceptor(
            ServerBootstrap bootstrap,
            InetSocketAddress address,
            Clock clock,
            SocketCalls.AcceptCall accept,
            Runnable makeRoom,
            Consumer<String> warn) {
        this.clock = clock;
        this.accept = accept;
        this.makeRoom = makeRoom;
        recovery = new AcceptRecovery(makeRoom, warn);
        try {
            socket = ServerSocketChannel.open();
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        channel = bootstrap
                .channelFactory(() -> new Backlog(socket))
                .handler(recovery)
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** How long a client may have stood in the backlog before it was taken, at the most; in milliseconds. */
    static double waitedMs(Channel client) {
        Double waited = client.attr(WAITED).get();
        return waited == null ? 0 : waited;
    }

    /** Notes of each client how long the backlog had not been empty when it was taken. */
    private final class Backlog extends NioServerSocketChannel {
        Backlog(ServerSocketChannel socket) {
            super(socket);
        }

        @Override
        protected int doReadMessages(List<Object> taken) throws Exception {
            NioSocketChannel client;
            try {
                client = accept.next(this, socket);
            } catch (IOException e) {
                // Whoever the failed accept leaves in the backlog waits from now on.
                waitingSince = Double.isNaN(waitingSince) ? clock.nowMs() : waitingSince;
                throw e;
            }
            if (client == null) {
                waitingSince = Double.NaN;
                return 0;
            }
            double now = clock.nowMs();
            waitingSince = Double.isNaN(waitingSince) ? now : waitingSince;
            client.attr(WAITED).set(now - waitingSince);
            taken.add(client);
            return 1;
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    boolean isOpen() {
        return !closing;
    }

    /** Whether it has been told to close, and clients may still stand in its backlog. */
    boolean isEmptying() {
        return closing && socket.isOpen();
    }

    /** Takes clients, or lets them wait in the backlog. */
    void admit(boolean on) {
        if (!closing) {
            waitingSince = on || !Double.isNaN(waitingSince) ? waitingSince : clock.nowMs();
            recovery.admit(channel, on);
        }
    }

    /**
     * Takes no more clients. Guards those that the kernel has accepted already: closing a listening socket resets
     * all that waits in its queue, so the queue is emptied first, with nothing between the last look and the close.
     */
    void close() {
        if (closing) {
            return;
        }
        closing = true;
        channel.deregister().addListener(f -> scheduleEmptying(OFF_SELECTOR_MS, EMPTYING_PAUSES));
    }

    private void scheduleEmptying(long delayMs, int pausesLeft) {
        channel.eventLoop().schedule(() -> emptyAndClose(pausesLeft), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Takes all who wait and closes; an accept that fails is tried again, after so many pauses at most. */
    private void emptyAndClose(int pausesLeft) {
        AcceptBackoff backoff = new AcceptBackoff();
        while (true) {
            try {
                NioSocketChannel client = accept.next(channel, socket);
                if (client == null) {
                    break;
                }
                backoff.accepted();
                channel.pipeline().fireChannelRead(client);
            } catch (IOException e) {
                long pauseMs = backoff.pauseMs(e);
                if (pauseMs > 0 && pausesLeft == 0) {
                    break;
                }
                if (pauseMs > 0) {
                    if (SocketErrors.isShortage(e)) {
                        makeRoom.run();
                    }
                    scheduleEmptying(pauseMs, pausesLeft - 1);
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

package brackenbridge.net;

import brackenbridge.clock.Clock;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The socket at which clients arrive. Other processes of this node may listen at the same address; closing the door
 * turns nobody away who stands before it.
 */
final class Door {
    /** The selector needs a turn to let go of the channel; until then closing it would only mark it. */
    private static final long OFF_SELECTOR_MS = 2;

    private static final AttributeKey<Double> WAITED = AttributeKey.valueOf(Door.class, "waited");
    private final ServerSocketChannel socket;
    private final Channel channel;
    private final Clock clock;
    private boolean closing;
    /** Since when clients may stand in the backlog; not a number if nobody did at the last look. */
    private double waitingSince = Double.NaN;

    /** Listens; fails if it can't. */
    Door(ServerBootstrap bootstrap, InetSocketAddress address, Clock clock) {
        this.clock = clock;
        try {
            socket = ServerSocketChannel.open();
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        channel = bootstrap
                .channelFactory(() -> new Backlog(socket))
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
            int count = super.doReadMessages(taken);
            if (count <= 0) {
                waitingSince = Double.NaN;
                return count;
            }
            double now = clock.nowMs();
            waitingSince = Double.isNaN(waitingSince) ? now : waitingSince;
            ((Channel) taken.get(taken.size() - 1)).attr(WAITED).set(now - waitingSince);
            return count;
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    boolean isOpen() {
        return !closing;
    }

    /** Takes clients, or lets them wait in the backlog. */
    void admit(boolean on) {
        if (!closing) {
            waitingSince = on || !Double.isNaN(waitingSince) ? waitingSince : clock.nowMs();
            channel.config().setAutoRead(on);
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
        channel.deregister()
                .addListener(
                        f -> channel.eventLoop().schedule(this::emptyAndClose, OFF_SELECTOR_MS, TimeUnit.MILLISECONDS));
    }

    private void emptyAndClose() {
        try {
            for (SocketChannel client = socket.accept(); client != null; client = socket.accept()) {
                channel.pipeline().fireChannelRead(new NioSocketChannel(channel, client));
            }
            socket.close();
        } catch (IOException e) {
            channel.pipeline().fireExceptionCaught(e);
        } finally {
            channel.close();
        }
    }
}

package brackenbridge.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * The socket at which clients arrive. Other processes of this node may listen at the same address; closing the door
 * turns nobody away who stands before it.
 */
final class Door {
    /** The selector needs a turn to let go of the channel; until then closing it would only mark it. */
    private static final long OFF_SELECTOR_MS = 2;
    private final ServerSocketChannel socket;
    private final Channel channel;
    private boolean closing;

    /** Listens; fails if it can't. */
    Door(ServerBootstrap bootstrap, InetSocketAddress address) {
        try {
            socket = ServerSocketChannel.open();
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        channel = bootstrap.channelFactory(() -> new NioServerSocketChannel(socket)).bind(address)
                .syncUninterruptibly().channel();
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
        channel.deregister().addListener(f ->
                channel.eventLoop().schedule(this::emptyAndClose, OFF_SELECTOR_MS, TimeUnit.MILLISECONDS));
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

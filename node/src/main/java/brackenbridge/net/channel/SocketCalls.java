package brackenbridge.net.channel;

import brackenbridge.transport.ReusePortSteering;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;

/**
 * The system calls with which a node gets its sockets; tests substitute calls that fail.
 *
 * @param outgoing creates the channels of connections to servers and discovery
 * @param accept accepts client connections from the listening socket
 * @param steer directs new connections to the successor process that listens on the same address
 */
public record SocketCalls(ChannelFactory<? extends Channel> outgoing, AcceptCall accept, SteerCall steer) {

    /** Accepts the next connection from a listening socket. */
    @FunctionalInterface
    public interface AcceptCall {
        /** Returns the channel of the next client; null if the backlog is empty. */
        NioSocketChannel acceptNext(Channel parent, ServerSocketChannel listening) throws IOException;
    }

    /** Directs new connections to an address to the newer of the two sockets that listen on it. */
    @FunctionalInterface
    public interface SteerCall {
        /**
         * Completes, on any thread, once no further connection reaches the older socket; exceptionally if that fails.
         */
        CompletableFuture<Void> steerToNewer(InetSocketAddress address);
    }

    /** Returns the operating system's calls. */
    public static SocketCalls system() {
        return new SocketCalls(NioSocketChannel::new, SocketCalls::acceptNext, ReusePortSteering::steerToNewer);
    }

    private static NioSocketChannel acceptNext(Channel parent, ServerSocketChannel listening) throws IOException {
        SocketChannel client = listening.accept();
        if (client == null) {
            return null;
        }
        try {
            return new NioSocketChannel(parent, client);
        } catch (RuntimeException e) {
            client.close();
            throw new IOException("Software caused connection abort: " + e.getMessage(), e);
        }
    }
}

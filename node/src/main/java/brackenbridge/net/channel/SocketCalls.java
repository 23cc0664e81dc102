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
 * How a node comes by its sockets; tests put in calls that fail.
 *
 * @param outgoing makes the channels of connections to servers and discovery
 * @param accept takes clients' connections from the listening socket
 * @param steer directs new connections to the process that listens beside this one
 */
public record SocketCalls(ChannelFactory<? extends Channel> outgoing, AcceptCall accept, SteerCall steer) {

    /** Takes the next connection from a listening socket. */
    @FunctionalInterface
    public interface AcceptCall {
        /** Returns the channel of the next client; null if none waits. */
        NioSocketChannel acceptNext(Channel parent, ServerSocketChannel listening) throws IOException;
    }

    /** Directs the new connections to an address to the newer of the two sockets that listen there. */
    @FunctionalInterface
    public interface SteerCall {
        /** Completes, on any thread, once no further connection comes to the older one; exceptionally if it can't. */
        CompletableFuture<Void> steerToNewer(InetSocketAddress address);
    }

    /** The system's own. */
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

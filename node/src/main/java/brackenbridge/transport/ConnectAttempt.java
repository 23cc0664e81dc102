package brackenbridge.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;

/**
 * Opens a connection and reports the outcome exactly once, on the owner's event loop, whichever system call fails.
 *
 * <p>When {@code socket()} fails, Netty returns a channel that can't be closed, whose close future never completes and
 * whose listeners run on another thread. This class returns no channel in that case.
 */
public final class ConnectAttempt {
    /** Receives the outcome of a connect. */
    public interface Listener {
        /** The connection is established. */
        void onConnected();

        /** The channel could not be connected. */
        void onConnectFailed(Throwable cause);

        /** The socket could not be created, so that no connect was started. */
        void onSocketUnavailable(Throwable cause);
    }

    private ConnectAttempt() {}

    /**
     * Starts to connect; to be called on the bootstrap's event loop. The listener is never called within this call.
     *
     * @return the channel; null if the socket could not be created, which is also reported to the listener
     */
    public static Channel start(Bootstrap bootstrap, EventLoop loop, SocketAddress remoteAddress, Listener listener) {
        ChannelFuture attempt = bootstrap.connect(remoteAddress);
        if (attempt.isDone() && !attempt.isSuccess()) {
            loop.execute(() -> listener.onSocketUnavailable(attempt.cause()));
            return null;
        }
        attempt.addListener(done -> {
            // A channel whose registration failed has no event loop and notifies on another thread.
            if (loop.inEventLoop()) {
                notifyListener(listener, done.cause());
            } else {
                loop.execute(() -> notifyListener(listener, done.cause()));
            }
        });
        return attempt.channel();
    }

    private static void notifyListener(Listener listener, Throwable cause) {
        if (cause == null) {
            listener.onConnected();
        } else {
            listener.onConnectFailed(cause);
        }
    }
}

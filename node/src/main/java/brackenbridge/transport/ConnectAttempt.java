package brackenbridge.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;

/**
 * Opens a connection whose outcome is told exactly once, on the owner's event loop, whichever system call fails.
 *
 * <p>When {@code socket()} fails, Netty answers with a channel that can't be closed, whose close future never
 * completes and whose listeners run on another thread. Here that is no channel at all.
 */
public final class ConnectAttempt {
    /** Who waits for a connection. */
    public interface Listener {
        /** It is up. */
        void onConnected();

        /** The channel, if there is one, could not be connected. */
        void onConnectFailed(Throwable cause);

        /** No connect was begun: the socket itself was not to be had. */
        void onSocketUnavailable(Throwable cause);
    }

    private ConnectAttempt() {}

    /**
     * Begins to connect; on the bootstrap's event loop only. The listener never hears of it within this call.
     *
     * @return the channel; null if there is none, and the listener will be told that nothing was begun
     */
    public static Channel start(Bootstrap bootstrap, EventLoop loop, SocketAddress to, Listener listener) {
        ChannelFuture attempt = bootstrap.connect(to);
        if (attempt.isDone() && !attempt.isSuccess()) {
            loop.execute(() -> listener.onSocketUnavailable(attempt.cause()));
            return null;
        }
        attempt.addListener(done -> {
            // A channel whose registration failed has no event loop and tells it on another thread.
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

package brackenbridge.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Decides when a listening channel accepts connections: while its owner allows it, except for a short pause after an
 * accept that failed for lack of a resource. The handler precedes Netty's own acceptor and does not pass failures on to
 * it. Confined to the channel's event loop.
 */
public final class AcceptRecovery extends ChannelInboundHandlerAdapter {
    private final AcceptBackoff backoff = new AcceptBackoff();
    private final Runnable releaseDescriptors;
    private final Consumer<String> warn;
    private boolean failing;
    private boolean accepting = true;
    private boolean pausing;

    /** Creates a handler for an owner that can't release descriptors. */
    public AcceptRecovery(Consumer<String> warn) {
        this(() -> {}, warn);
    }

    /**
     * Creates a handler for an owner that can release descriptors.
     *
     * @param releaseDescriptors runs before each pause that is due to a shortage of descriptors or buffers
     * @param warn receives a message about the first failure after a successful accept
     */
    public AcceptRecovery(Runnable releaseDescriptors, Consumer<String> warn) {
        this.releaseDescriptors = releaseDescriptors;
        this.warn = warn;
    }

    /** Sets whether the owner accepts clients or leaves them in the backlog. */
    public void setAccepting(Channel listening, boolean enabled) {
        accepting = enabled;
        updateAutoRead(listening);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object accepted) {
        backoff.onAccepted();
        failing = false;
        context.fireChannelRead(accepted);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!failing) {
            failing = true;
            warn.accept("accept failed: " + cause);
        }
        long pauseMs = backoff.onAcceptFailed(cause);
        // Without a pause the selector reports the same socket in its next iteration.
        if (pauseMs == 0 || pausing) {
            return;
        }
        if (SocketErrors.isResourceShortage(cause)) {
            releaseDescriptors.run();
        }
        pausing = true;
        updateAutoRead(context.channel());
        context.executor().schedule(() -> resume(context.channel()), pauseMs, TimeUnit.MILLISECONDS);
    }

    private void resume(Channel listening) {
        pausing = false;
        if (listening.isRegistered()) {
            updateAutoRead(listening);
        }
    }

    private void updateAutoRead(Channel listening) {
        listening.config().setAutoRead(accepting && !pausing);
    }
}

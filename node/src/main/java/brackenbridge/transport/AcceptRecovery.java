package brackenbridge.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The handler of a listening channel that decides when it accepts: while its owner admits clients, except for a short
 * pause after an accept that failed for lack of something. It stands before Netty's own acceptor and keeps failed
 * accepts from it. On the channel's event loop only.
 */
public final class AcceptRecovery extends ChannelInboundHandlerAdapter {
    private final AcceptBackoff backoff = new AcceptBackoff();
    private final Runnable releaseDescriptors;
    private final Consumer<String> warn;
    private boolean failing;
    private boolean accepting = true;
    private boolean pausing;

    /** For an owner that has nothing to close when descriptors are lacking. */
    public AcceptRecovery(Consumer<String> warn) {
        this(() -> {}, warn);
    }

    /**
     * For an owner that can close something.
     *
     * @param makeRoom runs before each pause for lack of descriptors or buffers
     * @param warn is told of the first failure after an accept that succeeded
     */
    public AcceptRecovery(Runnable makeRoom, Consumer<String> warn) {
        this.releaseDescriptors = makeRoom;
        this.warn = warn;
    }

    /** The owner takes clients, or lets them wait in the backlog. */
    public void setAccepting(Channel listening, boolean on) {
        accepting = on;
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
        // Without a pause the selector reports the same socket in its next turn.
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

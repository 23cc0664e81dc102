package brackenbridge.handover;

import brackenbridge.counters.Counters;
import brackenbridge.counters.RejectionReason;
import brackenbridge.log.Log;
import brackenbridge.transport.ConnectAttempt;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The successor's side of a handover: the connection to the running process. Confined to the event loop. */
final class PredecessorClient {
    private final EventLoop loop;
    private final Path path;
    private final Handover.Participant process;
    private final Log log;
    private final RejectionReporter rejections;
    /** Null while there is no connection. */
    private Channel predecessor;

    private CompletableFuture<HandoverState> state;
    /** Runs once the predecessor has left the path; null before {@link #announceReady} and after it has run. */
    private Runnable takeOver;

    PredecessorClient(EventLoop loop, Path path, Handover.Participant process, Counters counters, Log log) {
        this.loop = loop;
        this.path = path;
        this.process = process;
        this.log = log;
        rejections = new RejectionReporter(counters, log, "connection to the old process");
    }

    /** Completes with the predecessor's state, or with null if there is no readable one. */
    CompletableFuture<HandoverState> requestState() {
        state = new CompletableFuture<>();
        if (!Files.exists(path)) {
            state.complete(null);
            return state;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioDomainSocketChannel.class)
                .handler(new LineHandler());
        ConnectAttempt.start(bootstrap, loop, UnixDomainSocketAddress.of(path), new ConnectListener());
        loop.schedule(this::endStateRequest, HandoverProtocol.STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return state;
    }

    private void endStateRequest() {
        if (state.complete(null) && predecessor != null) {
            rejections.report(RejectionReason.TOO_SLOW);
            predecessor.close();
        }
    }

    /** Notifies the predecessor that this process can serve; runs the action once the predecessor has left the path. */
    void announceReady(Runnable action) {
        if (predecessor == null) {
            action.run();
            return;
        }
        takeOver = action;
        LineProtocolHandler.writeLine(predecessor, HandoverProtocol.READY);
        loop.schedule(this::takeOverOnce, HandoverProtocol.STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Sends a message about descriptors; it is dropped if there is no predecessor. */
    void send(DescriptorMessage message) {
        if (predecessor != null) {
            LineProtocolHandler.writeLine(predecessor, message.toLine());
        }
    }

    private void takeOverOnce() {
        if (takeOver != null) {
            Runnable action = takeOver;
            takeOver = null;
            action.run();
        }
    }

    private final class ConnectListener implements ConnectAttempt.Listener {
        @Override
        public void onConnected() {
            // The handler writes the first line.
        }

        @Override
        public void onConnectFailed(Throwable cause) {
            log.info("no old process listens at " + path);
            state.complete(null);
        }

        @Override
        public void onSocketUnavailable(Throwable cause) {
            log.warn("can't connect to the old process, no socket: " + cause.getMessage());
            state.complete(null);
        }
    }

    private final class LineHandler extends LineProtocolHandler {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            predecessor = ctx.channel();
            writeLine(predecessor, HandoverProtocol.SUCCESSOR_GREETING);
        }

        @Override
        void onLine(Channel channel, String text) {
            DescriptorMessage message = DescriptorMessage.parse(text);
            if (message != null) {
                process.onDescriptorMessage(Neighbour.PREDECESSOR, message);
            } else if (text.equals(HandoverProtocol.GO)) {
                takeOverOnce();
            } else if (text.startsWith(HandoverProtocol.GREETING)) {
                readState(channel, text.substring(HandoverProtocol.GREETING.length()));
            } else {
                onRejected(RejectionReason.MALFORMED);
                channel.close();
            }
        }

        private void readState(Channel channel, String json) {
            try {
                state.complete(HandoverState.parse(json));
            } catch (IllegalArgumentException e) {
                log.warn("malformed state from the old process: " + e.getMessage());
                onRejected(RejectionReason.MALFORMED);
                channel.close();
            }
        }

        @Override
        void onRejected(RejectionReason reason) {
            rejections.report(reason);
        }

        @Override
        void onClosed(Channel channel) {
            predecessor = null;
            state.complete(null);
            takeOverOnce();
            process.onPredecessorEnded();
        }
    }
}

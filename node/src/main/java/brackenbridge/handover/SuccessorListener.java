package brackenbridge.handover;

import brackenbridge.counters.Counters;
import brackenbridge.counters.RejectionReason;
import brackenbridge.log.Log;
import brackenbridge.transport.AcceptRecovery;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;

/** The predecessor's side of a handover: listens for a successor and hands over to it. Confined to the event loop. */
final class SuccessorListener {
    /** Short, since the length of the path of a Unix socket is limited. */
    private static final String UNPUBLISHED_SUFFIX = ".n";

    private final EventLoop loop;
    private final Path path;
    /** The path at which the socket is bound until it listens. */
    private final Path unpublishedPath;

    private final Handover.Participant process;
    private final Log log;
    private final RejectionReporter rejections;
    /** Null while this process does not listen. */
    private Channel server;
    /** Null while there is no successor. */
    private Channel successor;

    private boolean closed;

    SuccessorListener(EventLoop loop, Path path, Handover.Participant process, Counters counters, Log log) {
        this.loop = loop;
        this.path = path;
        unpublishedPath = path.resolveSibling(path.getFileName() + UNPUBLISHED_SUFFIX);
        this.process = process;
        this.log = log;
        rejections = new RejectionReporter(counters, log, "connection of a new process");
    }

    /** Listens for a successor; if that fails, this process is not notified of a replacement. */
    void listen() {
        try {
            Files.deleteIfExists(unpublishedPath);
        } catch (IOException e) {
            onListenFailed(e);
            return;
        }
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerDomainSocketChannel.class)
                .handler(new AcceptRecovery(log::warn))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new LineHandler());
                    }
                })
                .bind(UnixDomainSocketAddress.of(unpublishedPath))
                .addListener((ChannelFutureListener) bound -> {
                    if (bound.isSuccess()) {
                        publish(bound.channel());
                    } else {
                        // Runs on another thread if the socket could not be opened, so only the log may be used.
                        onListenFailed(bound.cause());
                    }
                });
    }

    /**
     * Moves the listening socket to the handover path. Guards a successor against the time between bind and listen, in
     * which its connect would be refused.
     */
    private void publish(Channel listening) {
        try {
            // An existing file is left over from a process that was killed.
            Files.move(unpublishedPath, path, StandardCopyOption.ATOMIC_MOVE);
            server = listening;
        } catch (IOException e) {
            listening.close();
            onListenFailed(e);
        }
    }

    private void onListenFailed(Throwable cause) {
        log.warn("can't listen for a new process: " + cause);
    }

    /** Sends a message about descriptors; it is dropped if there is no successor. */
    void send(DescriptorMessage message) {
        if (successor != null) {
            LineProtocolHandler.writeLine(successor, message.toLine());
        }
    }

    /** Stops listening; a connected successor keeps its connection. */
    void close() {
        closed = true;
        leavePath();
    }

    private void leavePath() {
        if (server != null) {
            server.close();
            server = null;
            removePath();
        }
    }

    private void removePath() {
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            log.warn("can't remove the path for the new process: " + e);
        }
    }

    private final class LineHandler extends LineProtocolHandler {
        private boolean ready;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            loop.schedule(
                    () -> requireGreeting(ctx.channel()), HandoverProtocol.STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        private void requireGreeting(Channel channel) {
            if (successor != channel && channel.isActive()) {
                onRejected(RejectionReason.TOO_SLOW);
                channel.close();
            }
        }

        /** Guards the descriptors and the slot of the successor against a successor that hangs during its start. */
        private void requireReady(Channel channel) {
            if (!ready && channel.isActive()) {
                onRejected(RejectionReason.TOO_SLOW);
                channel.close();
            }
        }

        @Override
        void onLine(Channel channel, String text) {
            boolean greets = text.equals(HandoverProtocol.SUCCESSOR_GREETING);
            boolean reportsReady = text.equals(HandoverProtocol.READY);
            DescriptorMessage message = DescriptorMessage.parse(text);
            if (message != null && successor == channel) {
                process.onDescriptorMessage(Neighbour.SUCCESSOR, message);
            } else if (greets && successor == null) {
                sendState(channel);
            } else if (reportsReady && successor == channel) {
                handOver(channel);
            } else {
                boolean known = greets || reportsReady || message != null;
                onRejected(known ? RejectionReason.OUT_OF_TURN : RejectionReason.MALFORMED);
                channel.close();
            }
        }

        private void sendState(Channel channel) {
            successor = channel;
            log.info("a new process has connected");
            process.prepareState().thenAccept(state -> {
                writeLine(channel, HandoverProtocol.GREETING + state.toJson());
                loop.schedule(() -> requireReady(channel), HandoverProtocol.START_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            });
        }

        private void handOver(Channel channel) {
            ready = true;
            // Leaves the path before the successor listens there; later, closing would remove the successor's socket.
            leavePath();
            process.onSuccessorChanged(true);
            log.info("the new process serves");
            writeLine(channel, HandoverProtocol.GO);
        }

        @Override
        void onRejected(RejectionReason reason) {
            rejections.report(reason);
        }

        @Override
        void onClosed(Channel channel) {
            if (successor == channel && !closed) {
                successor = null;
                log.warn("the new process has ended");
                process.onSuccessorChanged(false);
                if (server == null) {
                    listen();
                }
            }
        }
    }
}

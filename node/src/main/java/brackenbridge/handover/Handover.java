package brackenbridge.handover;

import brackenbridge.counters.Counters;
import brackenbridge.counters.RejectionReason;
import brackenbridge.log.Log;
import brackenbridge.transport.AcceptRecovery;
import brackenbridge.transport.ConnectAttempt;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * One process's part in a replacement: first the successor of whoever is there, then the predecessor of whoever comes.
 * On the node's event loop only.
 */
public final class Handover {
    private static final String HELLO = "brackenbridge-handover 1 ";
    private static final String SUCCESSOR = HELLO + "successor";
    private static final String READY = "ready";
    private static final String GO = "go";
    /** Longest wait for each step of the other process. */
    private static final long STEP_MS = 1000;
    /** Longest wait for a successor to listen, once it has its offer. */
    private static final long STARTS_MS = 5000;

    /** The process that hands over or takes over. */
    public interface Process {
        /** A successor has come: what it gets. The process gives that up. */
        HandoverState offer();

        /** The successor serves clients, or there is none any more. */
        void successorServes(boolean on);

        /** The predecessor has ended. */
        void predecessorEnded();
    }

    private final EventLoop loop;
    private final Path path;
    private final Process process;
    private final Counters counters;
    private final Log log;
    private Channel listening;
    private Channel predecessor;
    private Channel successor;
    private CompletableFuture<HandoverState> asked;
    private Runnable go;
    private boolean over;

    /** Nothing happens before the first call. */
    public Handover(EventLoop loop, Path path, Process process, Counters counters, Log log) {
        this.loop = loop;
        this.path = path;
        this.process = process;
        this.counters = counters;
        this.log = log;
    }

    /** Where the processes of this node meet; null if the directory gives no room for the name of a socket. */
    public static Path path(String directory, String node, String listen) {
        Path at = Path.of(directory, "bb-" + Integer.toHexString((node + " " + listen).hashCode()) + ".sock");
        return at.toString().length() > 100 ? null : at;
    }

    /** Asks for a predecessor; completes with its offer, or with null if there is none that can be understood. */
    public CompletableFuture<HandoverState> ask() {
        asked = new CompletableFuture<>();
        if (!Files.exists(path)) {
            asked.complete(null);
            return asked;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioDomainSocketChannel.class)
                .handler(new ToPredecessor());
        ConnectAttempt.begin(bootstrap, loop, UnixDomainSocketAddress.of(path), new Asking());
        loop.schedule(
                () -> {
                    if (asked.complete(null) && predecessor != null) {
                        refuse("predecessor", RejectionReason.TOO_SLOW);
                        predecessor.close();
                    }
                },
                STEP_MS,
                TimeUnit.MILLISECONDS);
        return asked;
    }

    /** This process listens and can serve: once the predecessor knows, this runs and the path is this process's. */
    public void ready(Runnable then) {
        if (predecessor == null) {
            listen();
            then.run();
            return;
        }
        go = () -> {
            go = null;
            listen();
            then.run();
        };
        LineProtocolHandler.say(predecessor, READY);
        loop.schedule(this::goOn, STEP_MS, TimeUnit.MILLISECONDS);
    }

    private void goOn() {
        if (go != null) {
            go.run();
        }
    }

    private void listen() {
        try {
            // What is there is of a process that was killed, or nobody's.
            Files.deleteIfExists(path);
        } catch (IOException e) {
            log.warn("no successor can announce itself: " + e);
            return;
        }
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerDomainSocketChannel.class)
                .handler(new AcceptRecovery(log::warn))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new ToSuccessor());
                    }
                })
                .bind(UnixDomainSocketAddress.of(path))
                .addListener((ChannelFutureListener) f -> {
                    if (f.isSuccess()) {
                        listening = f.channel();
                    } else {
                        // Not on the loop where the socket itself was not to be had; only the log is touched.
                        log.warn("no successor can announce itself: " + f.cause());
                    }
                });
    }

    /** This process ends: the path is its successor's. */
    public void close() {
        over = true;
        leavePath();
    }

    private void refuse(String whom, RejectionReason why) {
        counters.countRejection(RejectionReason.Port.HANDOVERS, why);
        log.warn("a " + whom + " is refused: " + why.key());
    }

    private void leavePath() {
        if (listening != null) {
            listening.close();
            listening = null;
        }
    }

    /** How the connection to a predecessor comes up. */
    private final class Asking implements ConnectAttempt.Listener {
        @Override
        public void connected() {
            // The handler speaks first.
        }

        @Override
        public void connectFailed(Throwable cause) {
            log.info("no predecessor at " + path);
            asked.complete(null);
        }

        @Override
        public void notBegun(Throwable cause) {
            log.warn("no predecessor can be asked, no socket: " + cause.getMessage());
            asked.complete(null);
        }
    }

    private final class ToPredecessor extends LineProtocolHandler {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            predecessor = ctx.channel();
            say(predecessor, SUCCESSOR);
        }

        @Override
        void line(Channel channel, String text) {
            if (text.equals(GO)) {
                goOn();
            } else if (text.startsWith(HELLO)) {
                try {
                    asked.complete(HandoverState.parse(text.substring(HELLO.length())));
                } catch (IllegalArgumentException e) {
                    log.warn("the predecessor can't be understood: " + e.getMessage());
                    refused(RejectionReason.MALFORMED);
                    channel.close();
                }
            } else {
                refused(RejectionReason.MALFORMED);
                channel.close();
            }
        }

        @Override
        void refused(RejectionReason why) {
            refuse("predecessor", why);
        }

        @Override
        void ended(Channel channel) {
            predecessor = null;
            asked.complete(null);
            goOn();
            process.predecessorEnded();
        }
    }

    private final class ToSuccessor extends LineProtocolHandler {
        private boolean ready;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            loop.schedule(
                    () -> {
                        if (successor != ctx.channel() && ctx.channel().isActive()) {
                            refused(RejectionReason.TOO_SLOW);
                            ctx.close();
                        }
                    },
                    STEP_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        void refused(RejectionReason why) {
            refuse("successor", why);
        }

        /** Guards half of the descriptors, and the place of a good successor, against one that says no more. */
        private void awaitReady(Channel channel) {
            loop.schedule(
                    () -> {
                        if (!ready && channel.isActive()) {
                            refused(RejectionReason.TOO_SLOW);
                            channel.close();
                        }
                    },
                    STARTS_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        void line(Channel channel, String text) {
            if (text.equals(SUCCESSOR) && successor == null) {
                successor = channel;
                log.info("a successor has come");
                say(channel, HELLO + process.offer().json());
                awaitReady(channel);
            } else if (text.equals(READY) && successor == channel) {
                ready = true;
                // The path is left before the successor takes it: closing later would remove the successor's.
                leavePath();
                process.successorServes(true);
                log.info("the successor serves");
                say(channel, GO);
            } else {
                refused(
                        text.equals(SUCCESSOR) || text.equals(READY)
                                ? RejectionReason.OUT_OF_TURN
                                : RejectionReason.MALFORMED);
                channel.close();
            }
        }

        @Override
        void ended(Channel channel) {
            if (successor == channel && !over) {
                successor = null;
                log.warn("the successor has ended");
                process.successorServes(false);
                if (listening == null) {
                    listen();
                }
            }
        }
    }
}

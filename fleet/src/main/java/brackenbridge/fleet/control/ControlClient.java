package brackenbridge.fleet.control;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.control.ControlMessage.MachineHeartbeat;
import brackenbridge.fleet.control.ControlMessage.NodeHeartbeat;
import brackenbridge.fleet.control.ControlMessage.Reject;
import brackenbridge.fleet.control.ControlMessage.Subscribe;
import brackenbridge.fleet.control.ControlMessage.Update;
import brackenbridge.fleet.control.ControlMessage.Welcome;
import brackenbridge.transport.ConnectAttempt;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A node's subscription: one connection to one control machine, replaced by a connection to another machine when the
 * first fails, stays silent or loses its lease of the agreement. While disconnected, the node keeps applying the
 * versions that it received last. Runs on an event loop that it may share with others; messages of an abandoned
 * connection are ignored.
 */
public final class ControlClient implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControlClient.class);

    /** Applies versions. Called on the event loop, so it must not block. */
    @FunctionalInterface
    public interface Applier {
        /**
         * Applies a version and returns empty, or returns why it is rejected; the previous version then stays in force.
         */
        Optional<String> apply(Resource resource);
    }

    /**
     * Settings of a subscription.
     *
     * @param fleet the fleet's name
     * @param node the node's name
     * @param region the region in which the node runs
     * @param machines the control machines
     * @param resources the names of the resources to subscribe to
     * @param limits limits and timeouts
     */
    public record Settings(
            String fleet,
            String node,
            String region,
            List<ControlMachine> machines,
            List<String> resources,
            ControlLimits limits) {}

    /**
     * The status of the subscription.
     *
     * @param machine the serving control machine; empty if there is none
     * @param confirmedMs when the last confirmed heartbeat arrived, by the node's clock; negative infinity if never
     * @param connections number of established connections
     * @param accepted number of applied versions
     * @param rejected number of rejected versions
     * @param bytesIn bytes read
     * @param bytesOut bytes written
     */
    public record Status(
            String machine,
            double confirmedMs,
            long connections,
            long accepted,
            long rejected,
            long bytesIn,
            long bytesOut) {}

    private final Settings settings;
    private final ControlLimits limits;
    private final EventLoop loop;
    private final Clock clock;
    private final Applier applier;
    private final ChannelFactory<? extends Channel> channelFactory;
    private final MachineSelector selector;
    private final SubscribedResources resources;
    private volatile Status status = new Status("", Double.NEGATIVE_INFINITY, 0, 0, 0, 0, 0);

    // The fields below are confined to the event loop.
    private Session session;
    private Future<?> pendingDial;
    private boolean closed;
    private boolean paused;
    private long lastConnectionNumber;
    private double confirmedMs = Double.NEGATIVE_INFINITY;
    private long connections;
    private long accepted;
    private long rejected;
    private long bytesIn;
    private long bytesOut;

    /** Creates a subscription without starting it. */
    public ControlClient(Settings settings, EventLoop loop, Clock clock, RandomGenerator random, Applier applier) {
        this(settings, loop, clock, random, applier, NioSocketChannel::new);
    }

    /** Creates a subscription that opens its channels by this factory. */
    ControlClient(
            Settings settings,
            EventLoop loop,
            Clock clock,
            RandomGenerator random,
            Applier applier,
            ChannelFactory<? extends Channel> channelFactory) {
        this.settings = settings;
        this.limits = settings.limits();
        this.loop = loop;
        this.clock = clock;
        this.applier = applier;
        this.channelFactory = channelFactory;
        this.selector = new MachineSelector(settings.machines(), settings.region(), limits, random);
        this.resources = new SubscribedResources(settings.resources());
    }

    /** Starts to connect. */
    public void start() {
        loop.execute(this::connectNext);
    }

    /** The current status. Thread-safe. */
    public Status status() {
        return status;
    }

    private void publishStatus() {
        status = new Status(
                session == null || !session.welcomed ? "" : session.machine.name(),
                confirmedMs,
                connections,
                accepted,
                rejected,
                bytesIn,
                bytesOut);
    }

    private void connectNext() {
        if (closed || session != null || pendingDial != null) {
            return;
        }
        MachineSelector.Attempt attempt = selector.next();
        pendingDial = loop.schedule(
                () -> {
                    pendingDial = null;
                    dial(attempt.machine());
                },
                (long) (attempt.delayMs() * 1000),
                TimeUnit.MICROSECONDS);
    }

    private void dial(ControlMachine machine) {
        if (closed) {
            return;
        }
        Session newSession = new Session(machine);
        session = newSession;
        InetSocketAddress address = parseAddress(machine.address());
        Bootstrap attempt = new Bootstrap()
                .group(loop)
                .channelFactory(channelFactory)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) limits.connectTimeoutMs())
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(ControlFrames.decoder(), newSession);
                    }
                });
        newSession.channel = ConnectAttempt.start(attempt, loop, address, newSession);
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Closes a failed session and continues with the next machine. */
    private void failSession(Session endedSession, String reason) {
        if (session == endedSession) {
            selector.onFailed();
        }
        closeSession(endedSession, reason);
    }

    private void closeSession(Session endedSession, String reason) {
        endedSession.ended = true;
        if (endedSession.channel != null) {
            endedSession.channel.close();
        }
        if (session != endedSession) {
            return;
        }
        LOG.debug(
                "{}: disconnecting from control machine {}: {}", settings.node(), endedSession.machine.name(), reason);
        session = null;
        publishStatus();
        connectNext();
    }

    /** A connection to a control machine. */
    private final class Session extends ChannelInboundHandlerAdapter implements ConnectAttempt.Listener {
        private final ControlMachine machine;
        private final double returnHomeAfterMs = selector.returnHomeDelayMs();
        private Channel channel;
        private Future<?> timer;
        private boolean welcomed;
        private boolean ended;
        private double connectedAtMs;
        private double lastReadAtMs;
        private double lastConfirmedAtMs;
        private long lastHeartbeatSequence;

        Session(ControlMachine machine) {
            this.machine = machine;
        }

        @Override
        public void onConnected() {
            // The subscription is sent when the channel becomes active.
        }

        @Override
        public void onConnectFailed(Throwable cause) {
            failSession(this, "connect failed: " + cause.getMessage());
        }

        @Override
        public void onSocketUnavailable(Throwable cause) {
            failSession(this, "opening a socket failed: " + cause.getMessage());
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            connectedAtMs = clock.nowMs();
            lastReadAtMs = connectedAtMs;
            lastConfirmedAtMs = connectedAtMs;
            lastConnectionNumber = Math.max(lastConnectionNumber + 1, (long) connectedAtMs);
            connections++;
            if (paused) {
                channel.config().setAutoRead(false);
            }
            send(new Subscribe(
                    settings.fleet(), settings.node(), settings.region(), lastConnectionNumber, resources.versions()));
            timer = loop.scheduleAtFixedRate(
                    this::onTimer, (long) limits.heartbeatMs(), (long) limits.heartbeatMs(), TimeUnit.MILLISECONDS);
        }

        private void send(ControlMessage message) {
            byte[] frame = ControlFrames.encode(message);
            bytesOut += frame.length;
            channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (timer != null) {
                timer.cancel(false);
            }
            if (!ended) {
                failSession(this, "connection lost");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            failSession(this, String.valueOf(cause.getMessage()));
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object received) {
            ByteBuf frame = (ByteBuf) received;
            try {
                if (!ended) {
                    bytesIn += frame.readableBytes() + (long) ControlFrames.LENGTH_BYTES;
                    lastReadAtMs = clock.nowMs();
                    onMessage(ControlFrames.decode(frame));
                    publishStatus();
                }
            } catch (ProtocolException e) {
                failSession(this, e.getMessage());
            } finally {
                frame.release();
            }
        }

        private void onMessage(ControlMessage message) throws ProtocolException {
            if (message instanceof Welcome && !welcomed) {
                welcomed = true;
            } else if (message instanceof Reject reject) {
                onRejected(reject);
            } else if (message instanceof Update update && welcomed) {
                resources.offer(update.resource(), applier::apply).ifPresent(acknowledge -> {
                    accepted += acknowledge.accepted() ? 1 : 0;
                    rejected += acknowledge.accepted() ? 0 : 1;
                    send(acknowledge);
                });
            } else if (message instanceof MachineHeartbeat heartbeat && welcomed) {
                lastHeartbeatSequence = heartbeat.sequence();
                if (heartbeat.confirmed()) {
                    lastConfirmedAtMs = lastReadAtMs;
                    confirmedMs = lastReadAtMs;
                    selector.onConfirmed();
                }
            } else {
                throw new ProtocolException(
                        SubscriptionRejection.UNREADABLE,
                        message.getClass().getSimpleName() + " is not expected in this state");
            }
        }

        private void onRejected(Reject reject) {
            if (reject.rejection() == SubscriptionRejection.BUSY && reject.retryAfterMs() > 0) {
                selector.onRetryAfter(Math.min(reject.retryAfterMs(), limits.returnHomeMaxMs()));
                closeSession(this, "busy");
            } else if (reject.rejection().isTransient()) {
                failSession(this, reject.rejection().name());
            } else {
                LOG.warn(
                        "{}: control machine {} rejected this node: {}",
                        settings.node(),
                        machine.name(),
                        reject.rejection());
                selector.onRetryAfter(selector.returnHomeDelayMs());
                closeSession(this, reject.rejection().name());
            }
        }

        private void onTimer() {
            double nowMs = clock.nowMs();
            if (ended) {
                return;
            }
            if (paused) {
                send(new NodeHeartbeat(lastHeartbeatSequence));
            } else if (!welcomed && nowMs - connectedAtMs > limits.connectTimeoutMs()) {
                failSession(this, "no welcome before the connect timeout");
            } else if (nowMs - lastReadAtMs > limits.silenceTimeoutMs()) {
                failSession(this, "nothing received within the silence timeout");
            } else if (settings.machines().size() > 1 && nowMs - lastConfirmedAtMs > selector.unconfirmedTimeoutMs()) {
                failSession(this, "heartbeats not confirmed");
            } else if (!selector.isHome(machine) && nowMs - connectedAtMs > returnHomeAfterMs) {
                selector.returnHome();
                closeSession(this, "returning to the own region");
            } else if (welcomed) {
                send(new NodeHeartbeat(lastHeartbeatSequence));
                publishStatus();
            }
        }
    }

    /** Pauses or resumes reading, to simulate a slow reader; used by the lab only. */
    public void setReadingPaused(boolean readingPaused) {
        loop.execute(() -> {
            paused = readingPaused;
            if (session != null && session.channel != null) {
                session.channel.config().setAutoRead(!readingPaused);
            }
        });
    }

    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            if (pendingDial != null) {
                pendingDial.cancel(false);
                pendingDial = null;
            }
            if (session != null) {
                closeSession(session, "closed");
            }
        });
    }
}

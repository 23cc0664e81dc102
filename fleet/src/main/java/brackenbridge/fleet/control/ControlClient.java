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
 * A node's subscription: one connection to one control machine, another when that one fails, stays silent or has lost
 * the agreement. While there is none, the node acts on by what it was told last. Runs on an event loop that it may
 * share with others; a message of a connection that was given up changes nothing.
 */
public final class ControlClient implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControlClient.class);

    /** Acts by versions; called on the event loop, must not wait. */
    @FunctionalInterface
    public interface Applier {
        /** Returns why the version can't be used, and the one before stays; empty if it is acted by from now on. */
        Optional<String> apply(Resource resource);
    }

    /**
     * What a node subscribes to, and where.
     *
     * @param fleet the fleet's name
     * @param node the node's name
     * @param region where it runs
     * @param machines the control machines
     * @param resources the names of the resources that it needs
     * @param limits limits
     */
    public record Settings(
            String fleet,
            String node,
            String region,
            List<ControlMachine> machines,
            List<String> resources,
            ControlLimits limits) {}

    /**
     * How the subscription stands.
     *
     * @param machine the machine that serves it; empty if none
     * @param confirmedMs when the last confirmed heartbeat came, by the node's clock; negative infinity if never
     * @param connections how many connections were made
     * @param accepted versions that were taken
     * @param rejected versions that could not be used
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

    // The event loop's only, from here on.
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

    /** A subscription that is not started. */
    public ControlClient(Settings settings, EventLoop loop, Clock clock, RandomGenerator random, Applier applier) {
        this(settings, loop, clock, random, applier, NioSocketChannel::new);
    }

    /** As the other, with other sockets than the system's. */
    ControlClient(
            Settings settings,
            EventLoop loop,
            Clock clock,
            RandomGenerator random,
            Applier applier,
            ChannelFactory<? extends Channel> sockets) {
        this.settings = settings;
        this.limits = settings.limits();
        this.loop = loop;
        this.clock = clock;
        this.applier = applier;
        this.channelFactory = sockets;
        this.selector = new MachineSelector(settings.machines(), settings.region(), limits, random);
        this.resources = new SubscribedResources(settings.resources());
    }

    /** Begins to connect. */
    public void start() {
        loop.execute(this::connectNext);
    }

    /** How it stands; from any thread. */
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
        Session dialled = new Session(machine);
        session = dialled;
        InetSocketAddress address = parseAddress(machine.address());
        Bootstrap attempt = new Bootstrap()
                .group(loop)
                .channelFactory(channelFactory)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) limits.connectTimeoutMs())
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(ControlFrames.decoder(), dialled);
                    }
                });
        dialled.channel = ConnectAttempt.begin(attempt, loop, address, dialled);
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Gives a connection up and goes on to the next machine. */
    private void failSession(Session of, String why) {
        if (session == of) {
            selector.onFailed();
        }
        closeSession(of, why);
    }

    private void closeSession(Session of, String why) {
        of.ended = true;
        if (of.channel != null) {
            of.channel.close();
        }
        if (session != of) {
            return;
        }
        LOG.debug("{}: leaves control machine {}: {}", settings.node(), of.machine.name(), why);
        session = null;
        publishStatus();
        connectNext();
    }

    /** One connection to one machine. */
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
        public void connected() {
            // The handler speaks first.
        }

        @Override
        public void connectFailed(Throwable cause) {
            failSession(this, "not connected: " + cause.getMessage());
        }

        @Override
        public void notBegun(Throwable cause) {
            failSession(this, "no socket: " + cause.getMessage());
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
            } else if (message instanceof Reject refuse) {
                onRejected(refuse);
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
                        SubscriptionRejection.UNREADABLE, message.getClass().getSimpleName() + " is not expected here");
            }
        }

        private void onRejected(Reject refuse) {
            if (refuse.rejection() == SubscriptionRejection.BUSY && refuse.retryAfterMs() > 0) {
                selector.onRetryAfter(Math.min(refuse.retryAfterMs(), limits.returnHomeMaxMs()));
                closeSession(this, "busy");
            } else if (refuse.rejection().isTransient()) {
                failSession(this, refuse.rejection().name());
            } else {
                LOG.warn(
                        "{}: control machine {} refuses this node: {}",
                        settings.node(),
                        machine.name(),
                        refuse.rejection());
                selector.onRetryAfter(selector.returnHomeDelayMs());
                closeSession(this, refuse.rejection().name());
            }
        }

        private void onTimer() {
            double now = clock.nowMs();
            if (ended) {
                return;
            }
            if (paused) {
                send(new NodeHeartbeat(lastHeartbeatSequence));
            } else if (!welcomed && now - connectedAtMs > limits.connectTimeoutMs()) {
                failSession(this, "no welcome");
            } else if (now - lastReadAtMs > limits.silenceTimeoutMs()) {
                failSession(this, "silent");
            } else if (settings.machines().size() > 1 && now - lastConfirmedAtMs > selector.unconfirmedTimeoutMs()) {
                failSession(this, "its heartbeats are not confirmed");
            } else if (!selector.isHome(machine) && now - connectedAtMs > returnHomeAfterMs) {
                selector.returnHome();
                closeSession(this, "back to its own region");
            } else if (welcomed) {
                send(new NodeHeartbeat(lastHeartbeatSequence));
                publishStatus();
            }
        }
    }

    /** For the laboratory: stops reading, or goes on, as a node does that stands still. */
    public void setReadingPaused(boolean on) {
        loop.execute(() -> {
            paused = on;
            if (session != null && session.channel != null) {
                session.channel.config().setAutoRead(!on);
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

package brackenbridge.fleet.control;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.control.ControlMessage.MachineHeartbeat;
import brackenbridge.fleet.control.ControlMessage.NodeHeartbeat;
import brackenbridge.fleet.control.ControlMessage.Refuse;
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
    private final ChannelFactory<? extends Channel> sockets;
    private final MachineSelector selector;
    private final HeldResources held;
    private volatile Status status = new Status("", Double.NEGATIVE_INFINITY, 0, 0, 0, 0, 0);

    // The event loop's only, from here on.
    private Session session;
    private Future<?> pendingDial;
    private boolean closed;
    private boolean paused;
    private long lastConnection;
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
        this.sockets = sockets;
        this.selector = new MachineSelector(settings.machines(), settings.region(), limits, random);
        this.held = new HeldResources(settings.resources());
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
        InetSocketAddress address = addressOf(machine.address());
        Bootstrap attempt = new Bootstrap()
                .group(loop)
                .channelFactory(sockets)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) limits.connectMs())
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(ControlFrames.decoder(), dialled);
                    }
                });
        dialled.channel = ConnectAttempt.start(attempt, loop, address, dialled);
    }

    private static InetSocketAddress addressOf(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Gives a connection up and goes on to the next machine. */
    private void end(Session of, String why) {
        if (session == of) {
            selector.failed();
        }
        leave(of, why);
    }

    private void leave(Session of, String why) {
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
        private final double homeAfterMs = selector.homeAfterMs();
        private Channel channel;
        private Future<?> timer;
        private boolean welcomed;
        private boolean ended;
        private double beganMs;
        private double lastReadMs;
        private double lastConfirmedMs;
        private long heartbeatRead;

        Session(ControlMachine machine) {
            this.machine = machine;
        }

        @Override
        public void onConnected() {
            // The handler speaks first.
        }

        @Override
        public void onConnectFailed(Throwable cause) {
            end(this, "not connected: " + cause.getMessage());
        }

        @Override
        public void onSocketUnavailable(Throwable cause) {
            end(this, "no socket: " + cause.getMessage());
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            beganMs = clock.nowMs();
            lastReadMs = beganMs;
            lastConfirmedMs = beganMs;
            lastConnection = Math.max(lastConnection + 1, (long) beganMs);
            connections++;
            if (paused) {
                channel.config().setAutoRead(false);
            }
            send(new Subscribe(settings.fleet(), settings.node(), settings.region(), lastConnection, held.versions()));
            timer = loop.scheduleAtFixedRate(
                    this::check, (long) limits.heartbeatMs(), (long) limits.heartbeatMs(), TimeUnit.MILLISECONDS);
        }

        private void send(ControlMessage message) {
            byte[] frame = ControlFrames.bytes(message);
            bytesOut += frame.length;
            channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (timer != null) {
                timer.cancel(false);
            }
            if (!ended) {
                end(this, "connection lost");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            end(this, String.valueOf(cause.getMessage()));
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object received) {
            ByteBuf frame = (ByteBuf) received;
            try {
                if (!ended) {
                    bytesIn += frame.readableBytes() + (long) ControlFrames.LENGTH_BYTES;
                    lastReadMs = clock.nowMs();
                    received(ControlFrames.read(frame));
                    publishStatus();
                }
            } catch (ProtocolException e) {
                end(this, e.getMessage());
            } finally {
                frame.release();
            }
        }

        private void received(ControlMessage message) throws ProtocolException {
            if (message instanceof Welcome && !welcomed) {
                welcomed = true;
            } else if (message instanceof Refuse refuse) {
                refused(refuse);
            } else if (message instanceof Update update && welcomed) {
                held.offer(update.resource(), applier::apply).ifPresent(acknowledge -> {
                    accepted += acknowledge.accepted() ? 1 : 0;
                    rejected += acknowledge.accepted() ? 0 : 1;
                    send(acknowledge);
                });
            } else if (message instanceof MachineHeartbeat heartbeat && welcomed) {
                heartbeatRead = heartbeat.sequence();
                if (heartbeat.confirmed()) {
                    lastConfirmedMs = lastReadMs;
                    confirmedMs = lastReadMs;
                    selector.confirmed();
                }
            } else {
                throw new ProtocolException(
                        SubscriptionRejection.UNREADABLE, message.getClass().getSimpleName() + " is not expected here");
            }
        }

        private void refused(Refuse refuse) {
            if (refuse.refusal() == SubscriptionRejection.BUSY && refuse.retryAfterMs() > 0) {
                selector.askedToWait(Math.min(refuse.retryAfterMs(), limits.homeMaxMs()));
                leave(this, "busy");
            } else if (refuse.refusal().isTransient()) {
                end(this, refuse.refusal().name());
            } else {
                LOG.warn(
                        "{}: control machine {} refuses this node: {}",
                        settings.node(),
                        machine.name(),
                        refuse.refusal());
                selector.askedToWait(selector.homeAfterMs());
                leave(this, refuse.refusal().name());
            }
        }

        private void check() {
            double now = clock.nowMs();
            if (ended) {
                return;
            }
            if (paused) {
                send(new NodeHeartbeat(heartbeatRead));
            } else if (!welcomed && now - beganMs > limits.connectMs()) {
                end(this, "no welcome");
            } else if (now - lastReadMs > limits.silenceMs()) {
                end(this, "silent");
            } else if (settings.machines().size() > 1 && now - lastConfirmedMs > selector.patienceMs()) {
                end(this, "its heartbeats are not confirmed");
            } else if (!selector.isHome(machine) && now - beganMs > homeAfterMs) {
                selector.goHome();
                leave(this, "back to its own region");
            } else if (welcomed) {
                send(new NodeHeartbeat(heartbeatRead));
                publishStatus();
            }
        }
    }

    /** For the laboratory: stops reading, or goes on, as a node does that stands still. */
    public void pauseReading(boolean on) {
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
                leave(session, "closed");
            }
        });
    }
}

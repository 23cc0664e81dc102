package brackenbridge.fleet.control;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.control.ControlMessage.Acknowledge;
import brackenbridge.fleet.control.ControlMessage.MachineHeartbeat;
import brackenbridge.fleet.control.ControlMessage.NodeHeartbeat;
import brackenbridge.fleet.control.ControlMessage.Reject;
import brackenbridge.fleet.control.ControlMessage.Subscribe;
import brackenbridge.fleet.control.ControlMessage.Update;
import brackenbridge.fleet.control.ControlMessage.Welcome;
import brackenbridge.transport.AcceptRecovery;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the subscriptions of nodes at a control machine. Everything runs on one event loop, without locks or a thread
 * per connection. A resource is serialized once for all nodes that receive it.
 */
public final class ControlServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControlServer.class);
    private static final int LISTEN_BACKLOG = 1024;
    /** In bytes: above the high mark nothing is written to a connection until its buffer falls below the low mark. */
    private static final WriteBufferWaterMark WRITE_MARKS = new WriteBufferWaterMark(32 * 1024, 64 * 1024);
    /**
     * For how long input of a rejected connection is discarded before it is closed, so that the node can read the
     * reason.
     */
    private static final long LINGER_MS = 500;

    private static final long STOP_TIMEOUT_MS = 2000;
    /** Maximum number of logged rejections per second; the counters include all of them. */
    private static final int MAX_LOGGED_PER_SECOND = 20;

    /**
     * Settings of a control server.
     *
     * @param fleet the fleet's name
     * @param machine the machine's name
     * @param address the listen address
     * @param nodes the nodes that may subscribe
     * @param limits limits and timeouts
     */
    public record Settings(
            String fleet, String machine, InetSocketAddress address, NodeNames nodes, ControlLimits limits) {}

    private final Settings settings;
    private final ControlLimits limits;
    private final Clock clock;
    private final BooleanSupplier confirmed;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ControlMetrics metrics;
    private volatile MachineReport report;
    private Channel serverChannel;

    // The fields below are confined to the event loop.
    private final ResourceTable table = new ResourceTable();
    private final Map<String, byte[]> frames = new HashMap<>();
    private final AdmissionLimiter admissions;
    private final Set<NodeConnection> connections = new LinkedHashSet<>();
    private final Map<String, NodeConnection> byNode = new HashMap<>();
    private final Map<String, Set<NodeConnection>> byResource = new HashMap<>();
    private final Set<NodeConnection> pendingConnections = new LinkedHashSet<>();
    private boolean flushScheduled;
    private boolean stopping;
    private long heartbeatSequence;
    private long loggedInWindow;
    private double logWindowStartMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a server without starting it.
     *
     * @param confirmed returns whether this machine holds a lease of the agreement; called on the event loop
     */
    public ControlServer(Settings settings, Clock clock, BooleanSupplier confirmed, MeterRegistry metrics) {
        this.settings = settings;
        this.limits = settings.limits();
        this.clock = clock;
        this.confirmed = confirmed;
        this.admissions = new AdmissionLimiter(limits.admissionsPerSecond(), limits.admissionBurst());
        this.report = new MachineReport(settings.machine(), false, List.of());
        this.metrics = new ControlMetrics(metrics, this::report);
    }

    /**
     * Starts to listen.
     *
     * @throws IOException if the address cannot be bound
     */
    public void start() throws IOException {
        try {
            serverChannel = new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .handler(new AcceptRecovery(LOG::warn))
                    .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_MARKS)
                    .childHandler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(ControlFrames.decoder(), new NodeConnection(channel));
                        }
                    })
                    .bind(settings.address())
                    .syncUninterruptibly()
                    .channel();
        } catch (Exception e) {
            // Netty rethrows the checked exception of a failed bind without declaring it.
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            throw new IOException("cannot listen on " + settings.address() + ": " + e.getMessage(), e);
        }
        loop.scheduleAtFixedRate(
                this::tick, (long) limits.heartbeatMs(), (long) limits.heartbeatMs(), TimeUnit.MILLISECONDS);
    }

    /** The local listen address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Sends a version in force to the subscribed nodes, unless a newer one is known. Thread-safe. */
    public void publish(Resource resource) {
        loop.execute(() -> {
            if (!table.offer(resource)) {
                return;
            }
            frames.remove(resource.name());
            for (NodeConnection connection : byResource.getOrDefault(resource.name(), Set.of())) {
                if (connection.subscription.onResourceChanged(resource.name(), table)) {
                    pendingConnections.add(connection);
                }
            }
            if (!pendingConnections.isEmpty() && !flushScheduled) {
                flushScheduled = true;
                loop.schedule(this::flush, (long) limits.coalesceMs(), TimeUnit.MILLISECONDS);
            }
        });
    }

    /** The last report about the connected nodes; at most one heartbeat interval old. */
    public MachineReport report() {
        return report;
    }

    private void flush() {
        flushScheduled = false;
        List<NodeConnection> flushed = new ArrayList<>(pendingConnections);
        pendingConnections.clear();
        flushed.forEach(NodeConnection::sendPending);
    }

    private byte[] frame(Resource resource) {
        return frames.computeIfAbsent(resource.name(), name -> ControlFrames.encode(new Update(resource)));
    }

    private void tick() {
        try {
            boolean holdsLease = confirmed.getAsBoolean();
            byte[] heartbeat = ControlFrames.encode(new MachineHeartbeat(++heartbeatSequence, holdsLease));
            double nowMs = clock.nowMs();
            for (NodeConnection connection : List.copyOf(connections)) {
                connection.tick(nowMs, heartbeat);
            }
            report = currentReport(holdsLease);
        } catch (RuntimeException e) {
            // Guards the next tick: an exception would cancel the periodic task.
            LOG.error("control server {}: periodic task failed", settings.machine(), e);
        }
    }

    private MachineReport currentReport(boolean holdsLease) {
        Map<String, RegionReportBuilder> regions = new TreeMap<>();
        byNode.values()
                .forEach(connection -> regions.computeIfAbsent(connection.region, name -> new RegionReportBuilder())
                        .add(connection.node, connection.subscription, table));
        List<MachineReport.RegionReport> reports = new ArrayList<>();
        regions.forEach((name, builder) -> {
            if (reports.size() < MachineReport.MAX_REGIONS) {
                reports.add(builder.build(name));
            }
        });
        return new MachineReport(settings.machine(), holdsLease, reports);
    }

    private void recordRejection(SubscriptionRejection rejection, String remote, String detail) {
        metrics.countRejection(rejection);
        double nowMs = clock.nowMs();
        if (nowMs >= logWindowStartMs + 1000) {
            logWindowStartMs = nowMs;
            loggedInWindow = 0;
        }
        if (loggedInWindow++ < MAX_LOGGED_PER_SECOND) {
            LOG.info("control server {}: rejected {} reason={} {}", settings.machine(), remote, rejection, detail);
        }
    }

    /** An accepted connection; it has a subscription once the node has sent one. */
    private final class NodeConnection extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        private final double acceptedMs = clock.nowMs();
        private double lastReadMs = acceptedMs;
        private double blockedSinceMs = Double.NaN;
        /** The oldest heartbeat that the node has not acknowledged, and when it was sent; NaN if none. */
        private long unansweredHeartbeat;

        private double unansweredSinceMs = Double.NaN;
        private Subscription subscription;
        private String node = "";
        private String region = "";
        private long connectionNumber;
        private boolean ended;

        NodeConnection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections.add(this);
            if (stopping) {
                reject(SubscriptionRejection.STOPPING, 0, "");
            } else if (connections.size() - byNode.size() > limits.maxUnsubscribedConnections()) {
                reject(SubscriptionRejection.BUSY, limits.retryMaxMs(), "too many connections without a subscription");
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            removeConnection();
        }

        private void removeConnection() {
            connections.remove(this);
            pendingConnections.remove(this);
            byNode.remove(node, this);
            if (subscription != null) {
                subscription
                        .names()
                        .forEach(name -> byResource.computeIfPresent(name, (key, interested) -> {
                            interested.remove(this);
                            return interested.isEmpty() ? null : interested;
                        }));
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object received) {
            ByteBuf frame = (ByteBuf) received;
            try {
                if (!ended) {
                    metrics.bytesIn.increment(frame.readableBytes() + (double) ControlFrames.LENGTH_BYTES);
                    lastReadMs = clock.nowMs();
                    onMessage(ControlFrames.decode(frame));
                }
            } catch (ProtocolException e) {
                reject(e.rejection(), 0, e.getMessage());
            } finally {
                frame.release();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                reject(SubscriptionRejection.FRAME_TOO_LONG, 0, String.valueOf(cause.getMessage()));
            } else if (cause instanceof DecoderException) {
                reject(SubscriptionRejection.UNREADABLE, 0, String.valueOf(cause.getMessage()));
            } else {
                channel.close();
            }
        }

        private void onMessage(ControlMessage message) throws ProtocolException {
            if (message instanceof Subscribe subscribe && subscription == null) {
                onSubscribe(subscribe);
            } else if (message instanceof Acknowledge acknowledge && subscription != null) {
                subscription.onAcknowledge(acknowledge);
                if (!acknowledge.accepted()) {
                    metrics.rejectedVersions.increment();
                    LOG.warn(
                            "control server {}: {} rejected version {} of {}: {}",
                            settings.machine(),
                            node,
                            acknowledge.version(),
                            acknowledge.name(),
                            acknowledge.reason());
                }
            } else if (message instanceof NodeHeartbeat heartbeat && subscription != null) {
                if (heartbeat.sequence() >= unansweredHeartbeat) {
                    unansweredSinceMs = Double.NaN;
                }
            } else {
                throw new ProtocolException(
                        SubscriptionRejection.UNREADABLE,
                        message.getClass().getSimpleName() + " is not expected in this state");
            }
        }

        private void onSubscribe(Subscribe request) {
            if (!request.fleet().equals(settings.fleet())) {
                reject(SubscriptionRejection.OTHER_FLEET, 0, request.node() + " of fleet " + request.fleet());
                return;
            }
            if (!settings.nodes().contains(request.node())) {
                reject(SubscriptionRejection.UNKNOWN_NODE, 0, request.node());
                return;
            }
            if (request.resources().size() > ControlMessage.MAX_RESOURCES) {
                reject(
                        SubscriptionRejection.TOO_MANY_RESOURCES,
                        0,
                        request.node() + ": " + request.resources().size());
                return;
            }
            NodeConnection previous = byNode.get(request.node());
            if (previous != null && previous.connectionNumber >= request.connectionNumber()) {
                reject(
                        SubscriptionRejection.REPLACED,
                        0,
                        request.node() + ": a later connection is already established");
                return;
            }
            if (previous == null && byNode.size() >= limits.maxSubscribers()) {
                reject(SubscriptionRejection.FULL, 0, request.node());
                return;
            }
            OptionalDouble retryAfterMs = admissions.admit(clock.nowMs());
            if (retryAfterMs.isPresent()) {
                reject(SubscriptionRejection.BUSY, retryAfterMs.getAsDouble(), request.node());
                return;
            }
            if (previous != null) {
                previous.reject(SubscriptionRejection.REPLACED, 0, request.node() + ": replaced by a later connection");
            }
            startSubscription(request);
        }

        private void startSubscription(Subscribe request) {
            node = request.node();
            region = request.region();
            connectionNumber = request.connectionNumber();
            subscription = new Subscription(request, table);
            byNode.put(node, this);
            subscription
                    .names()
                    .forEach(name -> byResource
                            .computeIfAbsent(name, key -> new HashSet<>())
                            .add(this));
            metrics.subscriptions.increment();
            write(ControlFrames.encode(new Welcome(settings.machine(), limits.heartbeatMs())));
            sendPending();
        }

        private void write(byte[] frame) {
            metrics.bytesOut.increment(frame.length);
            channel.write(Unpooled.wrappedBuffer(frame));
        }

        /** Writes pending resources while the connection is writable. */
        void sendPending() {
            if (ended || subscription == null) {
                return;
            }
            while (channel.isWritable()) {
                Optional<Resource> next = subscription.next(table);
                if (next.isEmpty()) {
                    break;
                }
                write(frame(next.get()));
                metrics.updates.increment();
            }
            channel.flush();
            updateBlockedSince();
        }

        private void updateBlockedSince() {
            if (channel.isWritable()) {
                blockedSinceMs = Double.NaN;
            } else if (Double.isNaN(blockedSinceMs)) {
                blockedSinceMs = clock.nowMs();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            updateBlockedSince();
            if (channel.isWritable()) {
                sendPending();
            }
        }

        void tick(double nowMs, byte[] heartbeat) {
            if (ended) {
                return;
            }
            if (subscription == null) {
                if (nowMs - acceptedMs > limits.silenceTimeoutMs()) {
                    reject(SubscriptionRejection.NO_SUBSCRIPTION, 0, "");
                }
            } else if (nowMs - lastReadMs > limits.silenceTimeoutMs()) {
                reject(SubscriptionRejection.SILENT, 0, node);
            } else if (nowMs - blockedSinceMs > limits.slowReaderTimeoutMs()
                    || nowMs - unansweredSinceMs > limits.slowReaderTimeoutMs()) {
                reject(SubscriptionRejection.SLOW_READER, 0, node);
            } else if (channel.isWritable()) {
                write(heartbeat);
                channel.flush();
                updateBlockedSince();
                if (Double.isNaN(unansweredSinceMs)) {
                    unansweredHeartbeat = heartbeatSequence;
                    unansweredSinceMs = nowMs;
                }
            }
        }

        /**
         * Sends the reason and closes the connection. Input is discarded for a while before the close, because unread
         * input would reset the connection before the node reads the reason.
         */
        void reject(SubscriptionRejection rejection, double retryAfterMs, String detail) {
            if (ended) {
                return;
            }
            ended = true;
            recordRejection(rejection, String.valueOf(channel.remoteAddress()), detail);
            removeConnection();
            channel.pipeline().remove(io.netty.handler.codec.LengthFieldBasedFrameDecoder.class);
            write(ControlFrames.encode(new Reject(rejection, retryAfterMs)));
            channel.flush();
            ((DuplexChannel) channel).shutdownOutput();
            loop.schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Rejects all connected nodes, so that they move to another machine at once, and shuts down. */
    @Override
    public void close() {
        if (group.isShuttingDown()) {
            return;
        }
        try {
            loop.submit(() -> {
                        stopping = true;
                        List.copyOf(connections)
                                .forEach(connection -> connection.reject(SubscriptionRejection.STOPPING, 0, ""));
                        if (serverChannel != null) {
                            serverChannel.close();
                        }
                    })
                    .await(STOP_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        group.shutdownGracefully(0, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(STOP_TIMEOUT_MS);
    }
}

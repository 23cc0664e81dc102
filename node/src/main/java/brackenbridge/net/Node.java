package brackenbridge.net;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.core.Effect;
import brackenbridge.core.Event;
import brackenbridge.core.LastByteEstimator;
import brackenbridge.core.Reducer;
import brackenbridge.core.observe.TrafficObserver;
import brackenbridge.core.share.TenantUsage;
import brackenbridge.counters.Counters;
import brackenbridge.counters.RejectionReason;
import brackenbridge.handover.HandoverState;
import brackenbridge.log.Log;
import brackenbridge.mgmt.AdminOperations;
import brackenbridge.mgmt.ManagementListener;
import brackenbridge.net.channel.Addresses;
import brackenbridge.net.channel.DescriptorBudget;
import brackenbridge.net.channel.EventSink;
import brackenbridge.net.channel.HeapBufferAllocator;
import brackenbridge.net.channel.ReceiveBuffers;
import brackenbridge.net.channel.SocketCalls;
import brackenbridge.net.channel.StreamBudget;
import brackenbridge.net.client.ConnectionAcceptor;
import brackenbridge.net.client.Listener;
import brackenbridge.net.upstream.UpstreamConnections;
import brackenbridge.net.upstream.UpstreamContext;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/** A running node: passes events to the reducer and runs the resulting effects, all on one event loop. */
public final class Node implements EventSink, AdminOperations {
    private static final long SWEEP_INTERVAL_MS = 100;
    /**
     * The system takes further bytes of a response only once a third of its buffer is free: with a large buffer, a
     * client that reads slowly seems not to read at all.
     */
    private static final int CLIENT_SEND_BUFFER_BYTES = 128 * 1024;
    /** Bounds how much of a request seems to be sent to a server that does not read it. */
    private static final int SERVER_SEND_BUFFER_BYTES = 256 * 1024;

    private static final int CONNECT_TIMEOUT_MS = 1000;

    private static final int ACCEPT_BACKLOG = 1024;

    private final Clock clock;
    private final Log log;
    private final Counters counters = new Counters();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final HeapBufferAllocator buffers = new HeapBufferAllocator();
    private final Reducer reducer;
    private final ManagementListener management;
    private final DescriptorBudget descriptors;
    private final SocketCalls socketCalls;
    private final Listener listener;
    private final UpstreamConnections upstream;
    private final DiscoveryClient discovery;
    private final Reconfiguration reconfiguration;
    private final Replacement replacement;
    private final Shutdown shutdown;
    private final StatusPublisher status;
    private final EffectRunner effects;
    private final ArrayDeque<Event> inbox = new ArrayDeque<>();
    private boolean reducing;
    private ConnectionAcceptor acceptor;

    /** Creates a node that no other process can replace while it serves. */
    public Node(Config config, Clock clock, Log log) {
        this(config, clock, log, null);
    }

    /**
     * Creates a node that hands over at this path: from the process that it replaces, and to the one that replaces it.
     */
    public Node(Config config, Clock clock, Log log, Path replacementPath) {
        this(config, clock, log, replacementPath, SocketCalls.system());
    }

    /** Creates a node with substitutes for the system's socket calls. */
    Node(Config config, Clock clock, Log log, Path replacementPath, SocketCalls socketCalls) {
        this.clock = clock;
        this.log = log;
        this.socketCalls = socketCalls;
        reducer = new Reducer(config.settings(), counters);
        management = config.management() == null ? null : new ManagementListener(this, log);
        descriptors = new DescriptorBudget(descriptorLimit(config));
        Bootstrap outgoing = outgoingBootstrap();
        listener = new Listener(
                config.settings(), clock, this, descriptors, counters, reducer::isReady, this::makeRoom, log);
        upstream = new UpstreamConnections(
                new UpstreamContext(outgoing, loop, clock, this, descriptors, new StreamBudget(), counters, log),
                config.settings(),
                new ReducerStartCheck(clock, reducer, listener),
                this::makeRoom);
        discovery = new DiscoveryClient(outgoing, loop, config.discovery(), this, clock, log);
        status = new StatusPublisher(reducer, () -> acceptor.isOpen());
        reconfiguration = new Reconfiguration(config, loop, this::applySettings, this, counters, log, status::publish);
        replacement = new Replacement(
                loop,
                replacementPath,
                descriptors,
                exchangedConnections(),
                this::stateForSuccessor,
                this,
                counters,
                log);
        shutdown = new Shutdown(loop, listener, replacement, counters, log);
        Timers timers = new Timers(loop, clock, this);
        effects = new EffectRunner(timers, listener, upstream, discovery, replacement, shutdown, this, log);
    }

    private int descriptorLimit(Config config) {
        return config.sockets() - (management == null ? 0 : ManagementListener.RESERVED_DESCRIPTORS);
    }

    private Bootstrap outgoingBootstrap() {
        return new Bootstrap()
                .group(group)
                .channelFactory(socketCalls.outgoing())
                .option(ChannelOption.ALLOCATOR, buffers)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, SERVER_SEND_BUFFER_BYTES)
                .option(ChannelOption.RECVBUF_ALLOCATOR, ReceiveBuffers.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    }

    private void applySettings(Config config) {
        discovery.setAddress(config.discovery());
        listener.applySettings(config.settings());
        upstream.applySettings(config.settings());
        descriptors.setLimit(descriptorLimit(config));
    }

    private HandoverState stateForSuccessor(int grantedDescriptors) {
        return new HandoverState(reconfiguration.config().sockets() / 2, grantedDescriptors, reducer.endpointList());
    }

    private DescriptorExchange.Connections exchangedConnections() {
        return new DescriptorExchange.Connections() {
            @Override
            public boolean closeIdleClient() {
                return listener.shedOne(false) || listener.shedOne(true);
            }

            @Override
            public boolean closeIdleServer() {
                return upstream.closeOneIdleConnection();
            }

            @Override
            public void onDescriptorsAvailable() {
                listener.resumeAccepting();
            }
        };
    }

    /** Starts to serve; throws if the node can't listen on its address. */
    public void start() {
        Config config = reconfiguration.config();
        InetSocketAddress address = Addresses.parse(config.listen());
        if (address == null) {
            throw new IllegalArgumentException("listen: not a literal address: " + config.listen());
        }
        HandoverState inherited = replacement.inheritState();
        loop.submit(() -> startReducer(config, inherited)).syncUninterruptibly();
        // Before any client can connect: guards clients against losing their connections to a process that exits
        // immediately.
        listenForOperators(config);
        acceptor = new ConnectionAcceptor(
                acceptingBootstrap(),
                address,
                clock,
                new ConnectionAcceptor.Calls(
                        socketCalls.accept(), at -> replacement.steerToSuccessor(at, socketCalls.steer())),
                clientRoom(),
                log::warn);
        loop.submit(() -> {
                    listener.setAcceptor(acceptor);
                    replacement.announceReady(status::startServing);
                })
                .syncUninterruptibly();
        loop.scheduleAtFixedRate(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        log.info("node " + config.name() + " listens on " + acceptor.address() + ", tier "
                + config.settings().tier());
    }

    private ConnectionAcceptor.ClientRoom clientRoom() {
        return new ConnectionAcceptor.ClientRoom() {
            @Override
            public int freeSlots() {
                return descriptors.roomForClients();
            }

            @Override
            public void makeRoom() {
                Node.this.makeRoom();
            }
        };
    }

    private void startReducer(Config config, HandoverState inherited) {
        raise(new Event.Started(config.configuredEndpoints()));
        if (inherited != null) {
            raise(new Event.EndpointListInherited(inherited.endpoints()));
        }
    }

    private void listenForOperators(Config config) {
        if (management == null) {
            return;
        }
        try {
            management.listen(Addresses.parse(config.management()));
        } catch (Exception e) {
            // Netty rethrows the checked exception of a failed bind.
            throw new IllegalArgumentException("mgmt " + config.management() + ": " + e.getMessage(), e);
        }
    }

    private ServerBootstrap acceptingBootstrap() {
        return new ServerBootstrap()
                .group(group)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.ALLOCATOR, buffers)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_RCVBUF, LastByteEstimator.MAX_RECEIVE_BUFFER_BYTES)
                .childOption(ChannelOption.SO_SNDBUF, CLIENT_SEND_BUFFER_BYTES)
                // Guards servers against the request of a client that has already disconnected: with the default, the
                // end of the connection may be read one turn late.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        ReceiveBuffers.allocator().respectMaybeMoreData(false))
                .childHandler(listener.initializer());
    }

    /** The address of the management listener; null if there is none. */
    public InetSocketAddress managementAddress() {
        return management == null ? null : management.address();
    }

    /** The address that clients connect to. */
    public InetSocketAddress address() {
        return acceptor.address();
    }

    /** Reads the configuration again and applies it; an invalid one changes nothing. Callable from any thread. */
    public void reconfigure(Supplier<Config> reader) {
        reconfiguration.reconfigure(reader);
    }

    /** Makes the node observe the traffic to each pool; to be called before {@link #start}. */
    public void startObserving() {
        loop.submit(reducer::startObserving).syncUninterruptibly();
        status.startObserving();
    }

    /** The traffic of each pool as of the latest sweep, which runs every 100 ms; callable from any thread. */
    public TrafficObserver.TrafficSnapshot observation() {
        return status.observation();
    }

    /** Passes the fleet's zone weights to the event loop; callable from any thread, doesn't block. */
    public void enqueue(Event.ZoneWeightsReceived weights) {
        loop.execute(() -> raise(weights));
    }

    /** Passes the fleet's tenant quotas to the event loop; callable from any thread, doesn't block. */
    public void enqueue(Event.TenantQuotasReceived quotas) {
        loop.execute(() -> raise(quotas));
    }

    /** What each tenant requested and used since the previous call; callable from any thread. */
    public CompletableFuture<List<TenantUsage>> tenantUse() {
        CompletableFuture<List<TenantUsage>> read = new CompletableFuture<>();
        loop.execute(() -> read.complete(reducer.takeTenantUsage(clock.nowMs())));
        return read;
    }

    /** A consistent snapshot of the event loop's state: the open sockets and the metrics. */
    record Snapshot(int clients, int servers, String metrics) {}

    /** Takes a snapshot on the event loop; for tests. */
    CompletableFuture<Snapshot> snapshot() {
        CompletableFuture<Snapshot> read = new CompletableFuture<>();
        loop.execute(() -> read.complete(
                new Snapshot(descriptors.clientCount(), descriptors.serverCount(), reducer.metricsText())));
        return read;
    }

    /** Starts a graceful shutdown; the returned future completes when all requests are answered. */
    public CompletableFuture<Void> stop() {
        double requestedMs = clock.nowMs();
        loop.execute(() -> {
            log.info("stopping");
            raise(new Event.StopRequested(clock.nowMs() - requestedMs));
        });
        return shutdown.completed();
    }

    /** Stops immediately, as if the process were killed. */
    public void kill() {
        if (management != null) {
            management.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Parks the event loop threads of a stopped node until the process exits, apart from the calling one, and does not
     * wait for it. At its exit, the virtual machine waits 300 ms for threads inside a system call, which includes an
     * event loop that polls.
     */
    public void parkEventLoops() {
        if (!loop.inEventLoop()) {
            loop.execute(Node::parkThread);
        }
        if (management != null) {
            management.execute(Node::parkThread);
        }
    }

    private static void parkThread() {
        while (true) {
            LockSupport.park();
        }
    }

    @Override
    public void raise(Event event) {
        inbox.add(event);
        if (reducing) {
            return;
        }
        // An effect may raise an event synchronously, such as a write that fails: it is queued until the current one is
        // done.
        reducing = true;
        try {
            while (!inbox.isEmpty()) {
                for (Effect effect : reducer.reduce(clock.nowMs(), inbox.poll())) {
                    effects.run(effect);
                }
            }
        } finally {
            reducing = false;
        }
    }

    @Override
    public void onFault(String operation, RuntimeException cause) {
        log.error(operation, cause);
    }

    @Override
    public boolean acceptsClients() {
        return status.acceptsClients();
    }

    @Override
    public String metricsText() {
        return status.metricsText();
    }

    @Override
    public CompletableFuture<Boolean> drain(boolean on) {
        CompletableFuture<Boolean> applied = new CompletableFuture<>();
        loop.execute(() -> {
            log.info(on ? "draining: requested by operator" : "back in service: requested by operator");
            raise(new Event.DrainRequested(on));
            status.publish();
            applied.complete(!reducer.isStopping());
        });
        return applied;
    }

    @Override
    public void onRejectedCall(RejectionReason reason) {
        loop.execute(() -> counters.countRejection(RejectionReason.Port.MANAGEMENT, reason));
    }

    private void sweep() {
        try {
            status.publish();
            listener.sweep();
            upstream.sweep();
        } catch (RuntimeException e) {
            log.error("sweep failed", e);
        }
    }

    /**
     * Closes one idle connection: of a client that has sent no request yet, else to a server, else of another client.
     */
    private void makeRoom() {
        if (!listener.shedOne(false) && !upstream.closeOneIdleConnection()) {
            listener.shedOne(true);
        }
        if (!descriptors.hasRoomForClient() || !descriptors.hasRoomForServer()) {
            replacement.requestDescriptors();
        }
    }
}

package brackenbridge.net;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.core.Effect;
import brackenbridge.core.Event;
import brackenbridge.core.Reducer;
import brackenbridge.core.observe.TrafficObserver;
import brackenbridge.core.share.TenantUse;
import brackenbridge.counters.Counters;
import brackenbridge.counters.RejectionReason;
import brackenbridge.handover.HandoverState;
import brackenbridge.log.Log;
import brackenbridge.mgmt.AdminOperations;
import brackenbridge.mgmt.ManagementListener;
import brackenbridge.net.channel.Addresses;
import brackenbridge.net.channel.DescriptorBudget;
import brackenbridge.net.channel.EventSink;
import brackenbridge.net.channel.ReceiveBuffers;
import brackenbridge.net.channel.SocketCalls;
import brackenbridge.net.client.ConnectionAcceptor;
import brackenbridge.net.client.Listener;
import brackenbridge.net.upstream.UpstreamConnections;
import brackenbridge.net.upstream.UpstreamContext;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/** A running node: hands events to the reducer and runs the effects, all on one event loop. */
public final class Node implements EventSink, AdminOperations {
    private static final long SWEEP_INTERVAL_MS = 100;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    /** A part of what a stopping process has left before it is killed. */
    private static final long MAX_PARK_WAIT_MS = 50;

    private static final int ACCEPT_BACKLOG = 1024;
    private static final int BUFFER_PAGE_BYTES = 8192;
    /** A chunk of pooled memory has 2 to this power pages. */
    private static final int BUFFER_CHUNK_ORDER = 7;

    private static final int CACHED_SMALL_BUFFERS = 64;
    private static final int CACHED_NORMAL_BUFFERS = 32;

    private final Clock clock;
    private final Log log;
    private final Counters counters = new Counters();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final PooledByteBufAllocator buffers = new PooledByteBufAllocator(
            false, 1, 0, BUFFER_PAGE_BYTES, BUFFER_CHUNK_ORDER, CACHED_SMALL_BUFFERS, CACHED_NORMAL_BUFFERS, false);
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

    /** Makes a node ready to start that no other process can replace while it serves. */
    public Node(Config config, Clock clock, Log log) {
        this(config, clock, log, null);
    }

    /** Makes a node ready to start; at this path it meets the process it replaces, and the one that replaces it. */
    public Node(Config config, Clock clock, Log log, Path replacementPath) {
        this(config, clock, log, replacementPath, SocketCalls.system());
    }

    /** As the others, with other sockets than the system's. */
    Node(Config config, Clock clock, Log log, Path replacementPath, SocketCalls socketCalls) {
        this.clock = clock;
        this.log = log;
        this.socketCalls = socketCalls;
        reducer = new Reducer(config.settings(), counters);
        management = config.management() == null ? null : new ManagementListener(this, log);
        descriptors = new DescriptorBudget(descriptorLimit(config));
        Bootstrap outgoing = outgoingBootstrap();
        listener =
                new Listener(config.settings(), clock, this, descriptors, counters, reducer::isReady, this::makeRoom);
        upstream = new UpstreamConnections(
                new UpstreamContext(outgoing, loop, clock, this, descriptors, counters, log),
                config.settings(),
                new ReducerStartCheck(clock, reducer, listener),
                this::makeRoom);
        discovery = new DiscoveryClient(outgoing, loop, config.discovery(), this, log);
        status = new StatusPublisher(reducer, () -> acceptor.isOpen());
        reconfiguration = new Reconfiguration(config, loop, this::applySettings, this, counters, log, status::publish);
        replacement = new Replacement(loop, replacementPath, descriptors, this::stateForSuccessor, this, counters, log);
        shutdown = new Shutdown(loop, listener, replacement, counters, log);
        Timers timers = new Timers(loop, clock, this);
        effects = new EffectRunner(timers, listener, upstream, discovery, shutdown, this, log);
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
                .option(ChannelOption.RECVBUF_ALLOCATOR, ReceiveBuffers.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    }

    private void applySettings(Config config) {
        discovery.setAddress(config.discovery());
        listener.applySettings(config.settings());
        upstream.applySettings(config.settings());
        descriptors.setLimit(descriptorLimit(config));
    }

    private HandoverState stateForSuccessor() {
        return new HandoverState(reconfiguration.config().sockets() / 2, reducer.endpointList());
    }

    /** Starts to serve; fails if the address can't be listened on. */
    public void start() {
        Config config = reconfiguration.config();
        InetSocketAddress address = Addresses.parse(config.listen());
        if (address == null) {
            throw new IllegalArgumentException("listen: not a literal address: " + config.listen());
        }
        HandoverState inherited = replacement.inheritState();
        loop.submit(() -> startReducer(config, inherited)).syncUninterruptibly();
        // Before any client can come: guards those who would lose their connection to a process that ends at once.
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
            descriptors.shareWithOtherProcess(true);
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
            // Netty throws a failed bind as it is, and that is no RuntimeException.
            throw new IllegalArgumentException("mgmt " + config.management() + ": " + e.getMessage(), e);
        }
    }

    private ServerBootstrap acceptingBootstrap() {
        return new ServerBootstrap()
                .group(group)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.ALLOCATOR, buffers)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Guards servers against the request of a client whose end is there as well, read a turn too late.
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

    /** Reads the configuration anew and applies it; one that is not valid changes nothing. From any thread. */
    public void reconfigure(Supplier<Config> reader) {
        reconfiguration.reconfigure(reader);
    }

    /** From now on the node counts what goes to each pool; before {@link #start}. */
    public void startObserving() {
        loop.submit(reducer::startObserving).syncUninterruptibly();
        status.startObserving();
    }

    /** The traffic of each pool as of the latest tenth of a second of the node's clock; from any thread. */
    public TrafficObserver.TrafficSnapshot observation() {
        return status.observation();
    }

    /** Passes zone weights of the fleet to the event loop; from any thread, without waiting. */
    public void enqueue(Event.ZoneWeightsReceived weights) {
        loop.execute(() -> raise(weights));
    }

    /** Passes tenant quotas of the fleet to the event loop; from any thread, without waiting. */
    public void enqueue(Event.TenantQuotasReceived quotas) {
        loop.execute(() -> raise(quotas));
    }

    /** What each tenant requested and used since the previous call; from any thread. */
    public CompletableFuture<List<TenantUse>> tenantUse() {
        CompletableFuture<List<TenantUse>> read = new CompletableFuture<>();
        loop.execute(() -> read.complete(reducer.tenantUse(clock.nowMs())));
        return read;
    }

    /** The state of the event loop at one moment: the sockets that it counts, and the metrics. */
    record Snapshot(int clients, int servers, String metrics) {}

    /** Read on the loop, with nothing in between; for tests. */
    CompletableFuture<Snapshot> snapshot() {
        CompletableFuture<Snapshot> read = new CompletableFuture<>();
        loop.execute(() -> read.complete(
                new Snapshot(descriptors.clientCount(), descriptors.serverCount(), reducer.metricsText())));
        return read;
    }

    /** Begins to stop; the future that is returned completes when all requests are answered. */
    public CompletableFuture<Void> stop() {
        loop.execute(() -> {
            log.info("stopping");
            raise(new Event.StopRequested());
        });
        return shutdown.completed();
    }

    /** Ends at once, as if the process were killed. */
    public void kill() {
        if (management != null) {
            management.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Holds the event loops of a stopped node still, until the process exits; waits a short time at most. The virtual
     * machine waits 300 ms at its exit for threads that are inside a system call, as a waiting event loop is.
     */
    public void parkEventLoops() throws InterruptedException {
        List<Executor> loops = new ArrayList<>(List.of(loop));
        if (management != null) {
            loops.add(management::execute);
        }
        CountDownLatch parked = new CountDownLatch(loops.size());
        loops.forEach(each -> each.execute(() -> parkThread(parked)));
        parked.await(MAX_PARK_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    private static void parkThread(CountDownLatch parked) {
        parked.countDown();
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
        // An effect may raise an event at once, such as a write that fails: it waits until this one is done.
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

    /** Closes one idle connection: a client's without a request yet, else a server's, else another client's. */
    private void makeRoom() {
        if (!listener.shedOne(false) && !upstream.closeOneIdleConnection()) {
            listener.shedOne(true);
        }
    }
}

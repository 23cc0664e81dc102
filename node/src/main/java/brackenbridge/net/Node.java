package brackenbridge.net;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.core.Effect;
import brackenbridge.core.Event;
import brackenbridge.core.Reducer;
import brackenbridge.core.ShutdownSchedule;
import brackenbridge.core.TimerKey;
import brackenbridge.core.observe.TrafficObserver;
import brackenbridge.core.share.TenantUse;
import brackenbridge.counters.Counter;
import brackenbridge.counters.Counters;
import brackenbridge.counters.RejectionReason;
import brackenbridge.handover.Handover;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A running node: hands events to the reducer and runs the effects, all on one event loop. */
public final class Node implements EventSink, AdminOperations, Handover.Process {
    private static final long SWEEP_MS = 100;
    private static final long LAST_ANSWERS_MS = 20;
    private Config config;
    private final Clock clock;
    private final Log log;
    private final Counters counters = new Counters();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final PooledByteBufAllocator buffers;
    private final Reducer reducer;
    private final DescriptorBudget sockets;
    private final SocketCalls calls;
    private final Listener listener;
    private final UpstreamConnections forwards;
    private final DiscoveryClient discovery;
    private final ArrayDeque<Event> inbox = new ArrayDeque<>();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    /** The timers that may be unset. */
    private final Map<TimerKey, ScheduledFuture<?>> deadlines = new HashMap<>();

    private boolean reducing;
    /** What the management listener tells: published by the event loop, read by the other. */
    private volatile String figures = "";

    private volatile boolean takesClients;
    private volatile boolean observes;
    private volatile TrafficObserver.TrafficSnapshot observed = TrafficObserver.TrafficSnapshot.NONE;
    private boolean serves;
    private final ManagementListener management;
    private final Handover handover;
    private ConnectionAcceptor door;

    /** Makes a node ready to start that no other process can replace while it serves. */
    public Node(Config config, Clock clock, Log log) {
        this(config, clock, log, null);
    }

    /** Makes a node ready to start; at this path it meets the process it replaces, and the one that replaces it. */
    public Node(Config config, Clock clock, Log log, Path meeting) {
        this(config, clock, log, meeting, SocketCalls.system());
    }

    /** As the others, with other sockets than the system's. */
    Node(Config config, Clock clock, Log log, Path meeting, SocketCalls calls) {
        this.config = config;
        this.calls = calls;
        this.clock = clock;
        this.log = log;
        reducer = new Reducer(config.settings(), counters);
        buffers = new PooledByteBufAllocator(false, 1, 0, 8192, 7, 64, 32, false);
        handover = meeting == null ? null : new Handover(loop, meeting, this, counters, log);
        management = config.management() == null ? null : new ManagementListener(this, log);
        sockets = new DescriptorBudget(config.sockets() - (management == null ? 0 : ManagementListener.DESCRIPTORS));
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channelFactory(calls.outgoing())
                .option(ChannelOption.ALLOCATOR, buffers)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, ReceiveBuffers.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000);
        listener = new Listener(config.settings(), clock, this, sockets, counters, reducer::isReady, this::makeRoom);
        forwards = new UpstreamConnections(
                bootstrap, loop, config.settings(), clock, this, beginCheck(), sockets, counters, log, this::makeRoom);
        discovery = new DiscoveryClient(bootstrap, loop, config.discovery(), this, log);
    }

    private UpstreamConnections.BeginCheck beginCheck() {
        return new UpstreamConnections.BeginCheck() {
            @Override
            public double timeLeftMs(long flow, int forward) {
                return reducer.timeLeftMs(clock.nowMs(), flow, forward);
            }

            @Override
            public boolean isClientPresent(long flow) {
                return listener.isClientPresent(flow);
            }
        };
    }

    /** Starts to serve; fails if the address can't be listened on. */
    public void start() {
        InetSocketAddress address = Addresses.parse(config.listen());
        if (address == null) {
            throw new IllegalArgumentException("listen: not a literal address: " + config.listen());
        }
        HandoverState offer = inherit();
        loop.submit(() -> {
                    raise(new Event.Started(config.configuredEndpoints()));
                    if (offer != null) {
                        sockets.shareWithOtherProcess(true);
                        raise(new Event.EndpointListInherited(offer.endpoints()));
                    }
                })
                .syncUninterruptibly();
        // Before any client can come: guards those who would lose their connection to a process that ends at once.
        if (management != null) {
            try {
                management.listen(Addresses.parse(config.management()));
            } catch (Exception e) {
                // Netty throws a failed bind as it is, and that is no RuntimeException.
                throw new IllegalArgumentException("mgmt " + config.management() + ": " + e.getMessage(), e);
            }
        }
        door = new ConnectionAcceptor(
                new ServerBootstrap()
                        .group(group)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.ALLOCATOR, buffers)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        // A client's end must be found in the turn that reads the request in front of it.
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                ReceiveBuffers.allocator().respectMaybeMoreData(false))
                        .childHandler(listener.initializer()),
                address,
                clock,
                calls.accept(),
                this::makeRoom,
                log::warn);
        loop.submit(() -> {
                    listener.opened(door);
                    if (handover == null) {
                        serves();
                    } else {
                        handover.ready(this::serves);
                    }
                })
                .syncUninterruptibly();
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        log.info("node " + config.name() + " listens on " + door.address() + ", tier "
                + config.settings().tier());
    }

    /** What the process that serves here already hands over; null if there is none. */
    private HandoverState inherit() {
        if (handover == null) {
            return null;
        }
        CompletableFuture<HandoverState> answered = new CompletableFuture<>();
        loop.execute(() -> handover.ask().thenAccept(answered::complete));
        HandoverState offer = answered.join();
        if (offer != null) {
            log.info("takes the place of another process; its list has version "
                    + offer.endpoints().version());
        }
        return offer;
    }

    private void serves() {
        serves = true;
        publish();
    }

    @Override
    public HandoverState offer() {
        sockets.shareWithOtherProcess(true);
        return new HandoverState(config.sockets() / 2, reducer.endpointList());
    }

    @Override
    public void successorServes(boolean on) {
        sockets.shareWithOtherProcess(on);
        raise(new Event.SuccessorServes(on));
    }

    @Override
    public void predecessorEnded() {
        log.info("the predecessor has ended");
        sockets.shareWithOtherProcess(false);
    }

    /** Where staff call it; null if nowhere. */
    public InetSocketAddress managementAddress() {
        return management == null ? null : management.address();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return door.address();
    }

    /** Reads the configuration anew and goes by it; one that can't be used changes nothing. From any thread. */
    public synchronized void reconfigure(Supplier<Config> reading) {
        // In turn: of two configurations, the one that was read last must be the one that stays.
        Config read;
        try {
            read = reading.get();
        } catch (IllegalArgumentException e) {
            loop.execute(() -> turnDown(e));
            return;
        }
        loop.execute(() -> takeOver(read));
    }

    private void turnDown(IllegalArgumentException e) {
        counters.count(Counter.RECONFIGURE_FAILED);
        log.warn("the old configuration stays: " + e.getMessage());
        publish();
    }

    private void takeOver(Config read) {
        try {
            config.schema().requireSameKeysIn(read.schema());
        } catch (IllegalArgumentException e) {
            turnDown(e);
            return;
        }
        boolean moved = !read.discovery().equals(config.discovery());
        boolean fixed = !read.listen().equals(config.listen()) || !read.name().equals(config.name());
        discovery.moved(read.discovery());
        listener.applySettings(read.settings());
        forwards.applySettings(read.settings());
        sockets.setLimit(read.sockets() - (management == null ? 0 : ManagementListener.DESCRIPTORS));
        config = read;
        log.info("reconfigured, " + read.settings().classes().size() + " classes, "
                + read.settings().maxAttempts()
                + " attempts, discovery at " + read.discovery()
                + (fixed ? "; name and listen address change at the next start only" : ""));
        raise(new Event.Reconfigured(read.settings(), read.configuredEndpoints(), moved));
        publish();
    }

    /** From now on the node counts what goes to each pool; before {@link #start}. */
    public void startObserving() {
        loop.submit(reducer::startObserving).syncUninterruptibly();
        observes = true;
    }

    /** What was seen of each pool by the latest turn of its clock's tenth of a second; from any thread. */
    public TrafficObserver.TrafficSnapshot observation() {
        return observed;
    }

    /** What the fleet has to say, to be heard on the loop; from any thread, and nobody waits for it. */
    public void enqueue(Event.ZoneWeightsReceived weights) {
        loop.execute(() -> raise(weights));
    }

    /** What tenants may hold, as {@link #enqueue(Event.ZoneWeightsReceived)}. */
    public void enqueue(Event.TenantQuotasReceived shares) {
        loop.execute(() -> raise(shares));
    }

    /** What each tenant wanted and used since this was last asked; from any thread. */
    public CompletableFuture<List<TenantUse>> tenantUse() {
        CompletableFuture<List<TenantUse>> read = new CompletableFuture<>();
        loop.execute(() -> read.complete(reducer.tenantUse(clock.nowMs())));
        return read;
    }

    /** What the loop knows at one moment: the sockets that it counts, and the operators' figures. */
    record Snapshot(int clients, int servers, String figures) {}

    /** Read on the loop, with nothing in between; for tests. */
    CompletableFuture<Snapshot> snapshot() {
        CompletableFuture<Snapshot> read = new CompletableFuture<>();
        loop.execute(
                () -> read.complete(new Snapshot(sockets.clientCount(), sockets.serverCount(), reducer.metricsText())));
        return read;
    }

    /** Begins to stop; the future that is returned completes when all is answered. */
    public CompletableFuture<Void> stop() {
        loop.execute(() -> {
            log.info("stopping");
            raise(new Event.StopRequested());
        });
        return ended;
    }

    /** Ends at once, as if the process were killed. */
    public void kill() {
        if (management != null) {
            management.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
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
                    run(effect);
                }
            }
        } finally {
            reducing = false;
        }
    }

    @Override
    public void onFault(String what, RuntimeException cause) {
        log.error(what, cause);
    }

    private void run(Effect effect) {
        try {
            if (effect instanceof Effect.SetTimer e) {
                timer(e);
            } else if (effect instanceof Effect.CancelTimer e) {
                ScheduledFuture<?> set = deadlines.remove(e.key());
                if (set != null) {
                    set.cancel(false);
                }
            } else if (effect instanceof Effect.StartAttempt e) {
                forwards.begin(e);
            } else if (effect instanceof Effect.SendResponse e) {
                listener.respond(e.requestId(), e.message());
            } else if (effect instanceof Effect.SendLocalReply e) {
                listener.fixedResponse(e.requestId(), e.reply(), e.retryAfterMs());
            } else if (effect instanceof Effect.CancelAttempt e) {
                forwards.cancel(e.requestId(), e.attempt());
            } else if (effect instanceof Effect.WatchDiscovery e) {
                discovery.watch(e.call(), e.afterVersion());
            } else if (effect instanceof Effect.EndDiscoveryCall e) {
                discovery.end(e.call());
            } else if (effect instanceof Effect.CloseIdleConnections e) {
                forwards.closeIdle(e.host(), e.address());
            } else if (effect instanceof Effect.AnnounceClose e) {
                listener.sayClose(e.on());
            } else if (effect instanceof Effect.StopAccepting) {
                listener.stopAccepting();
            } else if (effect instanceof Effect.CloseIdleClients) {
                listener.closeIdle();
            } else if (effect instanceof Effect.CloseClientsWhenIdle e) {
                listener.keepNone(e.on());
            } else if (effect instanceof Effect.RejectIncompleteRequests) {
                listener.endUnfinished(408);
            } else if (effect instanceof Effect.Fault e) {
                log.error("fault in a decision", e.cause());
            } else if (effect instanceof Effect.Exit e) {
                exit(e.immediately());
            }
        } catch (RuntimeException e) {
            log.error("effect " + effect.getClass().getSimpleName() + " failed", e);
            if (effect instanceof Effect.StartAttempt f) {
                // Guards its flow against waiting in vain: nothing has been sent.
                forwards.cancel(f.requestId(), f.attempt());
                raise(new Event.AttemptNotStarted(f.requestId(), f.attempt()));
            }
        }
    }

    private void timer(Effect.SetTimer e) {
        double wait = e.atMs() - clock.nowMs();
        ScheduledFuture<?> set = loop.schedule(
                () -> {
                    if (clock.nowMs() < e.atMs()) {
                        timer(e);
                    } else {
                        deadlines.remove(e.key());
                        raise(new Event.TimerFired(e.key()));
                    }
                },
                (long) (Math.max(0, wait) * 1e6),
                TimeUnit.NANOSECONDS);
        if (e.key() instanceof TimerKey.RequestDeadline) {
            ScheduledFuture<?> before = deadlines.put(e.key(), set);
            if (before != null) {
                before.cancel(false);
            }
        }
    }

    private void publish() {
        figures = reducer.metricsText();
        if (observes) {
            observed = reducer.observation();
        }
        takesClients = serves && door.isOpen() && !reducer.isStopping();
    }

    @Override
    public boolean acceptsClients() {
        return takesClients;
    }

    @Override
    public String metricsText() {
        return figures;
    }

    @Override
    public CompletableFuture<Boolean> drain(boolean on) {
        CompletableFuture<Boolean> taken = new CompletableFuture<>();
        loop.execute(() -> {
            log.info(on ? "told to drain" : "told to work again");
            raise(new Event.DrainRequested(on));
            publish();
            taken.complete(!reducer.isStopping());
        });
        return taken;
    }

    @Override
    public void onRejectedCall(RejectionReason why) {
        loop.execute(() -> counters.countRejection(RejectionReason.Port.MANAGEMENT, why));
    }

    private void sweep() {
        try {
            publish();
            listener.sweep();
            forwards.sweep();
        } catch (RuntimeException e) {
            log.error("sweep failed", e);
        }
    }

    /** At the limit on sockets what is idle goes: clients that never asked, servers' connections, other clients. */
    private void makeRoom() {
        if (!listener.shed(false) && !forwards.shed()) {
            listener.shed(true);
        }
    }

    private void exit(boolean atOnce) {
        if (atOnce) {
            // Half a request is refused now: what comes of it later would meet a process that is gone.
            listener.endUnfinished(503);
            loop.schedule(this::exited, ShutdownSchedule.LAST_LINGER_MS, TimeUnit.MILLISECONDS);
        }
        awaitQuiet();
    }

    /** Exits once the last clients have seen the end of their answers. */
    private void awaitQuiet() {
        listener.closeIdle();
        if (listener.quiet()) {
            exited();
        } else if (!ended.isDone()) {
            loop.schedule(this::awaitQuiet, LAST_ANSWERS_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void exited() {
        if (ended.isDone()) {
            return;
        }
        if (handover != null) {
            handover.close();
        }
        log.info("stopped: " + counters.line());
        ended.complete(null);
    }
}

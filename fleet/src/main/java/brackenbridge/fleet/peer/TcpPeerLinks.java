package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Links over TCP, with one connection per pair of members. Both sides dial; of two connections, the one dialed by the
 * member with the lower name stays. One thread accepts, one drives the heartbeat, one calls the watchers; each peer has
 * a thread that dials and writes and one that reads. All are daemon threads and owned by {@link LinkContext}. Peers are
 * not authenticated: the listener must only be reachable from the fleet's private network.
 *
 * <p>Receivers are called on the reading thread: while one runs, nothing more is read from that peer.
 *
 * <p>This class composes {@link Dialer}, {@link Acceptor}, {@link ConnectionRegistry},
 * {@link ConnectionReader}, {@link Membership} and {@link HeartbeatTimer}.
 */
public final class TcpPeerLinks implements PeerLinks {
    private static final Logger LOG = LoggerFactory.getLogger(TcpPeerLinks.class);
    /** How long {@link #close} waits for the leave messages to be written and read. */
    private static final double LEAVE_TIMEOUT_MS = 500;

    private final LinkContext context;
    private final ConnectionRegistry registry;
    private final Membership membership;
    private final ConnectionReader reader;
    private final Dialer dialer;
    private final Acceptor acceptor;
    private final HeartbeatTimer heartbeatTimer;
    private final String listenAddress;

    /** Notified of faults that need an operator: a permanent rejection, two nodes with one name. */
    @FunctionalInterface
    public interface FaultListener {
        /**
         * Called for each fault.
         *
         * @param name the member concerned; this member's own name if another process has it too, or if peers know a
         *     later incarnation
         * @param reason the reason of the rejection
         * @param text a description for operators
         */
        void onFault(String name, HandshakeRejection reason, String text);
    }

    /**
     * Creates links, without starting them.
     *
     * @param self this member; port 0 in its address selects any free port
     * @param incarnation greater than that of each earlier start
     * @param fleet the fleet's name; members of other fleets are rejected
     * @param peers the other members; an entry for this member is ignored
     * @param clock the source of time
     * @param limits limits and timeouts
     */
    public TcpPeerLinks(
            Member self, long incarnation, String fleet, List<Member> peers, Clock clock, PeerLimits limits) {
        this(self, self.address(), incarnation, fleet, peers, clock, limits);
    }

    /**
     * Creates links, without starting them, of a member whose listen address differs from the address at which its
     * peers reach it.
     *
     * @param self this member, with the address at which its peers reach it
     * @param listenAddress where it listens; port 0 selects any free port if this is the member's own address
     * @param incarnation greater than that of each earlier start
     * @param fleet the fleet's name; members of other fleets are rejected
     * @param peers the other members; an entry for this member is ignored
     * @param clock the source of time
     * @param limits limits and timeouts
     */
    public TcpPeerLinks(
            Member self,
            String listenAddress,
            long incarnation,
            String fleet,
            List<Member> peers,
            Clock clock,
            PeerLimits limits) {
        PeerAddress.requireValid(self);
        PeerAddress.parse(listenAddress);
        this.listenAddress = listenAddress;
        context = new LinkContext(self, incarnation, PeerAddress.requireValidName(fleet), clock, limits);
        registry = new ConnectionRegistry(context);
        membership = new Membership(context, registry);
        HandshakeValidator validator = new HandshakeValidator(context, registry, membership);
        RejectionHandler rejections = new RejectionHandler(context, registry, membership);
        reader = new ConnectionReader(context, registry, membership);
        dialer = new Dialer(context, registry, validator, rejections, reader);
        acceptor = new Acceptor(context, validator, rejections, reader);
        heartbeatTimer = new HeartbeatTimer(context, registry, membership);
        update(peers);
    }

    @Override
    public Member self() {
        return context.self();
    }

    @Override
    public long incarnation() {
        return context.incarnation();
    }

    /** Random number drawn at this start: distinguishes two processes of one name and incarnation. */
    public long instance() {
        return context.instance;
    }

    @Override
    public List<Member> peers() {
        Map<String, Member> byName = new TreeMap<>();
        for (Peer peer : registry.peers()) {
            byName.put(peer.name(), peer.member);
        }
        return new ArrayList<>(byName.values());
    }

    @Override
    public MemberStatus status(String peer) {
        synchronized (context.lock) {
            return membership.detector().status(peer);
        }
    }

    /** Whether this peer is connected; a peer without a connection may be alive by the gossip of others. */
    public boolean isConnected(String peer) {
        return registry.connection(peer) != null;
    }

    /** Names of the peers that are connected now. */
    public Collection<String> connectedPeers() {
        return registry.connectedNames();
    }

    @Override
    public boolean send(String peer, MessageStream stream, byte[] body) {
        requirePublic(stream);
        if (body.length > context.limits.maxFrameBytes()) {
            throw new IllegalArgumentException(
                    "message of " + body.length + " bytes exceeds the limit of " + context.limits.maxFrameBytes());
        }
        PeerConnection connection = registry.connection(peer);
        if (connection == null) {
            context.metrics.count("unsent_no_link");
            return false;
        }
        boolean queued = connection.sendQueue.offer(stream, body);
        if (!queued) {
            context.metrics.count("unsent_queue_full");
        }
        return queued;
    }

    @Override
    public void setReceiver(MessageStream stream, Receiver receiver) {
        requirePublic(stream);
        reader.setReceiver(stream, receiver);
    }

    private static void requirePublic(MessageStream stream) {
        if (stream == MessageStream.LIVENESS) {
            throw new IllegalArgumentException("the LIVENESS stream is reserved for the failure detector");
        }
    }

    @Override
    public void addWatcher(Watcher watcher) {
        membership.addWatcher(watcher);
    }

    /** Adds a fault listener. Must be called before {@link #start}. */
    public void addFaultListener(FaultListener listener) {
        membership.addFaultListener(listener);
    }

    /** Counters since the start and current gauges, by name. */
    public Map<String, Double> metrics() {
        Map<String, Double> all = context.metrics.snapshot();
        synchronized (context.lock) {
            all.put("links", (double) registry.connectedNames().size());
            all.put("strangers", (double) acceptor.pendingHandshakeCount());
            all.put("threads", (double) context.threadCount());
            membership.addMetrics(all);
        }
        return all;
    }

    @Override
    public void start() throws IOException {
        synchronized (context.lock) {
            if (acceptor.bound() || context.closing()) {
                throw new IllegalStateException("links are already started or closed");
            }
            int port = acceptor.bind(listenAddress);
            Member self = context.self();
            if (PeerAddress.parse(listenAddress).getPort() == 0 && listenAddress.equals(self.address())) {
                String host = listenAddress.substring(0, listenAddress.lastIndexOf(':') + 1);
                context.setSelf(new Member(self.name(), host + port, self.zone()));
            }
            acceptor.start();
            heartbeatTimer.start();
            membership.start();
            registry.peers().forEach(dialer::start);
        }
        LOG.info(
                "{} of fleet {} listens on {}, incarnation {}",
                self().name(),
                context.fleet,
                self().address(),
                incarnation());
    }

    /**
     * Replaces the configured members: connections to removed members are closed, members with a new address are dialed
     * there.
     *
     * @throws IllegalArgumentException if a name or address is malformed or a name occurs twice
     */
    public void update(List<Member> members) {
        Map<String, Member> configuredMembers = new HashMap<>();
        for (Member member : members) {
            if (!member.name().equals(self().name())
                    && configuredMembers.put(member.name(), PeerAddress.requireValid(member)) != null) {
                throw new IllegalArgumentException("duplicate member name " + member.name());
            }
        }
        synchronized (context.lock) {
            if (context.closing()) {
                return;
            }
            removeOthers(configuredMembers);
            configuredMembers.values().forEach(this::addIfAbsent);
            membership.detector().update(configuredMembers.keySet());
            membership.process(List.of());
            context.signalChange();
        }
    }

    private void removeOthers(Map<String, Member> configuredMembers) {
        for (Iterator<Peer> i = registry.peers().iterator(); i.hasNext(); ) {
            Peer peer = i.next();
            Member configured = configuredMembers.get(peer.name());
            if (configured == null || !configured.address().equals(peer.member.address())) {
                peer.removed = true;
                membership.detector().onDisconnected(peer.name());
                peer.disconnect(configured == null ? "removed from the members" : "address changed");
                i.remove();
            }
        }
    }

    private void addIfAbsent(Member member) {
        if (registry.peer(member.name()) == null) {
            Peer peer = new Peer(member);
            registry.add(peer);
            if (acceptor.bound()) {
                dialer.start(peer);
            }
        }
    }

    @Override
    public void close() {
        stop(true);
    }

    /** Shuts down without notifying peers, as a killed process does. */
    void abort() {
        stop(false);
    }

    private void stop(boolean notifyPeers) {
        List<PeerConnection> openConnections;
        List<Thread> runningThreads;
        synchronized (context.lock) {
            if (context.closing()) {
                return;
            }
            if (notifyPeers) {
                registry.send(membership.detector().leaveMessages(context.clock.nowMs()));
            }
            context.beginClosing();
            membership.close();
            openConnections = endSendQueues();
            acceptor.close();
            context.signalChange();
            runningThreads = context.runningThreads();
        }
        awaitClosed(openConnections, notifyPeers ? LEAVE_TIMEOUT_MS : 0);
        context.stopThreads(runningThreads, 2 * LEAVE_TIMEOUT_MS);
    }

    /** Stops queuing messages and returns the open connections. The caller holds the lock. */
    private List<PeerConnection> endSendQueues() {
        List<PeerConnection> openConnections = new ArrayList<>();
        for (Peer peer : registry.peers()) {
            PeerConnection connection = peer.connection;
            if (connection != null) {
                openConnections.add(connection);
                connection.sendQueue.end();
            }
            peer.cancelDial();
            LockSupport.unpark(peer.dialerThread);
        }
        return openConnections;
    }

    private void awaitClosed(List<PeerConnection> openConnections, double timeoutMs) {
        double untilMs = context.clock.nowMs() + timeoutMs;
        for (PeerConnection connection : openConnections) {
            synchronized (context.lock) {
                double leftMs = untilMs - context.clock.nowMs();
                while (leftMs >= 1 && !connection.closed) {
                    context.awaitChange(leftMs);
                    leftMs = untilMs - context.clock.nowMs();
                }
            }
            connection.close("this member shuts down");
        }
    }
}

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
 * Links over TCP: one connection for each pair of members. Both sides dial; of two connections the one that the lower
 * name has dialled stays. One thread accepts, one drives the heartbeat, one calls the watchers; each peer has one that
 * dials and writes and one that reads. All are daemons and owned by {@link LinkContext}. Peers are not authenticated:
 * the listener belongs in a network of the fleet's own.
 *
 * <p>Receivers are called on the reading thread: while one runs, nothing more is read from that peer.
 *
 * <p>This class composes the parts: {@link Dialer}, {@link Acceptor}, {@link ConnectionRegistry},
 * {@link ConnectionReader}, {@link Membership} and {@link HeartbeatTimer}.
 */
public final class TcpPeerLinks implements PeerLinks {
    private static final Logger LOG = LoggerFactory.getLogger(TcpPeerLinks.class);
    /** How long {@link #close} waits for the farewell to be written and read. */
    private static final double LEAVE_TIMEOUT_MS = 500;

    private final LinkContext context;
    private final ConnectionRegistry registry;
    private final Membership membership;
    private final ConnectionReader reader;
    private final Dialer dialer;
    private final Acceptor acceptor;
    private final HeartbeatTimer heartbeatTimer;
    private final String listenAddress;

    /** Is notified of faults that operators must mend: a rejection that lasts, two nodes of one name. */
    @FunctionalInterface
    public interface FaultListener {
        /**
         * A fault was found.
         *
         * @param name the member it concerns; this member's own name if another has it too or knows a later life
         * @param reason why a handshake was rejected
         * @param text in words
         */
        void onFault(String name, HandshakeRejection reason, String text);
    }

    /**
     * Links that are not started yet.
     *
     * @param me this member; port 0 in its address stands for any free one
     * @param incarnation greater than that of each earlier start
     * @param fleet the fleet's name: members of others are refused
     * @param peers the others; this member among them is passed over
     * @param clock the source of time
     * @param limits what the links are granted
     */
    public TcpPeerLinks(Member me, long incarnation, String fleet, List<Member> peers, Clock clock, PeerLimits limits) {
        this(me, me.address(), incarnation, fleet, peers, clock, limits);
    }

    /**
     * Links that are not started yet, of a member that listens elsewhere than where its peers reach it.
     *
     * @param me this member, with the address at which its peers reach it
     * @param listenAddress where it listens; port 0 stands for any free one if it is the member's own address
     * @param incarnation greater than that of each earlier start
     * @param fleet the fleet's name: members of others are refused
     * @param peers the others; this member among them is passed over
     * @param clock the source of time
     * @param limits what the links are granted
     */
    public TcpPeerLinks(
            Member me,
            String listenAddress,
            long incarnation,
            String fleet,
            List<Member> peers,
            Clock clock,
            PeerLimits limits) {
        PeerAddress.requireValid(me);
        PeerAddress.parse(listenAddress);
        this.listenAddress = listenAddress;
        context = new LinkContext(me, incarnation, PeerAddress.requireValidName(fleet), clock, limits);
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

    /** Drawn at this start: distinguishes two processes of one name and life. */
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

    /** Whether there is a connection with this peer; it may be alive by what others hear and have none. */
    public boolean isConnected(String peer) {
        return registry.connection(peer) != null;
    }

    /** Names of the peers that have a connection now. */
    public Collection<String> connectedPeers() {
        return registry.connectedNames();
    }

    @Override
    public boolean send(String peer, MessageStream stream, byte[] body) {
        requirePublic(stream);
        if (body.length > context.limits.maxFrameBytes()) {
            throw new IllegalArgumentException(body.length + " bytes, over " + context.limits.maxFrameBytes());
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
            throw new IllegalArgumentException("the stream of liveness is the links' own");
        }
    }

    @Override
    public void addWatcher(Watcher watcher) {
        membership.addWatcher(watcher);
    }

    /** Adds an alarm; before {@link #start}. */
    public void addFaultListener(FaultListener alarm) {
        membership.addFaultListener(alarm);
    }

    /** Counters since the start and present gauges, by name. */
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
                throw new IllegalStateException("started already, or closed");
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
                "{} of fleet {} listens on {}, life {}", self().name(), context.fleet, self().address(), incarnation());
    }

    /**
     * Replaces the configured members: connections with others end, those at a new address are dialled there.
     *
     * @throws IllegalArgumentException if a name or address is malformed or a name occurs twice
     */
    public void update(List<Member> members) {
        Map<String, Member> wanted = new HashMap<>();
        for (Member member : members) {
            if (!member.name().equals(self().name())
                    && wanted.put(member.name(), PeerAddress.requireValid(member)) != null) {
                throw new IllegalArgumentException("two members of the name " + member.name());
            }
        }
        synchronized (context.lock) {
            if (context.closing()) {
                return;
            }
            removeOthers(wanted);
            wanted.values().forEach(this::addIfAbsent);
            membership.detector().update(wanted.keySet());
            membership.process(List.of());
            context.signalChange();
        }
    }

    private void removeOthers(Map<String, Member> wanted) {
        for (Iterator<Peer> i = registry.peers().iterator(); i.hasNext(); ) {
            Peer peer = i.next();
            Member now = wanted.get(peer.name());
            if (now == null || !now.address().equals(peer.member.address())) {
                peer.removed = true;
                membership.detector().onDisconnected(peer.name());
                peer.disconnect(now == null ? "no member any more" : "has another address now");
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

    /** Ends as a killed process does: peers are not notified. */
    void abort() {
        stop(false);
    }

    private void stop(boolean farewell) {
        List<PeerConnection> open;
        List<Thread> running;
        synchronized (context.lock) {
            if (context.closing()) {
                return;
            }
            if (farewell) {
                registry.send(membership.detector().leaveMessages(context.clock.nowMs()));
            }
            context.beginClosing();
            membership.close();
            open = endSendQueues();
            acceptor.close();
            context.signalChange();
            running = context.runningThreads();
        }
        awaitClosed(open, farewell ? LEAVE_TIMEOUT_MS : 0);
        context.stopThreads(running, 2 * LEAVE_TIMEOUT_MS);
    }

    /** With the lock: no message is queued any more; the open connections are returned. */
    private List<PeerConnection> endSendQueues() {
        List<PeerConnection> open = new ArrayList<>();
        for (Peer peer : registry.peers()) {
            PeerConnection connection = peer.connection;
            if (connection != null) {
                open.add(connection);
                connection.sendQueue.end();
            }
            peer.cancelDial();
            LockSupport.unpark(peer.dialerThread);
        }
        return open;
    }

    private void awaitClosed(List<PeerConnection> open, double timeoutMs) {
        double untilMs = context.clock.nowMs() + timeoutMs;
        for (PeerConnection connection : open) {
            synchronized (context.lock) {
                double leftMs = untilMs - context.clock.nowMs();
                while (leftMs >= 1 && !connection.closed) {
                    context.awaitChange(leftMs);
                    leftMs = untilMs - context.clock.nowMs();
                }
            }
            connection.close("this member ends");
        }
    }
}

package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;
import brackenbridge.transport.AcceptBackoff;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Links over TCP: one connection a pair. Both sides dial; of two connections the one that the lower name has dialled
 * stays. One thread accepts, one keeps time, one calls the watchers; each peer has one that dials and writes and one
 * that reads. All are daemons. Nobody is authenticated: the listener belongs in a network of the fleet's own.
 *
 * <p>Receivers are called on the reading thread: while one works, nothing more is read from that peer.
 */
public final class TcpPeerLinks implements PeerLinks {
    private static final Logger LOG = LoggerFactory.getLogger(TcpPeerLinks.class);
    private static final double FAREWELL_MS = 500;
    private static final double LOG_EACH_MS = 1000;
    private static final int UNKNOWN_TIMES = 6;
    private static final double LOG_AGAIN_MS = 600_000;
    /** Bounds how often two processes of one name, of which neither is known to live, can outdo each other. */
    private static final int MOST_RENEWALS = 8;

    private final String fleet;
    private volatile long life;
    private final long instance = new SecureRandom().nextLong() | 1;
    private final PeerLimits limits;
    private final Clock clock;
    private final Random random = new Random(instance);
    private final LinkMetrics figures = new LinkMetrics();
    private final WatcherQueue watcherCalls = new WatcherQueue(figures);
    private final Map<MessageStream, Receiver> receivers = new EnumMap<>(MessageStream.class);
    private final List<Watcher> watchers = new ArrayList<>();
    private final List<Alarm> alarms = new ArrayList<>();
    private final Map<HandshakeRejection, Double> logged = new EnumMap<>(HandshakeRejection.class);
    /** Guards all that follows, the detector too. */
    private final Object lock = new Object();

    private final Map<String, Peer> peers = new ConcurrentHashMap<>();
    private final FailureDetector detector;
    private final Set<PeerConnection> strangers = new LinkedHashSet<>();
    private final Set<Thread> threads = new HashSet<>();
    private final String listenAddress;
    private volatile Member me;
    private volatile boolean closing;
    private ServerSocket listener;
    private long dials;
    private boolean linkedInThisLife;
    private int renewals;

    /** Hears of what staff must see to: a refusal that lasts, two nodes of one name. */
    @FunctionalInterface
    public interface Alarm {
        /**
         * Something is wrong.
         *
         * @param name the member it concerns; this member's own name if another has it too or knows a later life
         * @param why the reason
         * @param text in words
         */
        void raised(String name, HandshakeRejection why, String text);
    }

    /** A peer as this member has it configured, and the connection with it. */
    private static final class Peer {
        final Member member;
        volatile PeerConnection connection;
        String toldAddress;
        Socket dialling;
        PeerConnection meeting;
        Thread keeper;
        volatile boolean removed;
        double dialMs;
        int failures;
        int dialCount;
        long lastDialSeen;
        long lastDialInstance;
        HandshakeRejection lastRefusal;
        int unknownThere;
        HandshakeRejection refused;
        double refusedMs;

        Peer(Member member) {
            this.member = member;
        }
    }

    /**
     * Links that are not started yet.
     *
     * @param me this member; port 0 in its address stands for any free one
     * @param life greater than that of each earlier start
     * @param fleet the fleet's name: members of others are refused
     * @param peers the others; this member among them is passed over
     * @param clock the source of time
     * @param limits what the links are granted
     */
    public TcpPeerLinks(Member me, long life, String fleet, List<Member> peers, Clock clock, PeerLimits limits) {
        this(me, me.address(), life, fleet, peers, clock, limits);
    }

    /**
     * Links that are not started yet, of a member that listens elsewhere than where its peers reach it.
     *
     * @param me this member, with the address at which its peers reach it
     * @param listenAddress where it listens; port 0 stands for any free one if it is the member's own address
     * @param life greater than that of each earlier start
     * @param fleet the fleet's name: members of others are refused
     * @param peers the others; this member among them is passed over
     * @param clock the source of time
     * @param limits what the links are granted
     */
    public TcpPeerLinks(
            Member me,
            String listenAddress,
            long life,
            String fleet,
            List<Member> peers,
            Clock clock,
            PeerLimits limits) {
        this.me = checked(me);
        address(listenAddress);
        this.listenAddress = listenAddress;
        this.life = life;
        this.fleet = checkedName(fleet);
        this.clock = clock;
        this.limits = limits;
        detector = new FailureDetector(me.name(), life, instance, limits, instance);
        update(peers);
    }

    private static Member checked(Member member) {
        checkedName(member.name());
        address(member.address());
        if (member.address().getBytes(StandardCharsets.UTF_8).length > 255) {
            throw new IllegalArgumentException("address too long: " + member.address());
        }
        return member;
    }

    private static String checkedName(String name) {
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > PeerLimits.NAME_BYTES) {
            throw new IllegalArgumentException("a name has from 1 to " + PeerLimits.NAME_BYTES + " bytes: " + name);
        }
        return name;
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon)).replace("[", "").replace("]", "");
            int port = Integer.parseInt(text.substring(colon + 1));
            if (!host.isEmpty()) {
                return InetSocketAddress.createUnresolved(host, port);
            }
        } catch (IllegalArgumentException e) {
            LOG.debug("no address: {}", text, e);
        }
        throw new IllegalArgumentException("not address:port: " + text);
    }

    @Override
    public Member me() {
        return me;
    }

    @Override
    public long life() {
        return life;
    }

    /** Drawn at this start: tells two processes of one name and life apart. */
    public long instance() {
        return instance;
    }

    @Override
    public List<Member> peers() {
        List<Member> all = new ArrayList<>();
        for (Peer peer : new TreeMap<>(peers).values()) {
            all.add(peer.member);
        }
        return all;
    }

    @Override
    public MemberStatus standing(String peer) {
        synchronized (lock) {
            return detector.standing(peer);
        }
    }

    /** Whether messages to this peer are taken: a peer may be alive by what others hear and have no link. */
    public boolean linked(String peer) {
        Peer known = peers.get(peer);
        return known != null && known.connection != null;
    }

    @Override
    public boolean send(String peer, MessageStream stream, byte[] body) {
        if (stream == MessageStream.LIVENESS) {
            throw new IllegalArgumentException("the stream of liveness is the links' own");
        }
        if (body.length > limits.frameBytes()) {
            throw new IllegalArgumentException(body.length + " bytes, over " + limits.frameBytes());
        }
        Peer known = peers.get(peer);
        PeerConnection connection = known == null ? null : known.connection;
        if (connection == null) {
            figures.count("unsent_no_link");
            return false;
        }
        boolean taken = connection.outbox.offer(stream, body);
        if (!taken) {
            figures.count("unsent_queue_full");
        }
        return taken;
    }

    @Override
    public void receive(MessageStream stream, Receiver receiver) {
        if (stream == MessageStream.LIVENESS) {
            throw new IllegalArgumentException("the stream of liveness is the links' own");
        }
        receivers.put(stream, receiver);
    }

    @Override
    public void watch(Watcher watcher) {
        watchers.add(watcher);
    }

    /** Who hears of what staff must see to; before {@link #start}. */
    public void alarm(Alarm alarm) {
        alarms.add(alarm);
    }

    /** Counts since the start, and how things are now, by name. */
    public Map<String, Double> figures() {
        Map<String, Double> all = figures.snapshot();
        synchronized (lock) {
            all.put("links", (double)
                    peers.values().stream().filter(p -> p.connection != null).count());
            all.put("strangers", (double) strangers.size());
            all.put("threads", (double) threads.size());
            all.put("peers_alive", (double) detector.count(MemberStatus.ALIVE));
            all.put("peers_suspect", (double) detector.count(MemberStatus.SUSPECT));
            all.put("peers_gone", (double) detector.count(MemberStatus.GONE));
            all.put("peers_unknown", (double) detector.count(MemberStatus.UNKNOWN));
            all.put("peers_one_way", (double) detector.oneWay());
            all.put("suspicions", (double) detector.suspicions());
            all.put("suspicions_false", (double) detector.falseSuspicions());
            all.put("refutations", (double) detector.refutations());
            all.put("deaths", (double) detector.deaths());
            all.put("late_beats", (double) detector.lateTicks());
            all.put("doubt", (double) detector.doubt());
        }
        return all;
    }

    @Override
    public void start() throws IOException {
        synchronized (lock) {
            if (listener != null || closing) {
                throw new IllegalStateException("started already, or closed");
            }
            InetSocketAddress own = address(listenAddress);
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            try {
                listener.bind(new InetSocketAddress(InetAddress.getByName(own.getHostString()), own.getPort()), 128);
            } catch (IOException e) {
                listener.close();
                throw new IOException("cannot listen on " + listenAddress + ": " + e.getMessage(), e);
            }
            if (own.getPort() == 0 && listenAddress.equals(me.address())) {
                String text = me.address().substring(0, me.address().lastIndexOf(':') + 1);
                me = new Member(me.name(), text + listener.getLocalPort(), me.zone());
            }
            thread("peer-accept", this::accept);
            thread("peer-beat", this::beat);
            thread("peer-watch", watcherCalls::run);
            for (Peer peer : peers.values()) {
                begin(peer);
            }
        }
        LOG.info("{} of fleet {} listens on {}, life {}", me.name(), fleet, me.address(), life);
    }

    /** These are the members from now on: links to others end, to new ones begin, those at a new address move. */
    public void update(List<Member> members) {
        Map<String, Member> wanted = new HashMap<>();
        for (Member member : members) {
            if (!member.name().equals(me.name()) && wanted.put(member.name(), checked(member)) != null) {
                throw new IllegalArgumentException("two members of the name " + member.name());
            }
        }
        synchronized (lock) {
            if (closing) {
                return;
            }
            for (Iterator<Peer> i = peers.values().iterator(); i.hasNext(); ) {
                Peer peer = i.next();
                Member now = wanted.get(peer.member.name());
                if (now == null || !now.address().equals(peer.member.address())) {
                    peer.removed = true;
                    detector.unlinked(peer.member.name());
                    end(peer, now == null ? "no member any more" : "has another address now");
                    i.remove();
                }
            }
            for (Member member : wanted.values()) {
                Peer old = peers.get(member.name());
                if (old == null) {
                    Peer peer = new Peer(member);
                    peers.put(member.name(), peer);
                    begin(peer);
                }
            }
            detector.update(wanted.keySet());
            after(List.of());
            lock.notifyAll();
        }
    }

    @Override
    public void close() {
        stop(true);
    }

    /** Ends as a killed process does: nobody is told. */
    void halt() {
        stop(false);
    }

    private void stop(boolean farewell) {
        List<PeerConnection> open = new ArrayList<>();
        List<Thread> running;
        synchronized (lock) {
            if (closing) {
                return;
            }
            if (farewell) {
                dispatch(detector.farewell(clock.nowMs()));
            }
            closing = true;
            watcherCalls.end();
            for (Peer peer : peers.values()) {
                PeerConnection connection = peer.connection;
                if (connection != null) {
                    open.add(connection);
                    connection.outbox.end();
                }
                give(peer);
                LockSupport.unpark(peer.keeper);
            }
            strangers.forEach(c -> c.close("this member ends"));
            if (listener != null) {
                try {
                    listener.close();
                } catch (IOException e) {
                    LOG.debug("listener", e);
                }
            }
            lock.notifyAll();
            running = new ArrayList<>(threads);
        }
        double until = clock.nowMs() + (farewell ? FAREWELL_MS : 0);
        for (PeerConnection connection : open) {
            synchronized (lock) {
                for (double left = until - clock.nowMs();
                        left >= 1 && !connection.closed;
                        left = until - clock.nowMs()) {
                    pause(left);
                }
            }
            connection.close("this member ends");
        }
        for (Thread thread : running) {
            thread.interrupt();
        }
        join(running);
    }

    private void join(List<Thread> running) {
        double until = clock.nowMs() + 2 * FAREWELL_MS;
        try {
            for (Thread thread : running) {
                if (thread != Thread.currentThread()) {
                    thread.join((long) Math.max(1, until - clock.nowMs()));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits on the lock; an interrupt is kept for later, so that what ends is ended. */
    private void pause(double ms) {
        try {
            lock.wait((long) Math.max(1, Math.ceil(ms)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void quietly(Socket socket) {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                LOG.debug("socket", e);
            }
        }
    }

    /** With the lock. */
    private Thread thread(String name, Runnable work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } finally {
                        synchronized (lock) {
                            threads.remove(Thread.currentThread());
                        }
                    }
                },
                me.name() + "-" + name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
        return thread;
    }

    /** With the lock: the peer's own thread, if links are started. */
    private void begin(Peer peer) {
        if (listener != null) {
            // The lower name dials first, so that dials seldom cross.
            double wait = me.name().compareTo(peer.member.name()) < 0 ? 0 : limits.dialMinMs();
            peer.dialMs = clock.nowMs() + wait * (1 + random.nextDouble());
            peer.keeper = thread("peer-to-" + peer.member.name(), () -> keep(peer));
        }
    }

    /** With the lock. */
    private void end(Peer peer, String why) {
        if (peer.connection != null) {
            peer.connection.close(why);
            peer.connection = null;
        }
        give(peer);
        LockSupport.unpark(peer.keeper);
        lock.notifyAll();
    }

    /** With the lock: a dial that is under way ends. */
    private static void give(Peer peer) {
        quietly(peer.dialling);
        if (peer.meeting != null) {
            peer.meeting.close("no dial any more");
        }
    }

    // The listener.

    private void accept() {
        AcceptBackoff backoff = new AcceptBackoff();
        boolean failing = false;
        while (!closing) {
            try {
                Socket socket = listener.accept();
                backoff.accepted();
                failing = false;
                if (!admitted(socket)) {
                    quietly(socket);
                }
            } catch (IOException e) {
                if (!closing) {
                    figures.count("accept_failed");
                    if (!failing) {
                        failing = true;
                        LOG.warn("accept: {}", e.getMessage());
                    }
                    long pauseMs = backoff.pauseMs(e);
                    if (pauseMs > 0) {
                        synchronized (lock) {
                            // Guards against a busy loop where no socket can be had.
                            pause(pauseMs);
                        }
                    }
                }
            }
        }
    }

    private boolean admitted(Socket socket) {
        synchronized (lock) {
            if (closing) {
                return false;
            }
            if (strangers.size() >= limits.strangers()) {
                // The oldest makes room for those that come next, so that nobody holds the door for long.
                figures.count("strangers_refused");
                strangers.iterator().next().close("too many strangers");
                return false;
            }
            PeerConnection connection;
            try {
                connection = new PeerConnection(socket, false, limits, clock, figures);
            } catch (IOException e) {
                LOG.debug("gone before it was taken: {}", e.getMessage());
                return false;
            }
            strangers.add(connection);
            thread("peer-from-" + socket.getPort(), () -> answer(connection));
            return true;
        }
    }

    private void answer(PeerConnection connection) {
        boolean linked = false;
        try {
            linked = welcomed(connection);
        } catch (WireException e) {
            refused(connection, HandshakeRejection.UNREADABLE, e.getMessage());
        } catch (IOException e) {
            figures.count("handshakes_broken");
            LOG.debug("handshake from {}: {}", connection.socket, e.getMessage());
        } finally {
            synchronized (lock) {
                strangers.remove(connection);
            }
            if (!linked) {
                connection.close("no link");
            }
        }
        if (linked) {
            read(connection);
        }
    }

    private boolean welcomed(PeerConnection connection) throws IOException {
        Handshake.Part part = Handshake.read(connection.in);
        if (part instanceof Handshake.Foreign foreign) {
            return refuse(
                    connection,
                    HandshakeRejection.VERSION,
                    0,
                    "speaks " + foreign.lowest() + " to " + foreign.highest() + ", we " + Handshake.LOWEST + " to "
                            + Handshake.HIGHEST);
        }
        if (!(part instanceof Handshake.Hello hello) || hello.welcome()) {
            throw new WireException("no hello");
        }
        connection.hello = hello;
        connection.peer = hello.from();
        HandshakeRejection fault = fault(connection, hello);
        if (fault != null) {
            return refuse(connection, fault, detector(hello.from()), described(hello));
        }
        connection.toldLife = life;
        connection.say(new Handshake.Hello(
                true, fleet, me.name(), hello.from(), me.address(), connection.toldLife, instance, 0));
        Handshake.Part last = Handshake.read(connection.in);
        if (last instanceof Handshake.Refuse refuse) {
            refusedBy(hello.from(), refuse);
            return false;
        }
        if (!(last instanceof Handshake.Ready)) {
            throw new WireException("neither ready nor refused");
        }
        return attach(connection);
    }

    private long detector(String name) {
        synchronized (lock) {
            return detector.lifeOf(name);
        }
    }

    /** What is wrong with a hello or a welcome; null if nothing is. Waits where two processes may have one name. */
    private HandshakeRejection fault(PeerConnection connection, Handshake.Hello hello) {
        if (!hello.fleet().equals(fleet)) {
            return HandshakeRejection.ANOTHER_FLEET;
        }
        if (!hello.to().equals(me.name())) {
            return HandshakeRejection.NOT_THE_ONE;
        }
        if (hello.from().equals(me.name())) {
            return hello.instance() == instance ? HandshakeRejection.NOT_THE_ONE : HandshakeRejection.DUPLICATE;
        }
        synchronized (lock) {
            Peer peer = peers.get(hello.from());
            if (closing) {
                return HandshakeRejection.CLOSING;
            }
            if (peer == null) {
                return HandshakeRejection.UNKNOWN_MEMBER;
            }
            long known = detector.lifeOf(hello.from());
            if (hello.life() < known) {
                return HandshakeRejection.OLD_LIFE;
            }
            if (hello.life() == known && hello.instance() != detector.instanceOf(hello.from())) {
                detector.conflict(clock.nowMs(), hello.from(), hello.life(), hello.instance());
                after(List.of());
                return HandshakeRejection.DUPLICATE;
            }
            if (peer.connection != null && hello.life() > known && oldLives(peer, hello)) {
                detector.conflict(clock.nowMs(), hello.from(), hello.life(), hello.instance());
                after(List.of());
                return HandshakeRejection.DUPLICATE;
            }
            if (!connection.dialled && hello.life() == known) {
                if (hello.instance() == peer.lastDialInstance && hello.dial() <= peer.lastDialSeen) {
                    return HandshakeRejection.LINKED;
                }
                PeerConnection has = peer.connection;
                if (has != null && !replaces(connection, has)) {
                    return HandshakeRejection.LINKED;
                }
            }
            return null;
        }
    }

    /**
     * With the lock: a later life has come while the earlier one is linked. Restarted, or two at once? Only what the
     * earlier one sends after this moment tells.
     */
    private boolean oldLives(Peer peer, Handshake.Hello hello) {
        PeerConnection old = peer.connection;
        double asked = clock.nowMs();
        double until = asked + Math.min(limits.suspectMs(), limits.handshakeMs() * 0.75);
        while (!closing && !old.closed && peer.connection == old) {
            if (detector.directMs(hello.from()) > asked) {
                return true;
            }
            double left = until - clock.nowMs();
            if (left <= 0) {
                return false;
            }
            pause(Math.min(left, limits.beatMs() / 2));
            if (Thread.currentThread().isInterrupted()) {
                return false;
            }
        }
        return false;
    }

    /** With the lock: whether a new connection with the same process takes the place of the one that is there. */
    private boolean replaces(PeerConnection fresh, PeerConnection has) {
        if (has.closed || fresh.dialled == has.dialled) {
            return true;
        }
        boolean lower = me.name().compareTo(fresh.peer) < 0;
        boolean stays = has.dialled == lower;
        // Who dials has no link any more, if nothing comes over the one we think there is.
        return !stays || clock.nowMs() - has.lastReadMs > FailureDetector.ASK_BEATS * limits.beatMs();
    }

    private boolean attach(PeerConnection connection) throws IOException {
        Handshake.Hello hello = connection.hello;
        double now = clock.nowMs();
        synchronized (lock) {
            Peer peer = peers.get(hello.from());
            if (closing
                    || peer == null
                    || connection.toldLife != life
                    || hello.life() < detector.lifeOf(hello.from())) {
                return false;
            }
            PeerConnection has = peer.connection;
            if (has != null && hello.life() == has.hello.life() && !replaces(connection, has)) {
                return false;
            }
            if (has != null) {
                has.close("another connection takes its place");
            }
            if (!connection.dialled) {
                peer.lastDialSeen = hello.dial();
                peer.lastDialInstance = hello.instance();
                quietly(peer.dialling);
            }
            if (!hello.address().equals(peer.member.address())
                    && !hello.address().equals(peer.toldAddress)) {
                figures.count("address_differs");
                LOG.warn(
                        "{} is listed at {} and says it listens on {}",
                        hello.from(),
                        peer.member.address(),
                        hello.address());
            }
            peer.toldAddress = hello.address();
            peer.lastRefusal = null;
            peer.refused = null;
            peer.unknownThere = 0;
            connection.settle(limits.goneMs());
            connection.linkedMs = now;
            peer.connection = connection;
            linkedInThisLife = true;
            figures.count("links_made");
            after(detector.linked(now, connection.begunMs, hello.from(), hello.life(), hello.instance()));
            LockSupport.unpark(peer.keeper);
            lock.notifyAll();
        }
        LOG.info(
                "linked with {} at {}, life {}, {}",
                hello.from(),
                hello.address(),
                hello.life(),
                connection.dialled ? "dialled" : "accepted");
        return true;
    }

    // Refusals.

    private boolean refuse(PeerConnection connection, HandshakeRejection why, long known, String text)
            throws IOException {
        refused(connection, why, text);
        String told =
                why == HandshakeRejection.OLD_LIFE ? "life " + known + " is known" : "by " + me.name() + " of " + fleet;
        connection.say(new Handshake.Refuse(why, known, told));
        return false;
    }

    private void refused(PeerConnection connection, HandshakeRejection why, String text) {
        figures.count("refused_" + why.name().toLowerCase(Locale.ROOT));
        boolean loud;
        synchronized (lock) {
            double now = clock.nowMs();
            Peer peer = peers.get(connection.peer);
            if (peer != null) {
                loud = why.lasting() && (peer.refused != why || now - peer.refusedMs > LOG_AGAIN_MS);
                if (loud) {
                    peer.refused = why;
                    peer.refusedMs = now;
                    raise(connection.peer, why, text);
                }
            } else {
                // Guards against a stranger that fills the log: each reason once a second.
                loud = why.lasting() && now - logged.getOrDefault(why, Double.NEGATIVE_INFINITY) > LOG_EACH_MS;
                if (loud) {
                    logged.put(why, now);
                    if (connection.peer.equals(me.name())) {
                        raise(me.name(), why, text);
                    }
                }
            }
        }
        if (loud || why == HandshakeRejection.UNREADABLE) {
            LOG.atLevel(loud ? Level.WARN : Level.DEBUG)
                    .log(
                            "refused {} from {}: {}: {}",
                            connection.peer,
                            connection.socket.getRemoteSocketAddress(),
                            why.text(),
                            text);
        }
    }

    private void refusedBy(String name, Handshake.Refuse refuse) {
        figures.count("refused_by_" + refuse.why().name().toLowerCase(Locale.ROOT));
        synchronized (lock) {
            Peer peer = peers.get(name);
            if (peer == null || !refuse.why().lasting()) {
                LOG.debug("{} refuses: {}: {}", name, refuse.why().text(), refuse.text());
                return;
            }
            if (refuse.why() == HandshakeRejection.OLD_LIFE && refuse.life() < life) {
                // That was said to the life before.
                return;
            }
            if ((refuse.why() == HandshakeRejection.OLD_LIFE || refuse.why() == HandshakeRejection.DUPLICATE)
                    && !linkedInThisLife
                    && renew(refuse.life())) {
                return;
            }
            if (refuse.why() == HandshakeRejection.UNKNOWN_MEMBER && ++peer.unknownThere < UNKNOWN_TIMES) {
                // Guards against an alarm at each join: of two lists one is always the first to change.
                return;
            }
            // Dialling again soon is of no use.
            peer.failures = Math.max(peer.failures, 16);
            if (peer.lastRefusal != refuse.why()) {
                peer.lastRefusal = refuse.why();
                LOG.warn(
                        "{} at {} refuses this member: {}: {}",
                        name,
                        peer.member.address(),
                        refuse.why().text(),
                        refuse.text());
                boolean own =
                        refuse.why() == HandshakeRejection.DUPLICATE || refuse.why() == HandshakeRejection.OLD_LIFE;
                raise(own ? me.name() : name, refuse.why(), refuse.text());
            }
        }
    }

    /**
     * With the lock: peers know this member by a life that is not earlier than its own, as after a step back of the
     * time of day that lives begin with. It refutes by a later one, as members of SWIM do by a greater incarnation:
     * all links begin again. Where a process of that life still lives, the peer that is linked with it finds both.
     *
     * @return whether another life was taken
     */
    private boolean renew(long known) {
        if (known < life || known == Long.MAX_VALUE || renewals >= MOST_RENEWALS) {
            return false;
        }
        long before = life;
        renewals++;
        life = known + 1;
        linkedInThisLife = false;
        detector.renew(life);
        figures.count("lives_renewed");
        LOG.warn("{} began life {}, and peers know {}: takes {}", me.name(), before, known, life);
        for (Peer peer : peers.values()) {
            if (peer.connection != null) {
                peer.connection.close("this member has taken another life");
            }
            peer.failures = 0;
            peer.dialMs = 0;
            LockSupport.unpark(peer.keeper);
        }
        return true;
    }

    private String described(Handshake.Hello hello) {
        return hello.from() + " of fleet " + hello.fleet() + " at " + hello.address() + ", life " + hello.life()
                + ", for " + hello.to();
    }

    // A peer's own thread: dials, then writes.

    private void keep(Peer peer) {
        while (!closing && !peer.removed) {
            PeerConnection connection;
            double left;
            synchronized (lock) {
                connection = peer.connection;
                left = peer.dialMs - clock.nowMs();
            }
            if (connection != null) {
                write(peer, connection);
            } else if (left > 0) {
                // Not on the lock: what happens at other peers wakes nobody here.
                LockSupport.parkNanos(this, (long) Math.ceil(left * 1e6));
            } else {
                dial(peer);
            }
            if (Thread.interrupted() && closing) {
                return;
            }
        }
        synchronized (lock) {
            if (peer.connection != null) {
                peer.connection.close("no member any more");
            }
        }
    }

    private void write(Peer peer, PeerConnection connection) {
        try {
            connection.write();
        } catch (IOException e) {
            connection.close("write: " + e.getMessage());
        } catch (InterruptedException e) {
            connection.close("this member ends");
        }
        if (closing) {
            // The farewell is on its way; who reads closes.
            return;
        }
        connection.close("ended");
        detach(connection);
        synchronized (lock) {
            if (peer.connection == connection) {
                peer.connection = null;
            }
        }
    }

    private void dial(Peer peer) {
        Handshake.Hello hello;
        Socket socket = new Socket();
        String target;
        synchronized (lock) {
            if (closing || peer.removed || peer.connection != null) {
                return;
            }
            peer.dialling = socket;
            peer.dialCount++;
            // The address a peer has told of itself is tried in turn with the one in the list.
            boolean told = peer.toldAddress != null && peer.dialCount % 2 == 0;
            target = told ? peer.toldAddress : peer.member.address();
            hello = new Handshake.Hello(
                    false, fleet, me.name(), peer.member.name(), me.address(), life, instance, ++dials);
        }
        boolean linked = false;
        PeerConnection connection = null;
        try {
            InetSocketAddress unresolved = address(target);
            socket.connect(
                    new InetSocketAddress(unresolved.getHostString(), unresolved.getPort()), limits.handshakeMs());
            connection = new PeerConnection(socket, true, limits, clock, figures);
            connection.peer = peer.member.name();
            connection.toldLife = hello.life();
            synchronized (lock) {
                if (peer.connection != null) {
                    return;
                }
                // From here on an accepted connection leaves this dial to its end.
                peer.dialling = null;
                peer.meeting = connection;
                if (closing || peer.removed) {
                    return;
                }
            }
            linked = introduced(peer, connection, hello);
            if (linked) {
                PeerConnection read = connection;
                synchronized (lock) {
                    thread("peer-from-" + peer.member.name(), () -> read(read));
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            figures.count("dials_failed");
            LOG.debug("dial {} at {}: {}", peer.member.name(), target, e.getMessage());
        } finally {
            synchronized (lock) {
                peer.dialling = null;
                peer.meeting = null;
                if (!linked) {
                    quietly(socket);
                    if (connection != null) {
                        connection.close("no link");
                    }
                    backOff(peer);
                }
            }
        }
    }

    private boolean introduced(Peer peer, PeerConnection connection, Handshake.Hello hello) throws IOException {
        connection.say(hello);
        Handshake.Part part = Handshake.read(connection.in);
        String name = peer.member.name();
        if (part instanceof Handshake.Refuse refuse) {
            refusedBy(name, refuse);
            return false;
        }
        if (part instanceof Handshake.Foreign) {
            refusedBy(name, new Handshake.Refuse(HandshakeRejection.VERSION, 0, "answers in another version"));
            return false;
        }
        if (!(part instanceof Handshake.Hello welcome) || !welcome.welcome()) {
            throw new WireException("no welcome");
        }
        connection.hello = welcome;
        HandshakeRejection fault =
                welcome.from().equals(name) ? fault(connection, welcome) : HandshakeRejection.NOT_THE_ONE;
        if (fault != null) {
            synchronized (lock) {
                peer.failures = Math.max(peer.failures, fault.lasting() ? 16 : 0);
            }
            return refuse(connection, fault, detector(name), described(welcome));
        }
        connection.say(new Handshake.Ready());
        return attach(connection);
    }

    /** With the lock: exponential back-off with full jitter. */
    private void backOff(Peer peer) {
        peer.failures = Math.min(peer.failures + 1, 16);
        double most = Math.min(limits.dialMaxMs(), limits.dialMinMs() * Math.pow(2, peer.failures));
        peer.dialMs = clock.nowMs() + most * random.nextDouble();
    }

    // A connection's reader.

    private void read(PeerConnection connection) {
        String peer = connection.peer;
        try {
            while (!connection.closed) {
                FrameCodec.Frame frame = FrameCodec.read(connection.in, limits.frameBytes());
                figures.count("frames_in");
                if (frame.stream() == MessageStream.LIVENESS) {
                    liveness(connection, SwimMessage.of(frame.body()));
                } else {
                    deliver(connection, frame);
                }
            }
        } catch (WireException e) {
            figures.count("frames_unreadable");
            connection.close("unreadable: " + e.getMessage());
        } catch (IOException e) {
            connection.close("read: " + e.getMessage());
        } finally {
            connection.close("ended");
            detach(connection);
            LOG.info("no link with {} any more: {}", peer, connection.why);
        }
    }

    private void deliver(PeerConnection connection, FrameCodec.Frame frame) {
        Receiver receiver = receivers.get(frame.stream());
        if (receiver == null) {
            figures.count("frames_unwanted");
            return;
        }
        connection.receivingMs = clock.nowMs();
        try {
            receiver.took(connection.peer, connection.hello.life(), frame.body());
        } catch (RuntimeException e) {
            figures.count("receiver_failed");
            LOG.error("a receiver of {} failed over a message of {}", frame.stream(), connection.peer, e);
        } finally {
            connection.receivingMs = 0;
        }
    }

    private void liveness(PeerConnection connection, SwimMessage beat) {
        synchronized (lock) {
            Peer peer = peers.get(connection.peer);
            if (peer == null || peer.connection != connection) {
                // Guards against what still stood in a connection that was replaced.
                return;
            }
            Handshake.Hello hello = connection.hello;
            after(detector.took(clock.nowMs(), connection.peer, hello.life(), hello.instance(), beat));
        }
    }

    private void detach(PeerConnection connection) {
        synchronized (lock) {
            Peer peer = peers.get(connection.peer);
            if (peer != null && peer.connection == connection) {
                peer.connection = null;
                figures.count("links_lost");
                detector.unlinked(connection.peer);
                // A link that held for a while was a good one: the next dial is soon again.
                peer.failures = clock.nowMs() - connection.linkedMs > limits.goneMs() ? 0 : peer.failures + 1;
                backOff(peer);
            }
            lock.notifyAll();
        }
    }

    // Time.

    private void beat() {
        double due = clock.nowMs();
        double last = due;
        while (!closing) {
            double now = clock.nowMs();
            synchronized (lock) {
                if (now < due) {
                    pause(due - now);
                    continue;
                }
                due = Math.max(due + limits.beatMs(), now);
                boolean late = now - last > 2 * limits.beatMs();
                for (Peer peer : peers.values()) {
                    PeerConnection connection = peer.connection;
                    if (connection != null) {
                        look(connection, now, now - last, late);
                    }
                }
                last = now;
                after(detector.tick(now));
            }
        }
    }

    /** With the lock: closes a connection that has stood still for too long. */
    private void look(PeerConnection connection, double now, double passed, boolean late) {
        double receiving = connection.receivingMs;
        if (receiving > 0 && now - receiving > limits.beatMs()) {
            figures.count("receiver_slow_beats");
            detector.excuse(now, connection.peer, passed);
        }
        double writing = connection.writingMs;
        if (writing > 0 && late) {
            // This member stood still itself; the other side may have taken all by now.
            connection.writingMs = now;
        } else if (writing > 0 && now - writing > limits.goneMs()) {
            figures.count("writes_stalled");
            connection.close("takes nothing");
        } else if (detector.deafMs(connection.peer) > limits.goneMs()) {
            figures.count("one_way_closed");
            connection.close("does not hear us");
        }
    }

    // What the detector wants, and events. All with the lock.

    private void after(List<FailureDetector.Out> out) {
        dispatch(out);
        long past = detector.pastLife();
        if (past != Long.MIN_VALUE) {
            renew(past);
        }
        for (FailureDetector.Change change : detector.changes()) {
            // Not here but on the watchers' thread: a log that blocks holds no lock.
            watcherCalls.add(
                    change.peer(),
                    () -> LOG.info(
                            "{} holds {} for {}, life {}", me.name(), change.peer(), change.standing(), change.life()));
            for (Watcher watcher : watchers) {
                watcherCalls.add(change.peer(), () -> watcher.changed(change.peer(), change.standing(), change.life()));
            }
        }
        for (FailureDetector.Conflict c : detector.conflicts()) {
            figures.count("conflicts");
            raise(
                    c.name(),
                    HandshakeRejection.DUPLICATE,
                    "lives " + c.life() + " and " + c.otherLife() + ", processes " + Long.toHexString(c.instance())
                            + " and " + Long.toHexString(c.otherInstance()));
        }
    }

    private void dispatch(List<FailureDetector.Out> out) {
        for (FailureDetector.Out beat : out) {
            Peer peer = peers.get(beat.to());
            PeerConnection connection = peer == null ? null : peer.connection;
            if (connection != null
                    && !connection.outbox.offer(
                            MessageStream.LIVENESS, beat.beat().bytes())) {
                figures.count("beats_unsent");
            }
        }
    }

    private void raise(String name, HandshakeRejection why, String text) {
        watcherCalls.add(
                name,
                () -> LOG.error(
                        "{}: {}: {}", name.equals(me.name()) ? "this member, " + name : name, why.text(), text));
        for (Alarm alarm : alarms) {
            watcherCalls.add(name, () -> alarm.raised(name, why, text));
        }
    }

    /** Names of those that have a link now. */
    public Collection<String> links() {
        List<String> names = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.connection != null) {
                names.add(peer.member.name());
            }
        }
        return names;
    }
}

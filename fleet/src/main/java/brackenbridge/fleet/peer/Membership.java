package brackenbridge.fleet.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects the {@link FailureDetector} with the links: sends its messages, passes its status changes to watchers and
 * its conflicts to alarms, and takes a later life for this member when peers know one. All methods but {@link #watch}
 * and {@link #alarm} are called with the lock of {@link LinkContext}.
 */
final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    /** Bounds how often two processes of one name, of which neither is known to live, can outdo each other. */
    private static final int MAX_RENEWALS = 8;

    private final LinkContext context;
    private final ConnectionRegistry registry;
    private final FailureDetector detector;
    private final WatcherQueue watcherCalls;
    private final List<PeerLinks.Watcher> watchers = new ArrayList<>();
    private final List<TcpPeerLinks.FaultListener> faultListeners = new ArrayList<>();
    private boolean connectedInThisIncarnation;
    private int renewals;

    Membership(LinkContext context, ConnectionRegistry registry) {
        this.context = context;
        this.registry = registry;
        watcherCalls = new WatcherQueue(context.metrics);
        detector = new FailureDetector(
                context.self().name(), context.incarnation(), context.instance, context.limits, context.instance);
    }

    FailureDetector detector() {
        return detector;
    }

    void addWatcher(PeerLinks.Watcher watcher) {
        watchers.add(watcher);
    }

    void addFaultListener(TcpPeerLinks.FaultListener alarm) {
        faultListeners.add(alarm);
    }

    /** Starts the thread that calls watchers and alarms. */
    void start() {
        context.startThread("peer-watch", watcherCalls::run);
    }

    /** No call is added any more; the thread ends after those that wait. */
    void close() {
        watcherCalls.end();
    }

    /** A connection with a peer was established under the present life. */
    void onConnected(PeerConnection connection, double nowMs) {
        Handshake.Hello hello = connection.remoteHello;
        connectedInThisIncarnation = true;
        process(detector.onConnected(
                nowMs, connection.openedAtMs, hello.from(), hello.incarnation(), hello.instance()));
    }

    /** Whether any connection was established under the present life. */
    boolean connectedInThisIncarnation() {
        return connectedInThisIncarnation;
    }

    /** Reports another live process of this name to the detector. */
    void onConflict(Handshake.Hello hello) {
        detector.onConflict(context.clock.nowMs(), hello.from(), hello.incarnation(), hello.instance());
        process(List.of());
    }

    /** Sends the detector's messages and handles the events it has collected. */
    void process(List<FailureDetector.OutgoingMessage> messages) {
        registry.send(messages);
        long past = detector.endedIncarnation();
        if (past != Long.MIN_VALUE) {
            renewIncarnation(past);
        }
        for (FailureDetector.Change change : detector.drainChanges()) {
            publish(change);
        }
        for (FailureDetector.Conflict conflict : detector.drainConflicts()) {
            context.metrics.count("conflicts");
            raiseFault(
                    conflict.name(),
                    HandshakeRejection.DUPLICATE_NAME,
                    "lives " + conflict.incarnation() + " and " + conflict.otherIncarnation() + ", processes "
                            + Long.toHexString(conflict.instance())
                            + " and " + Long.toHexString(conflict.otherInstance()));
        }
    }

    private void publish(FailureDetector.Change change) {
        // On the watchers' thread, so that a log that blocks holds no lock.
        watcherCalls.add(
                change.peer(),
                () -> LOG.info(
                        "{}: status of {} is {}, life {}",
                        context.self().name(),
                        change.peer(),
                        change.status(),
                        change.incarnation()));
        for (PeerLinks.Watcher watcher : watchers) {
            watcherCalls.add(
                    change.peer(), () -> watcher.onStatus(change.peer(), change.status(), change.incarnation()));
        }
    }

    /** Logs a fault that operators must see to and passes it to the alarms. */
    void raiseFault(String name, HandshakeRejection reason, String text) {
        String self = context.self().name();
        watcherCalls.add(
                name,
                () -> LOG.error("{}: {}: {}", name.equals(self) ? "this member, " + name : name, reason.text(), text));
        for (TcpPeerLinks.FaultListener alarm : faultListeners) {
            watcherCalls.add(name, () -> alarm.onFault(name, reason, text));
        }
    }

    /**
     * Peers know this member by a life that is not earlier than its own, as after a step back of the time of day from
     * which lives are taken. It takes a later one, as a member of SWIM refutes by a greater incarnation (Das, Gupta and
     * Motivala, DSN 2002, section 4.2), and connects again. Where a process of the known life still runs, the peer that
     * is connected with it finds both.
     *
     * @return whether another life was taken
     */
    boolean renewIncarnation(long known) {
        long before = context.incarnation();
        if (known < before || known == Long.MAX_VALUE || renewals >= MAX_RENEWALS) {
            return false;
        }
        renewals++;
        context.setIncarnation(known + 1);
        connectedInThisIncarnation = false;
        detector.beginIncarnation(known + 1);
        context.metrics.count("lives_renewed");
        LOG.warn("{} began life {}, and peers know {}: takes {}", context.self().name(), before, known, known + 1);
        registry.reconnectAll("this member has taken another life");
        return true;
    }

    /** Adds the detector's gauges and counters to these metrics. */
    void addMetrics(Map<String, Double> all) {
        all.put("peers_alive", (double) detector.count(MemberStatus.ALIVE));
        all.put("peers_suspect", (double) detector.count(MemberStatus.SUSPECT));
        all.put("peers_gone", (double) detector.count(MemberStatus.DEAD));
        all.put("peers_unknown", (double) detector.count(MemberStatus.UNKNOWN));
        all.put("peers_one_way", (double) detector.countOneWay());
        all.put("suspicions", (double) detector.suspicions());
        all.put("suspicions_false", (double) detector.falseSuspicions());
        all.put("refutations", (double) detector.refutations());
        all.put("deaths", (double) detector.deaths());
        all.put("late_beats", (double) detector.pauses());
        all.put("doubt", (double) detector.localHealthScore());
    }
}

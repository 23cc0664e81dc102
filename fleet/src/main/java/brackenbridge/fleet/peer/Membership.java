package brackenbridge.fleet.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects the {@link FailureDetector} to the links: sends its messages, passes status changes to watchers and
 * conflicts to fault listeners, and takes a later incarnation for this member if its peers know one. All methods except
 * {@link #addWatcher} and {@link #addFaultListener} are called with the lock of {@link LinkContext}.
 */
final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    /** Bounds how often two processes of one name, neither known to be running, can raise their incarnation in turn. */
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

    void addFaultListener(TcpPeerLinks.FaultListener listener) {
        faultListeners.add(listener);
    }

    /** Starts the thread that calls watchers and alarms. */
    void start() {
        context.startThread("peer-watch", watcherCalls::run);
    }

    /** Stops accepting calls; the thread terminates after the queued ones. */
    void close() {
        watcherCalls.end();
    }

    /** A connection to a peer was established in the present incarnation. */
    void onConnected(PeerConnection connection, double nowMs) {
        Handshake.Hello hello = connection.remoteHello;
        connectedInThisIncarnation = true;
        process(detector.onConnected(
                nowMs, connection.openedAtMs, hello.from(), hello.incarnation(), hello.instance()));
    }

    /** Whether any connection was established in the present incarnation. */
    boolean connectedInThisIncarnation() {
        return connectedInThisIncarnation;
    }

    /** Reports another running process of the sender's name to the detector. */
    void onConflict(Handshake.Hello hello) {
        detector.onConflict(context.clock.nowMs(), hello.from(), hello.incarnation(), hello.instance());
        process(List.of());
    }

    /** Sends the detector's messages and handles its pending events. */
    void process(List<FailureDetector.OutgoingMessage> messages) {
        registry.send(messages);
        long endedIncarnation = detector.endedIncarnation();
        if (endedIncarnation != Long.MIN_VALUE) {
            renewIncarnation(endedIncarnation);
        }
        for (FailureDetector.Change change : detector.drainChanges()) {
            publish(change);
        }
        for (FailureDetector.Conflict conflict : detector.drainConflicts()) {
            context.metrics.count("conflicts");
            raiseFault(
                    conflict.name(),
                    HandshakeRejection.DUPLICATE_NAME,
                    "incarnations " + conflict.incarnation() + " and " + conflict.otherIncarnation() + ", processes "
                            + Long.toHexString(conflict.instance())
                            + " and " + Long.toHexString(conflict.otherInstance()));
        }
    }

    private void publish(FailureDetector.Change change) {
        // Logged on the watchers' thread, so that a blocking log appender does not hold the lock.
        watcherCalls.add(
                change.peer(),
                () -> LOG.info(
                        "{}: status of {} is {}, incarnation {}",
                        context.self().name(),
                        change.peer(),
                        change.status(),
                        change.incarnation()));
        for (PeerLinks.Watcher watcher : watchers) {
            watcherCalls.add(
                    change.peer(), () -> watcher.onStatus(change.peer(), change.status(), change.incarnation()));
        }
    }

    /** Logs a fault that needs an operator and passes it to the fault listeners. */
    void raiseFault(String name, HandshakeRejection reason, String text) {
        String self = context.self().name();
        watcherCalls.add(
                name,
                () -> LOG.error("{}: {}: {}", name.equals(self) ? "this member, " + name : name, reason.text(), text));
        for (TcpPeerLinks.FaultListener listener : faultListeners) {
            watcherCalls.add(name, () -> listener.onFault(name, reason, text));
        }
    }

    /**
     * Takes an incarnation later than the one known to peers, if that is not earlier than this member's own, and
     * reconnects. Incarnations derive from the time of day, so this happens after the clock stepped back. It
     * corresponds to a SWIM member that refutes by a greater incarnation number (Das, Gupta and Motivala, DSN 2002,
     * section 4.2). If a process of the known incarnation is still running, the peer connected to it detects both.
     *
     * @return whether another incarnation was taken
     */
    boolean renewIncarnation(long knownIncarnation) {
        long previousIncarnation = context.incarnation();
        if (knownIncarnation < previousIncarnation || knownIncarnation == Long.MAX_VALUE || renewals >= MAX_RENEWALS) {
            return false;
        }
        renewals++;
        context.setIncarnation(knownIncarnation + 1);
        connectedInThisIncarnation = false;
        detector.beginIncarnation(knownIncarnation + 1);
        context.metrics.count("lives_renewed");
        LOG.warn(
                "{} started with incarnation {}, but peers know {}: continues with {}",
                context.self().name(),
                previousIncarnation,
                knownIncarnation,
                knownIncarnation + 1);
        registry.reconnectAll("this member took another incarnation");
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

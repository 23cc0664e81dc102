package brackenbridge.fleet.peer;

/** Drives the failure detector once per heartbeat interval and closes stalled connections. */
final class HeartbeatTimer {
    /** A gap between two ticks of more intervals than this counts as a pause of this process. */
    private static final double LATE_INTERVALS = 2;

    private final LinkContext context;
    private final ConnectionRegistry registry;
    private final Membership membership;

    HeartbeatTimer(LinkContext context, ConnectionRegistry registry, Membership membership) {
        this.context = context;
        this.registry = registry;
        this.membership = membership;
    }

    /** Starts the timer's thread. The caller holds the lock. */
    void start() {
        context.startThread("peer-beat", this::run);
    }

    private void run() {
        double dueMs = context.clock.nowMs();
        double lastTickMs = dueMs;
        while (!context.closing()) {
            double now = context.clock.nowMs();
            synchronized (context.lock) {
                if (now < dueMs) {
                    context.awaitChange(dueMs - now);
                    continue;
                }
                dueMs = Math.max(dueMs + context.limits.heartbeatMs(), now);
                checkConnections(now, now - lastTickMs);
                lastTickMs = now;
                membership.process(membership.detector().tick(now));
            }
        }
    }

    private void checkConnections(double now, double sinceLastTickMs) {
        boolean late = sinceLastTickMs > LATE_INTERVALS * context.limits.heartbeatMs();
        for (Peer peer : registry.peers()) {
            PeerConnection connection = peer.connection;
            if (connection != null) {
                check(connection, now, sinceLastTickMs, late);
            }
        }
    }

    private void check(PeerConnection connection, double now, double sinceLastTickMs, boolean late) {
        FailureDetector detector = membership.detector();
        double receiving = connection.receiveStartedAtMs;
        if (receiving > 0 && now - receiving > context.limits.heartbeatMs()) {
            context.metrics.count("receiver_slow_beats");
            detector.discountSilence(now, connection.peerName, sinceLastTickMs);
        }
        double writing = connection.writeStartedAtMs;
        if (writing > 0 && late) {
            // This process itself was paused; the other side may have read everything by now.
            connection.writeStartedAtMs = now;
        } else if (writing > 0 && now - writing > context.limits.deadAfterMs()) {
            context.metrics.count("writes_stalled");
            connection.close("write stalled");
        } else if (detector.unacknowledgedForMs(connection.peerName) > context.limits.deadAfterMs()) {
            context.metrics.count("one_way_closed");
            connection.close("peer does not receive our messages");
        }
    }
}

package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;

/** Decides whether a peer's hello or welcome is accepted. */
final class HandshakeValidator {
    /** Fraction of the handshake timeout that may be spent waiting for the earlier incarnation's next message. */
    private static final double PROBE_SHARE = 0.75;

    private final LinkContext context;
    private final Clock clock;
    private final ConnectionRegistry registry;
    private final Membership membership;

    HandshakeValidator(LinkContext context, ConnectionRegistry registry, Membership membership) {
        this.context = context;
        this.clock = context.clock;
        this.registry = registry;
        this.membership = membership;
    }

    /**
     * Why this hello or welcome is rejected; null if it is accepted. Blocks for a bounded time if two processes may run
     * under one name.
     */
    HandshakeRejection validate(PeerConnection connection, Handshake.Hello hello) {
        if (!hello.fleet().equals(context.fleet)) {
            return HandshakeRejection.FLEET_MISMATCH;
        }
        String self = context.self().name();
        if (!hello.to().equals(self)) {
            return HandshakeRejection.WRONG_MEMBER;
        }
        if (hello.from().equals(self)) {
            return hello.instance() == context.instance
                    ? HandshakeRejection.WRONG_MEMBER
                    : HandshakeRejection.DUPLICATE_NAME;
        }
        synchronized (context.lock) {
            Peer peer = registry.peer(hello.from());
            if (context.closing()) {
                return HandshakeRejection.SHUTTING_DOWN;
            }
            if (peer == null) {
                return HandshakeRejection.UNKNOWN_MEMBER;
            }
            // Read once: the lock is released while waiting for a message of the earlier incarnation.
            long knownIncarnation = membership.detector().incarnationOf(hello.from());
            HandshakeRejection rejection = validateIncarnation(peer, hello, knownIncarnation);
            return rejection != null ? rejection : validateDial(connection, peer, hello, knownIncarnation);
        }
    }

    private HandshakeRejection validateIncarnation(Peer peer, Handshake.Hello hello, long knownIncarnation) {
        FailureDetector detector = membership.detector();
        if (hello.incarnation() < knownIncarnation) {
            return HandshakeRejection.STALE_INCARNATION;
        }
        boolean sameIncarnationElsewhere =
                hello.incarnation() == knownIncarnation && hello.instance() != detector.instanceOf(hello.from());
        if (sameIncarnationElsewhere
                || peer.connection != null
                        && hello.incarnation() > knownIncarnation
                        && earlierIncarnationResponds(peer, hello)) {
            membership.onConflict(hello);
            return HandshakeRejection.DUPLICATE_NAME;
        }
        return null;
    }

    private HandshakeRejection validateDial(
            PeerConnection connection, Peer peer, Handshake.Hello hello, long knownIncarnation) {
        if (connection.outbound || hello.incarnation() != knownIncarnation) {
            return null;
        }
        if (hello.instance() == peer.lastInboundInstance && hello.dialNumber() <= peer.lastInboundDial) {
            return HandshakeRejection.ALREADY_CONNECTED;
        }
        PeerConnection current = peer.connection;
        return current != null && !registry.replaces(connection, current) ? HandshakeRejection.ALREADY_CONNECTED : null;
    }

    /**
     * Whether the earlier incarnation, which is still connected, is running beside the later one. Only a message that
     * the earlier one sends after this moment distinguishes a second process from a restart. The caller holds the lock.
     */
    private boolean earlierIncarnationResponds(Peer peer, Handshake.Hello hello) {
        PeerConnection earlier = peer.connection;
        double startedAtMs = clock.nowMs();
        double untilMs = startedAtMs
                + Math.min(context.limits.suspectAfterMs(), context.limits.handshakeTimeoutMs() * PROBE_SHARE);
        while (!context.closing() && !earlier.closed && peer.connection == earlier) {
            if (membership.detector().lastDirectMs(hello.from()) > startedAtMs) {
                return true;
            }
            double leftMs = untilMs - clock.nowMs();
            if (leftMs <= 0) {
                return false;
            }
            context.awaitChange(Math.min(leftMs, context.limits.heartbeatMs() / 2));
            if (Thread.currentThread().isInterrupted()) {
                return false;
            }
        }
        return false;
    }

    /** The latest known incarnation of this peer; {@link Long#MIN_VALUE} if none. */
    long knownIncarnation(String name) {
        synchronized (context.lock) {
            return membership.detector().incarnationOf(name);
        }
    }
}

package brackenbridge.fleet.peer;

import brackenbridge.clock.Clock;

/** Decides whether a peer's hello or welcome is accepted. */
final class HandshakeValidator {
    /** Part of the handshake's deadline that may be spent on waiting for the earlier life's next message. */
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
     * Why this hello or welcome is rejected; null if it is accepted. Blocks for a bounded time where two processes may
     * have one name.
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
            // Read once: the lock is released while an answer of the earlier life is awaited.
            long known = membership.detector().incarnationOf(hello.from());
            HandshakeRejection rejection = validateIncarnation(peer, hello, known);
            return rejection != null ? rejection : validateDial(connection, peer, hello, known);
        }
    }

    private HandshakeRejection validateIncarnation(Peer peer, Handshake.Hello hello, long known) {
        FailureDetector detector = membership.detector();
        if (hello.incarnation() < known) {
            return HandshakeRejection.STALE_INCARNATION;
        }
        boolean sameIncarnationElsewhere =
                hello.incarnation() == known && hello.instance() != detector.instanceOf(hello.from());
        if (sameIncarnationElsewhere
                || peer.connection != null && hello.incarnation() > known && earlierIncarnationResponds(peer, hello)) {
            membership.onConflict(hello);
            return HandshakeRejection.DUPLICATE_NAME;
        }
        return null;
    }

    private HandshakeRejection validateDial(PeerConnection connection, Peer peer, Handshake.Hello hello, long known) {
        if (connection.outbound || hello.incarnation() != known) {
            return null;
        }
        if (hello.instance() == peer.lastInboundInstance && hello.dialNumber() <= peer.lastInboundDial) {
            return HandshakeRejection.ALREADY_CONNECTED;
        }
        PeerConnection present = peer.connection;
        return present != null && !registry.replaces(connection, present) ? HandshakeRejection.ALREADY_CONNECTED : null;
    }

    /**
     * With the lock: a later life has come while the earlier one is connected. Only a message that the earlier one
     * sends after this moment tells a second process from a restart.
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
            double left = untilMs - clock.nowMs();
            if (left <= 0) {
                return false;
            }
            context.awaitChange(Math.min(left, context.limits.heartbeatMs() / 2));
            if (Thread.currentThread().isInterrupted()) {
                return false;
            }
        }
        return false;
    }

    /** The latest life known of this peer; {@link Long#MIN_VALUE} if none. */
    long knownIncarnation(String name) {
        synchronized (context.lock) {
            return membership.detector().incarnationOf(name);
        }
    }
}

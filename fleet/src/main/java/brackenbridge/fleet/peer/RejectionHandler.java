package brackenbridge.fleet.peer;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Sends, receives, counts and logs handshake rejections; permanent ones are reported to fault listeners. */
final class RejectionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(RejectionHandler.class);
    /** Minimum time between two log lines about unknown members rejected for the same reason. */
    private static final double UNKNOWN_LOG_INTERVAL_MS = 1000;
    /** Minimum time between two log lines about one peer rejected for the same reason. */
    private static final double PEER_LOG_INTERVAL_MS = 600_000;
    /** Number of consecutive rejections as an unknown member before a fault is reported. */
    private static final int UNKNOWN_MEMBER_TOLERANCE = 6;

    private final LinkContext context;
    private final ConnectionRegistry registry;
    private final Membership membership;
    private final Map<HandshakeRejection, Double> unknownLoggedAtMs = new EnumMap<>(HandshakeRejection.class);

    RejectionHandler(LinkContext context, ConnectionRegistry registry, Membership membership) {
        this.context = context;
        this.registry = registry;
        this.membership = membership;
    }

    /** Rejects a hello or welcome and sends the peer the incarnation known of it. */
    void reject(PeerConnection connection, HandshakeRejection reason, long knownIncarnation, Handshake.Hello hello)
            throws IOException {
        String description = hello.from() + " of fleet " + hello.fleet() + " at " + hello.address() + ", incarnation "
                + hello.incarnation() + ", for " + hello.to();
        reject(connection, reason, knownIncarnation, description);
    }

    /** Rejects a handshake and sends the peer the reason. */
    void reject(PeerConnection connection, HandshakeRejection reason, long knownIncarnation, String description)
            throws IOException {
        onRejected(connection, reason, description);
        String text = reason == HandshakeRejection.STALE_INCARNATION
                ? "life " + knownIncarnation + " is known"
                : "by " + context.self().name() + " of " + context.fleet;
        connection.send(new Handshake.Reject(reason, knownIncarnation, text));
    }

    /** Counts and logs a handshake that this member rejects, and reports it if it is a fault. */
    void onRejected(PeerConnection connection, HandshakeRejection reason, String description) {
        context.metrics.count(reason.rejectedCounter());
        boolean logged;
        synchronized (context.lock) {
            // An unknown member may be configured by now: members update their lists at different times.
            Peer peer = reason == HandshakeRejection.UNKNOWN_MEMBER ? null : registry.peer(connection.peerName);
            logged = reason.isPermanent()
                    && (peer != null
                            ? reportPeer(peer, reason, description)
                            : reportUnknown(connection.peerName, reason, description));
        }
        if (logged || reason == HandshakeRejection.MALFORMED) {
            LOG.atLevel(logged ? Level.WARN : Level.DEBUG)
                    .log(
                            "rejected {} from {}: {}: {}",
                            connection.peerName,
                            connection.socket.getRemoteSocketAddress(),
                            reason.text(),
                            description);
        }
    }

    private boolean reportPeer(Peer peer, HandshakeRejection reason, String description) {
        double now = context.clock.nowMs();
        if (peer.lastLoggedRejection == reason && now - peer.lastLoggedRejectionAtMs <= PEER_LOG_INTERVAL_MS) {
            return false;
        }
        peer.lastLoggedRejection = reason;
        peer.lastLoggedRejectionAtMs = now;
        membership.raiseFault(peer.name(), reason, description);
        return true;
    }

    /** Guards against unknown members that fill the log: each reason is logged once per second. */
    private boolean reportUnknown(String name, HandshakeRejection reason, String description) {
        double now = context.clock.nowMs();
        double lastMs = unknownLoggedAtMs.getOrDefault(reason, Double.NEGATIVE_INFINITY);
        if (now - lastMs <= UNKNOWN_LOG_INTERVAL_MS) {
            return false;
        }
        unknownLoggedAtMs.put(reason, now);
        if (name.equals(context.self().name())) {
            membership.raiseFault(name, reason, description);
        }
        return true;
    }

    /** A peer has rejected this member. */
    void onRejectedBy(String name, Handshake.Reject reject) {
        HandshakeRejection reason = reject.reason();
        context.metrics.count(reason.rejectedByPeerCounter());
        synchronized (context.lock) {
            Peer peer = registry.peer(name);
            if (peer == null || !reason.isPermanent()) {
                LOG.debug("{} rejected this member: {}: {}", name, reason.text(), reject.text());
                return;
            }
            if (reason == HandshakeRejection.STALE_INCARNATION && reject.incarnation() < context.incarnation()) {
                // The rejection concerns the previous incarnation.
                return;
            }
            boolean ownIdentity =
                    reason == HandshakeRejection.DUPLICATE_NAME || reason == HandshakeRejection.STALE_INCARNATION;
            if (ownIdentity
                    && !membership.connectedInThisIncarnation()
                    && membership.renewIncarnation(reject.incarnation())) {
                return;
            }
            if (reason == HandshakeRejection.UNKNOWN_MEMBER
                    && ++peer.unknownMemberRejections < UNKNOWN_MEMBER_TOLERANCE) {
                // Guards against a fault at each join: members update their lists at different times.
                return;
            }
            // An early retry is useless.
            peer.dialFailures = Math.max(peer.dialFailures, Peer.MAX_DIAL_FAILURES);
            if (peer.lastRejectionByPeer != reason) {
                peer.lastRejectionByPeer = reason;
                LOG.warn(
                        "{} at {} rejected this member: {}: {}",
                        name,
                        peer.member.address(),
                        reason.text(),
                        reject.text());
                membership.raiseFault(ownIdentity ? context.self().name() : name, reason, reject.text());
            }
        }
    }
}

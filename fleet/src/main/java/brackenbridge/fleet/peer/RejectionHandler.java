package brackenbridge.fleet.peer;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Sends, receives, counts and logs rejections of handshakes; those that last raise an alarm. */
final class RejectionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(RejectionHandler.class);
    /** Least time between two log lines about strangers rejected for one reason. */
    private static final double STRANGER_LOG_INTERVAL_MS = 1000;
    /** Least time between two log lines about one peer rejected for one reason. */
    private static final double PEER_LOG_INTERVAL_MS = 600_000;
    /** How often in a row a peer may not know this member before an alarm is raised. */
    private static final int UNKNOWN_MEMBER_TOLERANCE = 6;

    private final LinkContext context;
    private final ConnectionRegistry registry;
    private final Membership membership;
    private final Map<HandshakeRejection, Double> strangerLoggedAtMs = new EnumMap<>(HandshakeRejection.class);

    RejectionHandler(LinkContext context, ConnectionRegistry registry, Membership membership) {
        this.context = context;
        this.registry = registry;
        this.membership = membership;
    }

    /** Rejects a hello or welcome that this member has read, and tells the peer which life is known of it. */
    void reject(PeerConnection connection, HandshakeRejection reason, long knownIncarnation, Handshake.Hello hello)
            throws IOException {
        String description = hello.from() + " of fleet " + hello.fleet() + " at " + hello.address() + ", life "
                + hello.incarnation() + ", for " + hello.to();
        reject(connection, reason, knownIncarnation, description);
    }

    /** Rejects a handshake and tells the peer why. */
    void reject(PeerConnection connection, HandshakeRejection reason, long knownIncarnation, String description)
            throws IOException {
        onRejected(connection, reason, description);
        String text = reason == HandshakeRejection.STALE_INCARNATION
                ? "life " + knownIncarnation + " is known"
                : "by " + context.self().name() + " of " + context.fleet;
        connection.send(new Handshake.Reject(reason, knownIncarnation, text));
    }

    /** Counts and logs a handshake that this member rejects. */
    void onRejected(PeerConnection connection, HandshakeRejection reason, String description) {
        context.metrics.count(reason.rejectedCounter());
        boolean logged;
        synchronized (context.lock) {
            // An unknown member may be configured by now: of two lists one is always the first to change.
            Peer peer = reason == HandshakeRejection.UNKNOWN_MEMBER ? null : registry.peer(connection.peerName);
            logged = reason.isPermanent()
                    && (peer != null
                            ? reportPeer(peer, reason, description)
                            : reportStranger(connection.peerName, reason, description));
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

    /** Guards against a stranger that fills the log: each reason is logged once a second. */
    private boolean reportStranger(String name, HandshakeRejection reason, String description) {
        double now = context.clock.nowMs();
        double lastMs = strangerLoggedAtMs.getOrDefault(reason, Double.NEGATIVE_INFINITY);
        if (now - lastMs <= STRANGER_LOG_INTERVAL_MS) {
            return false;
        }
        strangerLoggedAtMs.put(reason, now);
        if (name.equals(context.self().name())) {
            membership.raiseFault(name, reason, description);
        }
        return true;
    }

    /** A peer has rejected this member. */
    void onRejectedBy(String name, Handshake.Reject refuse) {
        HandshakeRejection reason = refuse.reason();
        context.metrics.count(reason.rejectedByPeerCounter());
        synchronized (context.lock) {
            Peer peer = registry.peer(name);
            if (peer == null || !reason.isPermanent()) {
                LOG.debug("{} rejects: {}: {}", name, reason.text(), refuse.text());
                return;
            }
            if (reason == HandshakeRejection.STALE_INCARNATION && refuse.incarnation() < context.incarnation()) {
                // The rejection was meant for the life before.
                return;
            }
            boolean ownIdentity =
                    reason == HandshakeRejection.DUPLICATE_NAME || reason == HandshakeRejection.STALE_INCARNATION;
            if (ownIdentity
                    && !membership.connectedInThisIncarnation()
                    && membership.renewIncarnation(refuse.incarnation())) {
                return;
            }
            if (reason == HandshakeRejection.UNKNOWN_MEMBER
                    && ++peer.unknownMemberRejections < UNKNOWN_MEMBER_TOLERANCE) {
                // Guards against an alarm at each join: of two lists one is always the first to change.
                return;
            }
            // Dialling again soon is of no use.
            peer.dialFailures = Math.max(peer.dialFailures, Peer.MAX_DIAL_FAILURES);
            if (peer.lastRejectionByPeer != reason) {
                peer.lastRejectionByPeer = reason;
                LOG.warn(
                        "{} at {} rejects this member: {}: {}",
                        name,
                        peer.member.address(),
                        reason.text(),
                        refuse.text());
                membership.raiseFault(ownIdentity ? context.self().name() : name, reason, refuse.text());
            }
        }
    }
}

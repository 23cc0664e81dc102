package brackenbridge.fleet.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * The configured peers and which connection each has. Each pair keeps one connection: of two that cross, the one that
 * the lower name has dialled stays. Reads need no lock, changes need that of {@link LinkContext}.
 */
final class ConnectionRegistry {
    private final LinkContext context;
    private final Map<String, Peer> peers = new ConcurrentHashMap<>();

    ConnectionRegistry(LinkContext context) {
        this.context = context;
    }

    /** The peer of this name; null if none is configured. */
    Peer peer(String name) {
        return peers.get(name);
    }

    /** All configured peers, as a live view that allows removal. */
    Collection<Peer> peers() {
        return peers.values();
    }

    void add(Peer peer) {
        peers.put(peer.name(), peer);
    }

    /** The peer's connection; null if it is not configured or has none. */
    PeerConnection connection(String name) {
        Peer peer = peers.get(name);
        return peer == null ? null : peer.connection;
    }

    /** Names of the peers that have a connection now. */
    List<String> connectedNames() {
        List<String> names = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.connection != null) {
                names.add(peer.name());
            }
        }
        return names;
    }

    /** With the lock: queues these messages for the peers that have a connection. */
    void send(List<FailureDetector.OutgoingMessage> messages) {
        for (FailureDetector.OutgoingMessage message : messages) {
            PeerConnection connection = connection(message.to());
            if (connection != null
                    && !connection.sendQueue.offer(
                            MessageStream.LIVENESS, message.message().encode())) {
                context.metrics.count("beats_unsent");
            }
        }
    }

    /** With the lock: closes every connection and dials again at once. */
    void reconnectAll(String reason) {
        for (Peer peer : peers.values()) {
            if (peer.connection != null) {
                peer.connection.close(reason);
            }
            peer.dialFailures = 0;
            peer.nextDialAtMs = 0;
            LockSupport.unpark(peer.dialerThread);
        }
    }

    /** With the lock: whether a new connection with the same process takes the place of the present one. */
    boolean replaces(PeerConnection fresh, PeerConnection present) {
        if (present.closed || fresh.outbound == present.outbound) {
            return true;
        }
        boolean lowerName = context.self().name().compareTo(fresh.peerName) < 0;
        boolean preferred = present.outbound == lowerName;
        double idleMs = context.clock.nowMs() - present.lastReadAtMs;
        // A peer that dials has lost its connection, if nothing is read from the one that stands here.
        return !preferred || idleMs > FailureDetector.PROBE_AFTER_INTERVALS * context.limits.heartbeatMs();
    }

    /** With the lock: sets the time of the next dial, by exponential backoff with full jitter. */
    void backOff(Peer peer) {
        peer.dialFailures = Math.min(peer.dialFailures + 1, Peer.MAX_DIAL_FAILURES);
        double ceilingMs = Math.min(
                context.limits.dialBackoffMaxMs(), context.limits.dialBackoffMinMs() * Math.pow(2, peer.dialFailures));
        peer.nextDialAtMs = context.clock.nowMs() + ceilingMs * context.random.nextDouble();
    }
}

package brackenbridge.fleet.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * The configured peers and their connections. Each pair of members keeps one connection: if both dial at the same time,
 * the connection dialed by the member with the lower name stays. Reads need no lock, changes need the lock of
 * {@link LinkContext}.
 */
final class ConnectionRegistry {
    private final LinkContext context;
    private final Map<String, Peer> peers = new ConcurrentHashMap<>();

    ConnectionRegistry(LinkContext context) {
        this.context = context;
    }

    /** The peer with this name; null if none is configured. */
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

    /** Names of the peers that are connected now. */
    List<String> connectedNames() {
        List<String> names = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.connection != null) {
                names.add(peer.name());
            }
        }
        return names;
    }

    /** Queues these messages for those peers that are connected. The caller holds the lock. */
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

    /** Closes every connection and dials again at once. The caller holds the lock. */
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

    /** Whether a new connection to the same process replaces the current one. The caller holds the lock. */
    boolean replaces(PeerConnection candidate, PeerConnection current) {
        if (current.closed || candidate.outbound == current.outbound) {
            return true;
        }
        boolean lowerName = context.self().name().compareTo(candidate.peerName) < 0;
        boolean preferred = current.outbound == lowerName;
        double idleMs = context.clock.nowMs() - current.lastReadAtMs;
        // A peer that dials although nothing arrives on the current connection has lost its end of it.
        return !preferred || idleMs > FailureDetector.PROBE_AFTER_INTERVALS * context.limits.heartbeatMs();
    }

    /** Sets the time of the next dial by exponential backoff with full jitter. The caller holds the lock. */
    void backOff(Peer peer) {
        peer.dialFailures = Math.min(peer.dialFailures + 1, Peer.MAX_DIAL_FAILURES);
        double ceilingMs = Math.min(
                context.limits.dialBackoffMaxMs(), context.limits.dialBackoffMinMs() * Math.pow(2, peer.dialFailures));
        peer.nextDialAtMs = context.clock.nowMs() + ceilingMs * context.random.nextDouble();
    }
}

package brackenbridge.fleet.peer;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles a connection once its handshake is complete: attaches it to its peer, reads its frames and delivers them to
 * the receivers, and detaches it when it closes. Receivers are called on the reading thread.
 */
final class ConnectionReader {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionReader.class);

    private final LinkContext context;
    private final ConnectionRegistry registry;
    private final Membership membership;
    private final Map<MessageStream, PeerLinks.Receiver> receivers = new EnumMap<>(MessageStream.class);

    ConnectionReader(LinkContext context, ConnectionRegistry registry, Membership membership) {
        this.context = context;
        this.registry = registry;
        this.membership = membership;
    }

    /** Sets the receiver of a stream. Must be called before the links are started. */
    void setReceiver(MessageStream stream, PeerLinks.Receiver receiver) {
        receivers.put(stream, receiver);
    }

    /**
     * Makes a connection whose handshake is complete the connection of its peer.
     *
     * @return false if the peer has a preferred connection, was removed or has a later incarnation
     */
    boolean attach(PeerConnection connection) throws IOException {
        Handshake.Hello hello = connection.remoteHello;
        double now = context.clock.nowMs();
        synchronized (context.lock) {
            Peer peer = registry.peer(hello.from());
            if (context.closing()
                    || peer == null
                    || connection.announcedIncarnation != context.incarnation()
                    || hello.incarnation() < membership.detector().incarnationOf(hello.from())) {
                return false;
            }
            PeerConnection current = peer.connection;
            if (current != null) {
                if (hello.incarnation() == current.remoteHello.incarnation()
                        && !registry.replaces(connection, current)) {
                    return false;
                }
                current.close("replaced by another connection");
            }
            if (!connection.outbound) {
                peer.lastInboundDial = hello.dialNumber();
                peer.lastInboundInstance = hello.instance();
                Peer.closeQuietly(peer.dialingSocket);
            }
            noteAnnouncedAddress(peer, hello.address());
            peer.lastRejectionByPeer = null;
            peer.lastLoggedRejection = null;
            peer.unknownMemberRejections = 0;
            connection.completeHandshake(context.limits.deadAfterMs());
            connection.establishedAtMs = now;
            peer.connection = connection;
            context.metrics.count("links_made");
            membership.onConnected(connection, now);
            LockSupport.unpark(peer.dialerThread);
            context.signalChange();
        }
        LOG.info(
                "connected to {} at {}, incarnation {}, {}",
                hello.from(),
                hello.address(),
                hello.incarnation(),
                connection.outbound ? "outbound" : "inbound");
        return true;
    }

    private void noteAnnouncedAddress(Peer peer, String address) {
        if (!address.equals(peer.member.address()) && !address.equals(peer.announcedAddress)) {
            context.metrics.count("address_differs");
            LOG.warn("{} is configured at {} but announces {}", peer.name(), peer.member.address(), address);
        }
        peer.announcedAddress = address;
    }

    /** Reads frames until the connection closes, then detaches it. */
    void read(PeerConnection connection) {
        try {
            while (!connection.closed) {
                FrameCodec.Frame frame = FrameCodec.read(connection.in, context.limits.maxFrameBytes());
                context.metrics.count("frames_in");
                if (frame.stream() == MessageStream.LIVENESS) {
                    onSwimMessage(connection, SwimMessage.decode(frame.body()));
                } else {
                    deliver(connection, frame);
                }
            }
        } catch (WireException e) {
            context.metrics.count("frames_unreadable");
            connection.close("malformed data: " + e.getMessage());
        } catch (IOException e) {
            connection.close("read failed: " + e.getMessage());
        } finally {
            connection.close("closed");
            detach(connection);
            LOG.info("connection to {} closed: {}", connection.peerName, connection.closeReason);
        }
    }

    private void deliver(PeerConnection connection, FrameCodec.Frame frame) {
        PeerLinks.Receiver receiver = receivers.get(frame.stream());
        if (receiver == null) {
            context.metrics.count("frames_unwanted");
            return;
        }
        connection.receiveStartedAtMs = context.clock.nowMs();
        try {
            receiver.onMessage(connection.peerName, connection.remoteHello.incarnation(), frame.body());
        } catch (RuntimeException e) {
            context.metrics.count("receiver_failed");
            LOG.error("the receiver of stream {} failed on a message from {}", frame.stream(), connection.peerName, e);
        } finally {
            connection.receiveStartedAtMs = 0;
        }
    }

    private void onSwimMessage(PeerConnection connection, SwimMessage message) {
        synchronized (context.lock) {
            if (registry.connection(connection.peerName) != connection) {
                // Guards against messages that were still buffered in a replaced connection.
                return;
            }
            Handshake.Hello hello = connection.remoteHello;
            membership.process(membership
                    .detector()
                    .onMessage(
                            context.clock.nowMs(),
                            connection.peerName,
                            hello.incarnation(),
                            hello.instance(),
                            message));
        }
    }

    /** Removes a closed connection from its peer, unless the peer has another one by now. */
    void detach(PeerConnection connection) {
        synchronized (context.lock) {
            Peer peer = registry.peer(connection.peerName);
            if (peer != null && peer.connection == connection) {
                peer.connection = null;
                context.metrics.count("links_lost");
                membership.detector().onDisconnected(connection.peerName);
                double durationMs = context.clock.nowMs() - connection.establishedAtMs;
                // A connection that lasted resets the dial backoff.
                peer.dialFailures = durationMs > context.limits.deadAfterMs() ? 0 : peer.dialFailures + 1;
                registry.backOff(peer);
            }
            context.signalChange();
        }
    }
}

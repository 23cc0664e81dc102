package brackenbridge.fleet.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Dials the peers. Each peer has one thread. While the peer is disconnected, the thread dials it with backoff; while it
 * is connected, by whichever side, the thread writes the queued messages.
 */
final class Dialer {
    private static final Logger LOG = LoggerFactory.getLogger(Dialer.class);

    private final LinkContext context;
    private final ConnectionRegistry registry;
    private final HandshakeValidator validator;
    private final RejectionHandler rejections;
    private final ConnectionReader reader;
    /** Numbers the dials of this process, so that a peer can ignore an outdated one; guarded by the lock. */
    private long dialNumber;

    Dialer(
            LinkContext context,
            ConnectionRegistry registry,
            HandshakeValidator validator,
            RejectionHandler rejections,
            ConnectionReader reader) {
        this.context = context;
        this.registry = registry;
        this.validator = validator;
        this.rejections = rejections;
        this.reader = reader;
    }

    /**
     * Starts the peer's thread. The member with the lower name dials first, so that simultaneous dials are rare. The
     * caller holds the lock.
     */
    void start(Peer peer) {
        double waitMs = context.self().name().compareTo(peer.name()) < 0 ? 0 : context.limits.dialBackoffMinMs();
        peer.nextDialAtMs = context.clock.nowMs() + waitMs * (1 + context.random.nextDouble());
        peer.dialerThread = context.startThread("peer-to-" + peer.name(), () -> keepConnected(peer));
    }

    private void keepConnected(Peer peer) {
        while (!context.closing() && !peer.removed) {
            PeerConnection connection;
            double leftMs;
            synchronized (context.lock) {
                connection = peer.connection;
                leftMs = peer.nextDialAtMs - context.clock.nowMs();
            }
            if (connection != null) {
                write(peer, connection);
            } else if (leftMs > 0) {
                // Parks rather than waits on the lock, so that changes of other peers do not wake this thread.
                LockSupport.parkNanos(this, (long) Math.ceil(leftMs * 1e6));
            } else {
                dial(peer);
            }
            if (Thread.interrupted() && context.closing()) {
                return;
            }
        }
        synchronized (context.lock) {
            if (peer.connection != null) {
                peer.connection.close("removed from the members");
            }
        }
    }

    private void write(Peer peer, PeerConnection connection) {
        try {
            connection.write();
        } catch (IOException e) {
            connection.close("write failed: " + e.getMessage());
        } catch (InterruptedException e) {
            connection.close("this member shuts down");
        }
        if (context.closing()) {
            // The leave message is in flight; the reader closes the connection.
            return;
        }
        connection.close("closed");
        reader.detach(connection);
        synchronized (context.lock) {
            if (peer.connection == connection) {
                peer.connection = null;
            }
        }
    }

    private void dial(Peer peer) {
        Handshake.Hello hello;
        Socket socket = new Socket();
        String target;
        synchronized (context.lock) {
            if (context.closing() || peer.removed || peer.connection != null) {
                return;
            }
            peer.dialingSocket = socket;
            peer.dialAttempts++;
            // Alternates between the configured address and the one that the peer announced.
            boolean announced = peer.announcedAddress != null && peer.dialAttempts % 2 == 0;
            target = announced ? peer.announcedAddress : peer.member.address();
            hello = newHello(peer);
        }
        PeerConnection connection = null;
        boolean attached = false;
        try {
            connection = connect(peer, socket, target, hello.incarnation());
            attached = beginHandshake(peer, connection) && exchangeHellos(peer, connection, hello);
            if (attached) {
                startReader(peer, connection);
            }
        } catch (IOException | IllegalArgumentException e) {
            context.metrics.count("dials_failed");
            LOG.debug("dialing {} at {} failed: {}", peer.name(), target, e.getMessage());
        } finally {
            endDial(peer, socket, connection, attached);
        }
    }

    private Handshake.Hello newHello(Peer peer) {
        Member self = context.self();
        return new Handshake.Hello(
                false,
                context.fleet,
                self.name(),
                peer.name(),
                self.address(),
                context.incarnation(),
                context.instance,
                ++dialNumber);
    }

    private PeerConnection connect(Peer peer, Socket socket, String target, long incarnation) throws IOException {
        InetSocketAddress address = PeerAddress.parse(target);
        socket.connect(
                new InetSocketAddress(address.getHostString(), address.getPort()), context.limits.handshakeTimeoutMs());
        PeerConnection connection = new PeerConnection(socket, true, context.limits, context.clock, context.metrics);
        connection.peerName = peer.name();
        connection.announcedIncarnation = incarnation;
        return connection;
    }

    /** From here on an accepted connection does not cancel this dial. Returns false if the dial is obsolete. */
    private boolean beginHandshake(Peer peer, PeerConnection connection) {
        synchronized (context.lock) {
            if (peer.connection != null) {
                return false;
            }
            peer.dialingSocket = null;
            peer.handshakingConnection = connection;
            return !context.closing() && !peer.removed;
        }
    }

    private boolean exchangeHellos(Peer peer, PeerConnection connection, Handshake.Hello hello) throws IOException {
        connection.send(hello);
        Handshake.Message message = Handshake.read(connection.in);
        String name = peer.name();
        if (message instanceof Handshake.Reject reject) {
            rejections.onRejectedBy(name, reject);
            return false;
        }
        if (message instanceof Handshake.IncompatibleVersion) {
            rejections.onRejectedBy(
                    name,
                    new Handshake.Reject(
                            HandshakeRejection.VERSION_MISMATCH, 0, "responded in an unsupported version"));
            return false;
        }
        if (!(message instanceof Handshake.Hello welcome) || !welcome.welcome()) {
            throw new WireException(
                    "expected a welcome, got " + message.getClass().getSimpleName());
        }
        connection.remoteHello = welcome;
        HandshakeRejection rejection =
                welcome.from().equals(name) ? validator.validate(connection, welcome) : HandshakeRejection.WRONG_MEMBER;
        if (rejection != null) {
            synchronized (context.lock) {
                peer.dialFailures = Math.max(peer.dialFailures, rejection.isPermanent() ? Peer.MAX_DIAL_FAILURES : 0);
            }
            rejections.reject(connection, rejection, validator.knownIncarnation(name), welcome);
            return false;
        }
        connection.send(new Handshake.Ready());
        return reader.attach(connection);
    }

    private void startReader(Peer peer, PeerConnection connection) {
        synchronized (context.lock) {
            context.startThread("peer-from-" + peer.name(), () -> reader.read(connection));
        }
    }

    private void endDial(Peer peer, Socket socket, PeerConnection connection, boolean attached) {
        synchronized (context.lock) {
            peer.dialingSocket = null;
            peer.handshakingConnection = null;
            if (!attached) {
                Peer.closeQuietly(socket);
                if (connection != null) {
                    connection.close("handshake failed");
                }
                registry.backOff(peer);
            }
        }
    }
}

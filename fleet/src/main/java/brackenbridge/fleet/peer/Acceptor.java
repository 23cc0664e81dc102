package brackenbridge.fleet.peer;

import brackenbridge.transport.AcceptBackoff;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections from peers and answers their handshakes. One thread accepts; each accepted connection has its own
 * thread, which answers the handshake and then reads frames.
 */
final class Acceptor {
    private static final Logger LOG = LoggerFactory.getLogger(Acceptor.class);
    private static final int LISTEN_BACKLOG = 128;

    private final LinkContext context;
    private final HandshakeValidator validator;
    private final RejectionHandler rejections;
    private final ConnectionReader reader;
    /** Accepted connections whose handshake is not complete, the oldest first; guarded by the lock. */
    private final Set<PeerConnection> pendingHandshakes = new LinkedHashSet<>();

    private ServerSocket listener;

    Acceptor(LinkContext context, HandshakeValidator validator, RejectionHandler rejections, ConnectionReader reader) {
        this.context = context;
        this.validator = validator;
        this.rejections = rejections;
        this.reader = reader;
    }

    /** Whether {@link #bind} was called. The caller holds the lock. */
    boolean bound() {
        return listener != null;
    }

    /**
     * Binds the listener. The caller holds the lock.
     *
     * @return the local port
     * @throws IOException if the address cannot be bound
     */
    int bind(String listenAddress) throws IOException {
        InetSocketAddress address = PeerAddress.parse(listenAddress);
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        try {
            InetAddress host = InetAddress.getByName(address.getHostString());
            listener.bind(new InetSocketAddress(host, address.getPort()), LISTEN_BACKLOG);
        } catch (IOException e) {
            listener.close();
            throw new IOException("cannot listen on " + listenAddress + ": " + e.getMessage(), e);
        }
        return listener.getLocalPort();
    }

    /** Starts the accepting thread. The caller holds the lock. */
    void start() {
        context.startThread("peer-accept", this::acceptAll);
    }

    /** Closes the listener and all connections whose handshake is not complete. The caller holds the lock. */
    void close() {
        pendingHandshakes.forEach(connection -> connection.close("this member shuts down"));
        if (listener != null) {
            try {
                listener.close();
            } catch (IOException e) {
                LOG.debug("closing the listener failed", e);
            }
        }
    }

    /** The number of accepted connections whose handshake is not complete. The caller holds the lock. */
    int pendingHandshakeCount() {
        return pendingHandshakes.size();
    }

    private void acceptAll() {
        AcceptBackoff backoff = new AcceptBackoff();
        boolean failing = false;
        while (!context.closing()) {
            try {
                Socket socket = listener.accept();
                backoff.onAccepted();
                failing = false;
                if (!admit(socket)) {
                    Peer.closeQuietly(socket);
                }
            } catch (IOException e) {
                if (!context.closing()) {
                    onAcceptFailed(e, failing, backoff);
                    failing = true;
                }
            }
        }
    }

    private void onAcceptFailed(IOException e, boolean failedBefore, AcceptBackoff backoff) {
        context.metrics.count("accept_failed");
        if (!failedBefore) {
            LOG.warn("accepting a connection failed: {}", e.getMessage());
        }
        long pauseMs = backoff.onAcceptFailed(e);
        if (pauseMs > 0) {
            synchronized (context.lock) {
                // Guards against a busy loop while no socket can be opened, as when descriptors are exhausted.
                context.awaitChange(pauseMs);
            }
        }
    }

    private boolean admit(Socket socket) {
        synchronized (context.lock) {
            if (context.closing()) {
                return false;
            }
            if (pendingHandshakes.size() >= context.limits.maxPendingHandshakes()) {
                // Closes the oldest as well, so that idle connections cannot occupy all places for long.
                context.metrics.count("strangers_refused");
                pendingHandshakes.iterator().next().close("too many pending handshakes");
                return false;
            }
            PeerConnection connection;
            try {
                connection = new PeerConnection(socket, false, context.limits, context.clock, context.metrics);
            } catch (IOException e) {
                LOG.debug("connection closed before its handshake: {}", e.getMessage());
                return false;
            }
            pendingHandshakes.add(connection);
            context.startThread("peer-from-" + socket.getPort(), () -> serve(connection));
            return true;
        }
    }

    private void serve(PeerConnection connection) {
        boolean attached = false;
        try {
            attached = answerHandshake(connection);
        } catch (WireException e) {
            rejections.onRejected(connection, HandshakeRejection.MALFORMED, e.getMessage());
        } catch (IOException e) {
            context.metrics.count("handshakes_broken");
            LOG.debug("handshake from {} failed: {}", connection.socket, e.getMessage());
        } finally {
            synchronized (context.lock) {
                pendingHandshakes.remove(connection);
            }
            if (!attached) {
                connection.close("handshake failed");
            }
        }
        if (attached) {
            reader.read(connection);
        }
    }

    private boolean answerHandshake(PeerConnection connection) throws IOException {
        Handshake.Message message = Handshake.read(connection.in);
        if (message instanceof Handshake.IncompatibleVersion incompatible) {
            String description = "supports versions " + incompatible.minVersion() + " to " + incompatible.maxVersion()
                    + ", this member " + Handshake.MIN_VERSION + " to " + Handshake.MAX_VERSION;
            rejections.reject(connection, HandshakeRejection.VERSION_MISMATCH, 0, description);
            return false;
        }
        if (!(message instanceof Handshake.Hello hello) || hello.welcome()) {
            throw new WireException(
                    "expected a hello, got " + message.getClass().getSimpleName());
        }
        connection.remoteHello = hello;
        connection.peerName = hello.from();
        HandshakeRejection rejection = validator.validate(connection, hello);
        if (rejection != null) {
            rejections.reject(connection, rejection, validator.knownIncarnation(hello.from()), hello);
            return false;
        }
        Member self = context.self();
        connection.announcedIncarnation = context.incarnation();
        connection.send(new Handshake.Hello(
                true,
                context.fleet,
                self.name(),
                hello.from(),
                self.address(),
                connection.announcedIncarnation,
                context.instance,
                0));
        Handshake.Message last = Handshake.read(connection.in);
        if (last instanceof Handshake.Reject reject) {
            rejections.onRejectedBy(hello.from(), reject);
            return false;
        }
        if (!(last instanceof Handshake.Ready)) {
            throw new WireException(
                    "expected ready or a rejection, got " + last.getClass().getSimpleName());
        }
        return reader.attach(connection);
    }
}

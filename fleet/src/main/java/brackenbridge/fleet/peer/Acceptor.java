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
 * Listens, and answers the handshakes of those that dial this member. One thread accepts; each accepted connection has
 * a thread that answers its handshake and then reads it.
 */
final class Acceptor {
    private static final Logger LOG = LoggerFactory.getLogger(Acceptor.class);
    private static final int LISTEN_BACKLOG = 128;

    private final LinkContext context;
    private final HandshakeValidator validator;
    private final RejectionHandler rejections;
    private final ConnectionReader reader;
    /** Accepted connections whose handshake is not done, the oldest first; guarded by the lock. */
    private final Set<PeerConnection> strangers = new LinkedHashSet<>();

    private ServerSocket listener;

    Acceptor(LinkContext context, HandshakeValidator validator, RejectionHandler rejections, ConnectionReader reader) {
        this.context = context;
        this.validator = validator;
        this.rejections = rejections;
        this.reader = reader;
    }

    /** With the lock: whether {@link #bind} was called. */
    boolean bound() {
        return listener != null;
    }

    /**
     * With the lock: binds the listener.
     *
     * @return the port that it has
     * @throws IOException if it can't listen there
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

    /** With the lock: starts the thread that accepts. */
    void start() {
        context.startThread("peer-accept", this::acceptAll);
    }

    /** With the lock: closes the listener and all connections whose handshake is not done. */
    void close() {
        strangers.forEach(stranger -> stranger.close("this member ends"));
        if (listener != null) {
            try {
                listener.close();
            } catch (IOException e) {
                LOG.debug("listener", e);
            }
        }
    }

    /** With the lock: how many accepted connections have not done their handshake. */
    int strangerCount() {
        return strangers.size();
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
            LOG.warn("accept: {}", e.getMessage());
        }
        long pauseMs = backoff.onAcceptFailed(e);
        if (pauseMs > 0) {
            synchronized (context.lock) {
                // Guards against a busy loop where no socket can be had.
                context.awaitChange(pauseMs);
            }
        }
    }

    private boolean admit(Socket socket) {
        synchronized (context.lock) {
            if (context.closing()) {
                return false;
            }
            if (strangers.size() >= context.limits.strangers()) {
                // The oldest is closed for those that come next, so that nobody holds the places for long.
                context.metrics.count("strangers_refused");
                strangers.iterator().next().close("too many strangers");
                return false;
            }
            PeerConnection connection;
            try {
                connection = new PeerConnection(socket, false, context.limits, context.clock, context.metrics);
            } catch (IOException e) {
                LOG.debug("closed before it was accepted: {}", e.getMessage());
                return false;
            }
            strangers.add(connection);
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
            LOG.debug("handshake from {}: {}", connection.socket, e.getMessage());
        } finally {
            synchronized (context.lock) {
                strangers.remove(connection);
            }
            if (!attached) {
                connection.close("no link");
            }
        }
        if (attached) {
            reader.read(connection);
        }
    }

    private boolean answerHandshake(PeerConnection connection) throws IOException {
        Handshake.Part part = Handshake.read(connection.in);
        if (part instanceof Handshake.Foreign foreign) {
            String description = "speaks " + foreign.lowest() + " to " + foreign.highest() + ", we " + Handshake.LOWEST
                    + " to " + Handshake.HIGHEST;
            rejections.reject(connection, HandshakeRejection.VERSION_MISMATCH, 0, description);
            return false;
        }
        if (!(part instanceof Handshake.Hello hello) || hello.welcome()) {
            throw new WireException("no hello");
        }
        connection.remoteHello = hello;
        connection.peerName = hello.from();
        HandshakeRejection rejection = validator.validate(connection, hello);
        if (rejection != null) {
            rejections.reject(connection, rejection, validator.knownLife(hello.from()), hello);
            return false;
        }
        Member self = context.self();
        connection.announcedLife = context.life();
        connection.send(new Handshake.Hello(
                true,
                context.fleet,
                self.name(),
                hello.from(),
                self.address(),
                connection.announcedLife,
                context.instance,
                0));
        Handshake.Part last = Handshake.read(connection.in);
        if (last instanceof Handshake.Refuse refuse) {
            rejections.onRejectedBy(hello.from(), refuse);
            return false;
        }
        if (!(last instanceof Handshake.Ready)) {
            throw new WireException("neither ready nor refused");
        }
        return reader.attach(connection);
    }
}

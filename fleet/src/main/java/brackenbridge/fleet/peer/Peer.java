package brackenbridge.fleet.peer;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A configured peer, the connection with it and the state of dialling it. Fields that are not volatile are guarded by
 * the lock of {@link LinkContext}.
 */
final class Peer {
    /** Bounds the exponent of the dial backoff; a lasting rejection sets it at once. */
    static final int MAX_DIAL_FAILURES = 16;

    private static final Logger LOG = LoggerFactory.getLogger(Peer.class);

    final Member member;
    volatile PeerConnection connection;
    volatile boolean removed;
    /** The address that the peer last announced for itself; null before its first handshake. */
    String announcedAddress;
    /** The socket of a dial whose handshake has not begun. */
    Socket dialingSocket;
    /** The outbound connection whose handshake is under way. */
    PeerConnection handshakingConnection;
    /** The peer's own thread, which dials and then writes. */
    Thread dialerThread;

    double nextDialAtMs;
    int dialFailures;
    int dialAttempts;
    /** The greatest dial number seen from the process {@link #lastInboundInstance}. */
    long lastInboundDial;

    long lastInboundInstance;
    /** Why the peer last rejected this member. */
    HandshakeRejection lastRejectionByPeer;
    /** How often in a row the peer did not know this member. */
    int unknownMemberRejections;
    /** Why this member last logged a rejection of the peer, and when. */
    HandshakeRejection lastLoggedRejection;

    double lastLoggedRejectionAtMs;

    Peer(Member member) {
        this.member = member;
    }

    String name() {
        return member.name();
    }

    /** With the lock: closes the connection and ends a dial that is under way. */
    void disconnect(String reason) {
        if (connection != null) {
            connection.close(reason);
            connection = null;
        }
        cancelDial();
        LockSupport.unpark(dialerThread);
    }

    /** With the lock: ends a dial that is under way. */
    void cancelDial() {
        closeQuietly(dialingSocket);
        if (handshakingConnection != null) {
            handshakingConnection.close("no dial any more");
        }
    }

    /** Closes a socket, null allowed; a failure is only logged. */
    static void closeQuietly(Socket socket) {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                LOG.debug("socket", e);
            }
        }
    }
}

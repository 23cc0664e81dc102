package brackenbridge.fleet.peer;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A configured peer, its connection and its dialing state. Fields that are not volatile are guarded by the lock of
 * {@link LinkContext}.
 */
final class Peer {
    /** Bounds the exponent of the dial backoff; a permanent rejection sets it at once. */
    static final int MAX_DIAL_FAILURES = 16;

    private static final Logger LOG = LoggerFactory.getLogger(Peer.class);

    final Member member;
    volatile PeerConnection connection;
    volatile boolean removed;
    /** The address that the peer announced last; null before its first handshake. */
    String announcedAddress;
    /** The socket of a dial whose handshake has not begun. */
    Socket dialingSocket;
    /** The outbound connection whose handshake is in progress. */
    PeerConnection handshakingConnection;
    /** The thread that dials this peer and writes to it. */
    Thread dialerThread;

    double nextDialAtMs;
    int dialFailures;
    int dialAttempts;
    /** The greatest dial number received from the process {@link #lastInboundInstance}. */
    long lastInboundDial;

    long lastInboundInstance;
    /** Why the peer last rejected this member. */
    HandshakeRejection lastRejectionByPeer;
    /** The number of consecutive rejections because the peer did not know this member. */
    int unknownMemberRejections;
    /** The reason of the last logged rejection of the peer, and when it was logged. */
    HandshakeRejection lastLoggedRejection;

    double lastLoggedRejectionAtMs;

    Peer(Member member) {
        this.member = member;
    }

    String name() {
        return member.name();
    }

    /** Closes the connection and cancels a dial in progress. The caller holds the lock. */
    void disconnect(String reason) {
        if (connection != null) {
            connection.close(reason);
            connection = null;
        }
        cancelDial();
        LockSupport.unpark(dialerThread);
    }

    /** Cancels a dial in progress. The caller holds the lock. */
    void cancelDial() {
        closeQuietly(dialingSocket);
        if (handshakingConnection != null) {
            handshakingConnection.close("dial cancelled");
        }
    }

    /** Closes a socket, which may be null; a failure is only logged. */
    static void closeQuietly(Socket socket) {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                LOG.debug("closing a socket failed", e);
            }
        }
    }
}

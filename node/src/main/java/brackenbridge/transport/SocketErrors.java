package brackenbridge.transport;

import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.List;

/**
 * Classifies the errors of socket calls by their origin. Java reports some error numbers of Linux by the class of the
 * exception and the rest only by the text of {@code strerror}. An error that is not listed here is attributed to the
 * peer for a connect, and to the listening socket for an accept.
 */
public final class SocketErrors {
    /** EMFILE and ENFILE, whose messages begin alike; ENOBUFS; ENOMEM. */
    private static final List<String> SHORTAGE_MESSAGES =
            List.of("Too many open files", "No buffer space available", "Cannot allocate memory");
    /** EAGAIN (no local port or no entry for the route), ENETUNREACH, ENETDOWN. */
    private static final List<String> NO_ROUTE_MESSAGES =
            List.of("Resource temporarily unavailable", "Network is unreachable", "Network is down");
    /**
     * ECONNABORTED and EINTR; the pending errors of the new connection that {@code accept(2)} returns: ENETDOWN,
     * EPROTO, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH; and EPERM, caused by firewalls.
     */
    private static final List<String> CONNECTION_MESSAGES = List.of(
            "Software caused connection abort",
            "Interrupted system call",
            "Network is down",
            "Protocol error",
            "Protocol not available",
            "Host is down",
            "Machine is not on the network",
            "No route to host",
            "Operation not supported",
            "Network is unreachable",
            "Operation not permitted");
    /** The maximum number of causes that are examined; guards against a cyclic chain of causes. */
    private static final int MAX_CAUSES = 10;

    private SocketErrors() {}

    /** Whether this machine lacked descriptors, buffers or memory, so that closing a connection helps. */
    public static boolean isResourceShortage(Throwable failure) {
        return hasMessage(failure, SHORTAGE_MESSAGES);
    }

    /**
     * Whether a connect, or a write before anything was sent, failed because of this machine, which is no sign of a
     * failed peer. ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH and ECONNRESET are attributed to the peer.
     */
    public static boolean isLocal(Throwable failure) {
        Throwable cause = failure;
        for (int i = 0; cause != null && i < MAX_CAUSES; i++) {
            if (cause instanceof ConnectException || cause instanceof NoRouteToHostException) {
                return false;
            }
            if (cause instanceof BindException) {
                // EADDRNOTAVAIL, EADDRINUSE, EACCES.
                return true;
            }
            cause = cause.getCause();
        }
        return isResourceShortage(failure) || hasMessage(failure, NO_ROUTE_MESSAGES);
    }

    /** Whether a failed accept affects only that connection, so that the next can be accepted at once. */
    public static boolean affectsOneConnectionOnly(Throwable acceptFailure) {
        return hasMessage(acceptFailure, CONNECTION_MESSAGES);
    }

    private static boolean hasMessage(Throwable failure, List<String> messages) {
        Throwable cause = failure;
        for (int i = 0; cause != null && i < MAX_CAUSES; i++) {
            String message = cause.getMessage();
            if (message != null && messages.stream().anyMatch(message::contains)) {
                return true;
            }
            cause = cause.getCause();
        }
        return false;
    }
}

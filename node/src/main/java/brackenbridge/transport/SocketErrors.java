package brackenbridge.transport;

import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.List;

/**
 * Says of a failed system call whose failure it is. Java tells some of Linux's error numbers by the class of the
 * exception and the rest by the text of {@code strerror} alone. An error that is not known here is the peer's for a
 * connect, and the listening socket's for an accept.
 */
public final class SocketErrors {
    /** EMFILE and ENFILE begin with the same words; ENOBUFS; ENOMEM. */
    private static final List<String> SHORTAGE =
            List.of("Too many open files", "No buffer space available", "Cannot allocate memory");
    /** EAGAIN (no local port or no entry for the route), ENETUNREACH, ENETDOWN. */
    private static final List<String> NO_WAY_OUT =
            List.of("Resource temporarily unavailable", "Network is unreachable", "Network is down");
    /**
     * ECONNABORTED and EINTR, then what {@code accept(2)} passes on of the new connection's own errors: ENETDOWN,
     * EPROTO, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH; EPERM is a firewall's.
     */
    private static final List<String> ONE_CONNECTION = List.of(
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
    /** Causes of causes that are looked at; guards against a chain that is a ring. */
    private static final int DEPTH = 10;

    private SocketErrors() {}

    /** Whether descriptors, buffers or memory were lacking on this machine: closing something helps. */
    public static boolean isShortage(Throwable failure) {
        return says(failure, SHORTAGE);
    }

    /**
     * Whether a connect, or a write before anything was sent, failed on this machine: it says nothing of the peer.
     * ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH and ECONNRESET are the peer's.
     */
    public static boolean isLocal(Throwable failure) {
        Throwable cause = failure;
        for (int i = 0; cause != null && i < DEPTH; i++) {
            if (cause instanceof ConnectException || cause instanceof NoRouteToHostException) {
                return false;
            }
            if (cause instanceof BindException) {
                // EADDRNOTAVAIL, EADDRINUSE, EACCES.
                return true;
            }
            cause = cause.getCause();
        }
        return isShortage(failure) || says(failure, NO_WAY_OUT);
    }

    /** Whether a failed accept has cost one client's connection only, so that the next can be accepted at once. */
    public static boolean endsOneConnection(Throwable acceptFailure) {
        return says(acceptFailure, ONE_CONNECTION);
    }

    private static boolean says(Throwable failure, List<String> texts) {
        Throwable cause = failure;
        for (int i = 0; cause != null && i < DEPTH; i++) {
            String message = cause.getMessage();
            if (message != null && texts.stream().anyMatch(message::contains)) {
                return true;
            }
            cause = cause.getCause();
        }
        return false;
    }
}

package brackenbridge.core.balancing;

/** One attempt to serve a request at a server. */
final class Attempt {
    final ServerState server;
    /** When it was sent, in microseconds. */
    final long sentAt;
    /** Whether it counts as in flight at the server, which it does once the request has arrived completely. */
    boolean countsInFlight;

    boolean ended;
    /** The amount reserved in the server's slow-start budget until the request has been written; 0 afterwards. */
    double reservedBudget;

    Attempt(ServerState server, long sentAt) {
        this.server = server;
        this.sentAt = sentAt;
    }
}

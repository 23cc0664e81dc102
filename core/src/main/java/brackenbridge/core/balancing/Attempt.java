package brackenbridge.core.balancing;

/** One attempt to have a request served. */
final class Attempt {
    final ServerState server;
    /** When it was sent, in microseconds. */
    final long sentAt;
    /** It counts among the requests in flight: the request has arrived completely. */
    boolean countsInFlight;

    boolean ended;
    /** What the server's slow-start budget holds for it until its request has been written; 0 from then on. */
    double reservedBudget;

    Attempt(ServerState server, long sentAt) {
        this.server = server;
        this.sentAt = sentAt;
    }
}

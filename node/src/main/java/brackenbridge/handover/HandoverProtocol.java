package brackenbridge.handover;

/** The lines of the handover protocol and the timeouts of its steps. */
final class HandoverProtocol {
    /** Prefix of the first line of both processes: the protocol's name and version. */
    static final String GREETING = "brackenbridge-handover 1 ";

    static final String SUCCESSOR_GREETING = GREETING + "successor";
    /** Sent by the successor once it listens and can serve. */
    static final String READY = "ready";
    /** Sent by the predecessor once it has left the path to the successor. */
    static final String GO = "go";

    /** The timeout of each step of the other process, except the start of the successor. */
    static final long STEP_TIMEOUT_MS = 1000;
    /** The timeout of the successor, from receiving the state until it listens. */
    static final long START_TIMEOUT_MS = 5000;

    private HandoverProtocol() {}
}

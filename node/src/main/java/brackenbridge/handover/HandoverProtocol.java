package brackenbridge.handover;

/** The lines of a handover's connection and the time limits of its steps. */
final class HandoverProtocol {
    /** Begins the first line of both processes: the protocol's name and version. */
    static final String GREETING = "brackenbridge-handover 1 ";

    static final String SUCCESSOR_GREETING = GREETING + "successor";
    /** The successor listens and can serve. */
    static final String READY = "ready";
    /** The predecessor has left the path to the successor. */
    static final String GO = "go";

    /** For each step of the other process but the successor's start. */
    static final long STEP_TIMEOUT_MS = 1000;
    /** For the successor, from the state that it gets until it listens. */
    static final long START_TIMEOUT_MS = 5000;

    private HandoverProtocol() {}
}

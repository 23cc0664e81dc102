package brackenbridge.net.upstream;

/** Decides, just before the first byte of an attempt is written, whether the attempt may still start. */
public interface AttemptStartCheck {
    /**
     * The remaining time that the attempt announces to its server, in milliseconds; 0 if it must not start any more.
     */
    double timeLeftMs(long requestId, int attempt);

    /** Whether the client of the request is known to be connected. */
    boolean isClientPresent(long requestId);
}

package brackenbridge.fleet.peer;

import java.io.IOException;

/** Malformed or unsupported data was received; the connection is closed. */
public final class WireException extends IOException {
    private static final long serialVersionUID = 1;

    /** Creates an exception with this description of the fault. */
    public WireException(String message) {
        super(message);
    }
}

package brackenbridge.fleet.peer;

import java.io.IOException;

/** What has come over a link is not what this version reads; the connection ends. */
public final class WireException extends IOException {
    private static final long serialVersionUID = 1;

    /** With the fault in words. */
    public WireException(String message) {
        super(message);
    }
}

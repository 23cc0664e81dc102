package brackenbridge.fleet.control;

import java.io.IOException;

/** The other side violated the protocol. */
public final class ProtocolException extends IOException {
    private static final long serialVersionUID = 1L;

    /** The reason that is sent to the other side. */
    private final SubscriptionRejection rejection;

    /** Creates an exception with the reason to send and to count, and a text for the log. */
    public ProtocolException(SubscriptionRejection rejection, String text) {
        super(text);
        this.rejection = rejection;
    }

    /** The reason. */
    public SubscriptionRejection rejection() {
        return rejection;
    }
}

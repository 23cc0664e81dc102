package brackenbridge.fleet.control;

import java.io.IOException;

/** Bytes from the other side that break the protocol. */
public final class ProtocolException extends IOException {
    private static final long serialVersionUID = 1L;

    /** What is refused. */
    private final SubscriptionRejection rejection;

    /** With the reason to tell and to count, and a text for the log. */
    public ProtocolException(SubscriptionRejection refusal, String text) {
        super(text);
        this.rejection = refusal;
    }

    /** The reason. */
    public SubscriptionRejection rejection() {
        return rejection;
    }
}

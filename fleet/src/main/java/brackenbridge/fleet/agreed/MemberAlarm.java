package brackenbridge.fleet.agreed;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The alarm of a member, for operators. Raised on the member's thread, read by any thread. */
final class MemberAlarm {
    private static final Logger LOG = LoggerFactory.getLogger(MemberAlarm.class);

    private final String member;
    private volatile String text = "";

    MemberAlarm(String member) {
        this.member = member;
    }

    /** Sets the alarm; logs it unless it is already set with this text. */
    void raise(String cause) {
        if (!cause.equals(text)) {
            text = cause;
            LOG.error("agreement at {}: {}", member, cause);
        }
    }

    void clear() {
        text = "";
    }

    /** The alarm; empty if there is none. */
    String text() {
        return text;
    }

    boolean isRaised() {
        return !text.isEmpty();
    }
}

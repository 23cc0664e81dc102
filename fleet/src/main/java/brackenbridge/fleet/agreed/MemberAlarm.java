package brackenbridge.fleet.agreed;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What is wrong with a member, as operators read it. Raised on the member's thread, read on any. */
final class MemberAlarm {
    private static final Logger LOG = LoggerFactory.getLogger(MemberAlarm.class);

    private final String member;
    private volatile String text = "";

    MemberAlarm(String member) {
        this.member = member;
    }

    /** Replaces the alarm; a text that stands already is not logged again. */
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

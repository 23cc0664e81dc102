package brackenbridge.net.client;

/** When client connections are closed because the node drains or stops; set by effects, read by each connection. */
final class ClosePolicy {
    private boolean announceClose;
    private boolean closeWhenIdle;

    /** Whether each response announces that its connection will be closed. */
    boolean announcesClose() {
        return announceClose;
    }

    /** Sets whether each response announces that its connection will be closed. */
    void setAnnounceClose(boolean on) {
        announceClose = on;
    }

    /** Whether idle connections are closed without waiting for the idle timeout. */
    boolean closesWhenIdle() {
        return closeWhenIdle;
    }

    /** Sets whether idle connections are closed without waiting for the idle timeout. */
    void setCloseWhenIdle(boolean on) {
        closeWhenIdle = on;
    }
}

package brackenbridge.net.client;

/** How the node's life cycle ends client connections; set by effects, read by each connection. */
final class ClosePolicy {
    private boolean announceClose;
    private boolean closeWhenIdle;

    /** Whether each response announces the end of its connection. */
    boolean announcesClose() {
        return announceClose;
    }

    /** Sets whether each response announces the end of its connection. */
    void setAnnounceClose(boolean on) {
        announceClose = on;
    }

    /** Whether connections without a request are ended at once. */
    boolean closesWhenIdle() {
        return closeWhenIdle;
    }

    /** Sets whether connections without a request are ended at once. */
    void setCloseWhenIdle(boolean on) {
        closeWhenIdle = on;
    }
}

package brackenbridge.core.connection;

/**
 * The part of a node's file descriptors that is reserved for another process of the node, while one replaces the other.
 * Each of the two processes keeps one for the other. A process stops using descriptors before it grants them to the
 * other, so both together stay within the node's limit at every instant, however long the messages take.
 */
public final class DescriptorShare {
    /** Descriptors that this process takes for nothing new; some of them may still be in use here. */
    private int reserved;
    /** Those of the reserved descriptors that the other process may use. */
    private int granted;
    /** Whether the other process takes part in the exchange, and so may be sent grants. */
    private boolean exchanging;
    /** Whether the other process lacks descriptors. */
    private boolean requested;
    /** Whether the other process was told that this one lacks descriptors. */
    private boolean requesting;

    /** Descriptors that this process must not use for anything new. */
    public int reserved() {
        return reserved;
    }

    /** Whether there is another process. */
    public boolean isActive() {
        return reserved > 0 || granted > 0 || exchanging;
    }

    /** Whether the other process has requested descriptors that it has not been granted yet. */
    public boolean isRequested() {
        return requested;
    }

    /** Begins with this many descriptors in the hands of the other process. */
    public void begin(int count) {
        end();
        reserved = Math.max(0, count);
        granted = reserved;
    }

    /** Records that the other process takes part in the exchange. */
    public void startExchange() {
        exchanging = true;
    }

    /** Reserves at least this many descriptors; a smaller number has no effect. */
    public void reserve(int count) {
        reserved = Math.max(reserved, count);
    }

    /**
     * Takes what can be granted now, before the other process takes part or while it does.
     *
     * @param unused how many of the node's descriptors neither this process uses nor a third one may use
     * @return how many descriptors the other process may use from now on in addition; 0 if none
     */
    public int takeGrant(int unused) {
        int grant = Math.max(0, Math.min(reserved, unused) - granted);
        granted += grant;
        requested = requested && grant == 0;
        return grant;
    }

    /** Whether grants can be sent to the other process. */
    public boolean isExchanging() {
        return exchanging;
    }

    /** Handles a grant by the other process. */
    public void onGrant(int count) {
        granted = Math.max(0, granted - count);
        reserved = Math.max(granted, reserved - count);
        requesting = false;
    }

    /** Handles a request of the other process. */
    public void onRequest() {
        requested = true;
    }

    /** Whether to request descriptors now: once until the next grant, of a process that takes part. */
    public boolean startRequest() {
        boolean start = exchanging && !requesting;
        requesting = requesting || start;
        return start;
    }

    /** Handles the end of the other process: all descriptors are available here. */
    public void end() {
        reserved = 0;
        granted = 0;
        exchanging = false;
        requested = false;
        requesting = false;
    }
}

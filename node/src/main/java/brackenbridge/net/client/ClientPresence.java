package brackenbridge.net.client;

import brackenbridge.clock.Clock;
import brackenbridge.net.channel.ReceiveBuffers;
import brackenbridge.net.channel.SocketPolls;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Tracks whether the client of a connection is known to be still connected. No attempt starts for a client whose
 * presence has not been confirmed within {@link #MAX_PRESENCE_AGE_MS}.
 *
 * <p>Java reports the end of a connection only as the result of a read, after all bytes that precede it. A client is
 * therefore known to be present only once everything it has sent was read and no end of stream followed. While reading
 * is active, this holds after a turn of the event loop whose reads stayed below their limit, or when nothing was read
 * between two turns. While reading is paused, because the client has sent too much ahead, a bounded read every
 * {@link #PRESENCE_CHECK_INTERVAL_MS} replaces it: if it finds nothing, the client is present.
 *
 * <pre>
 *                 all bytes read, no end of stream
 *             +-------------------------------------+
 *             |                                     v
 *          UNKNOWN                               PRESENT     isPresent: immediately
 *             ^                                     |
 *             +-------------------------------------+
 *                 bytes are read; reading pauses or resumes
 *
 *          UNKNOWN: isPresent for MAX_PRESENCE_AGE_MS after the last PRESENT
 * </pre>
 */
final class ClientPresence {
    /** Interval of the bounded reads while reading is paused. */
    static final long PRESENCE_CHECK_INTERVAL_MS = 50;
    /** Bytes that bounded reads may add beyond the read-ahead limit. */
    static final int PRESENCE_READ_BYTES = 64 * 1024;
    /** Slightly less than the 100 ms that are guaranteed to servers. */
    static final double MAX_PRESENCE_AGE_MS = 80;

    /** State of a connection's input, as far as presence checks depend on it. */
    interface InputState {
        /** Whether the connection is ending or has ended. */
        boolean isEnding();

        /** Whether all further input is discarded. */
        boolean isDiscarding();

        /** Whether the buffer has room for a bounded read. */
        boolean hasRoomForPresenceRead();

        /** Called when the client is known to be present. */
        void onPresent();
    }

    private final Channel channel;
    private final Clock clock;
    private final InputState input;

    /** Whether reading is paused and replaced by bounded reads. */
    private boolean boundedReadsActive;
    /** Whether the latest bounded read has found nothing so far. */
    private boolean lastReadWasEmpty;

    private int readsInTurn;
    /** Incremented by each read and whenever reading resumes. */
    private int readCount;

    private boolean nextTurnScheduled;
    /**
     * Whether all bytes that had arrived by the latest turn of the event loop were read and no end of stream was found.
     */
    private boolean present;

    private double lastPresentMs = Double.NEGATIVE_INFINITY;
    private double unknownSinceMs;

    ClientPresence(Channel channel, Clock clock, double nowMs, InputState input) {
        this.channel = channel;
        this.clock = clock;
        this.input = input;
        unknownSinceMs = nowMs;
    }

    /** Whether the client was present within the limit; it is assumed to have been so at {@code assumedPresentMs}. */
    boolean isPresent(double assumedPresentMs) {
        return present || clock.nowMs() - Math.max(lastPresentMs, assumedPresentMs) <= MAX_PRESENCE_AGE_MS;
    }

    /** Whether the client is currently known to be present. */
    boolean isPresentNow() {
        return present;
    }

    /** Whether the node has ever read everything that had arrived. */
    boolean wasDrained() {
        return lastPresentMs > Double.NEGATIVE_INFINITY;
    }

    /** When the node had last read everything that had arrived, without the end of the connection. */
    double drainedMs() {
        return present ? clock.nowMs() : unknownSinceMs;
    }

    /** Whether presence has been unknown for longer than the limit, counted from {@code fromMs} at the earliest. */
    boolean isUnknownTooLong(double nowMs, double fromMs) {
        return !present && nowMs - Math.max(unknownSinceMs, fromMs) > MAX_PRESENCE_AGE_MS;
    }

    /** Handles a read that returned bytes: an end of stream may follow them. */
    void onBytesRead() {
        readsInTurn++;
        readCount++;
        lastReadWasEmpty = false;
        markUnknown();
    }

    /** Handles the end of this event loop turn's reads. */
    void onReadComplete() {
        boolean allRead = readsInTurn < ReceiveBuffers.MAX_READS_PER_TURN;
        readsInTurn = 0;
        if (!channel.config().isAutoRead()) {
            return;
        }
        if (allRead) {
            markPresent();
        } else {
            checkNextTurn();
        }
    }

    /** Resumes or pauses reading. */
    void setReading(boolean on) {
        if (on == channel.config().isAutoRead()) {
            return;
        }
        markUnknown();
        lastReadWasEmpty = false;
        channel.config().setAutoRead(on);
        if (on) {
            readCount++;
            checkNextTurn();
        }
    }

    /** Starts the bounded reads of a connection whose reading is paused. */
    void startChecking() {
        if (!boundedReadsActive) {
            boundedReadsActive = true;
            checkPresence();
        }
    }

    /** Guards servers against requests of a client that disconnected while reading was paused. */
    private void checkPresence() {
        boundedReadsActive =
                !input.isEnding() && !input.isDiscarding() && !channel.config().isAutoRead() && channel.isActive();
        if (boundedReadsActive) {
            if (lastReadWasEmpty) {
                markPresent();
            } else if (input.hasRoomForPresenceRead()) {
                lastReadWasEmpty = true;
                channel.read();
            }
            channel.eventLoop().schedule(this::checkPresence, PRESENCE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Marks the client present if nothing is read by the next turn of the event loop: then nothing was left. */
    private void checkNextTurn() {
        if (!nextTurnScheduled) {
            nextTurnScheduled = true;
            int readCountBefore = readCount;
            SocketPolls.runAfterNextPoll(channel.eventLoop(), () -> onNextTurn(readCountBefore));
        }
    }

    private void onNextTurn(int readCountBefore) {
        nextTurnScheduled = false;
        if (input.isEnding() || present || !channel.config().isAutoRead()) {
            return;
        }
        if (readCount == readCountBefore) {
            markPresent();
        } else {
            checkNextTurn();
        }
    }

    private void markPresent() {
        present = true;
        lastPresentMs = clock.nowMs();
        input.onPresent();
    }

    private void markUnknown() {
        if (present) {
            present = false;
            unknownSinceMs = clock.nowMs();
        }
    }
}

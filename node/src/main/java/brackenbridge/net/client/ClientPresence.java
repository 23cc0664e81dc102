package brackenbridge.net.client;

import brackenbridge.clock.Clock;
import brackenbridge.net.channel.ReceiveBuffers;
import brackenbridge.net.channel.SocketPolls;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether the client of a connection is known to be still connected. No attempt begins for a client that has not
 * been seen within {@link #MAX_PRESENCE_AGE_MS}.
 *
 * <p>Java reports the end of a connection only as the result of a read, and a read returns the bytes in front of the
 * end first. So a client is known to be present only when all that it has sent was read and no end was found behind it.
 * While reading continues, this holds after a turn of the event loop whose reads did not use up their limit, or when
 * nothing was read between two turns. While reading is paused, because the client has sent too much ahead, one bounded
 * read every {@link #PRESENCE_CHECK_INTERVAL_MS} takes its place: if it finds nothing, the client is present.
 *
 * <pre>
 *                 all has been read, no end found
 *             +-------------------------------------+
 *             |                                     v
 *          HIDDEN                                PRESENT     isPresent: at once
 *             ^                                     |
 *             +-------------------------------------+
 *                 bytes are read; reading pauses or resumes
 *
 *          HIDDEN: isPresent for MAX_PRESENCE_AGE_MS from the last PRESENT on
 * </pre>
 */
final class ClientPresence {
    /** The interval of the bounded reads of a connection whose reading is paused. */
    static final long PRESENCE_CHECK_INTERVAL_MS = 50;
    /** Bytes that bounded reads may add to what a client may have sent ahead. */
    static final int PRESENCE_READ_BYTES = 64 * 1024;
    /** A little under the 100 ms that are promised to servers. */
    static final double MAX_PRESENCE_AGE_MS = 80;

    /** What a connection does with the bytes that are read. */
    interface InputState {
        /** Whether the connection is ending or has ended. */
        boolean isEnding();

        /** Whether all further bytes are discarded. */
        boolean isDiscarding();

        /** Whether a bounded read may add to the bytes that wait. */
        boolean hasRoomForPresenceRead();

        /** The client has been seen. */
        void onPresent();
    }

    private final Channel channel;
    private final Clock clock;
    private final InputState input;

    /** Reading is paused, and bounded reads take its place. */
    private boolean boundedReadsActive;
    /** The latest bounded read has found nothing yet. */
    private boolean lastReadWasEmpty;

    private int readsInTurn;
    /** Grows with each read, and whenever reading resumes. */
    private int readCount;

    private boolean nextTurnScheduled;
    /** All that had come by the latest turn of the event loop is read, and no end was found. */
    private boolean present;

    private double lastPresentMs = Double.NEGATIVE_INFINITY;
    private double unknownSinceMs;

    ClientPresence(Channel channel, Clock clock, double nowMs, InputState input) {
        this.channel = channel;
        this.clock = clock;
        this.input = input;
        unknownSinceMs = nowMs;
    }

    /** Whether the client has been seen within the limit, or since the time {@code assumedPresentMs} was. */
    boolean isPresent(double assumedPresentMs) {
        return present || clock.nowMs() - Math.max(lastPresentMs, assumedPresentMs) <= MAX_PRESENCE_AGE_MS;
    }

    /** Whether the client is known to be present at this moment. */
    boolean isPresentNow() {
        return present;
    }

    /** Whether the client has been hidden for longer than the limit, counted from {@code fromMs} at the earliest. */
    boolean isUnknownTooLong(double nowMs, double fromMs) {
        return !present && nowMs - Math.max(unknownSinceMs, fromMs) > MAX_PRESENCE_AGE_MS;
    }

    /** Bytes have been read: an end may be behind them. */
    void onBytesRead() {
        readsInTurn++;
        readCount++;
        lastReadWasEmpty = false;
        markUnknown();
    }

    /** The reads of this turn of the event loop are done. */
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

    /** Begins the bounded reads of a connection whose reading is paused. */
    void startChecking() {
        if (!boundedReadsActive) {
            boundedReadsActive = true;
            checkPresence();
        }
    }

    /** Protects servers from requests of a client that disconnected while its connection was not read. */
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

    /** If nothing is read by the next turn of the event loop, nothing was left. */
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

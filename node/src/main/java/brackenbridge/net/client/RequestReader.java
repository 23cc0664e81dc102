package brackenbridge.net.client;

import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpRequest;
import brackenbridge.http.RequestDecoder;
import brackenbridge.net.channel.SocketPolls;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;

/**
 * Decodes a client's requests one at a time and in order. Bytes that arrive while a request is being served are
 * buffered up to a limit, beyond which reading pauses.
 */
final class RequestReader implements ClientPresence.InputState {
    /**
     * Maximum bytes buffered behind a request that is being served, or of a body that no server accepts yet. The end of
     * a connection is found only after all bytes sent before it, which may be hundreds of requests. Beyond this limit,
     * and what presence checks add, an end stays undetected, and no attempt starts for this client.
     */
    private static final int READ_AHEAD_BYTES = 256 * 1024;
    /**
     * The same limit while the memory budget is crowded: detecting disconnects must not cost other clients their
     * connections.
     */
    private static final int CROWDED_READ_AHEAD_BYTES = 16 * 1024;
    /** Maximum bytes of a connection that are read and discarded: reading more would delay other connections. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private final ClientConnection connection;
    private final ClientContext context;
    private final Channel channel;
    private final ClientPresence presence;
    private final RequestDecoder decoder = new RequestDecoder();
    private final UploadReader upload;
    private final BodyRateMonitor bodyRate;
    private final RequestOpener opener;
    /** Bytes that have not been decoded yet; null if there are none. */
    private ByteBuf unread;
    /** Whether 100 Continue has been sent for the current request. */
    private boolean continueSent;
    /** Whether the client exceeded the memory budget: input after the request that is being served is discarded. */
    private boolean discarding;

    private int discardedBytes;

    RequestReader(ClientConnection connection, ClientContext context, Channel channel, double nowMs) {
        this.connection = connection;
        this.context = context;
        this.channel = channel;
        presence = new ClientPresence(channel, context.clock(), nowMs, this);
        upload = new UploadReader(connection, context, this, decoder);
        bodyRate = new BodyRateMonitor(nowMs);
        opener = new RequestOpener(connection, context, ConnectionAcceptor.maxBacklogWaitMs(channel));
    }

    /** Tracks whether the client is known to be present. */
    ClientPresence presence() {
        return presence;
    }

    /** The reader of long bodies. */
    UploadReader upload() {
        return upload;
    }

    /** Opens or rejects requests that have been decoded. */
    RequestOpener opener() {
        return opener;
    }

    /** Bytes that have not been decoded yet; null if there are none. */
    ByteBuf unread() {
        return unread;
    }

    /** Whether a request has been decoded in part. */
    boolean hasBegunRequest() {
        return decoder.isMessageStarted();
    }

    /** Whether no byte of a further request has been received. */
    boolean isEmpty() {
        return !decoder.isMessageStarted() && (unread == null || !unread.isReadable());
    }

    /** Whether more input has been discarded than the limit allows. */
    boolean hasDiscardedTooMuch() {
        return discardedBytes > MAX_DISCARDED_BYTES;
    }

    /** Whether further input is discarded and the connection closes after the request that is being served. */
    @Override
    public boolean isDiscarding() {
        return discarding;
    }

    @Override
    public boolean isEnding() {
        return connection.isEnding();
    }

    @Override
    public boolean hasRoomForPresenceRead() {
        return waitingBytes() <= readAheadLimit() + ClientPresence.PRESENCE_READ_BYTES;
    }

    @Override
    public void onPresent() {
        if (upload.isLastByteHeld()) {
            scheduleLastByteForward();
        } else {
            upload.onDrained();
        }
    }

    /**
     * Handles that the last byte of a long body is held back. If the body was read completely before it was decoded, no
     * further read would confirm the client's presence.
     */
    void onLastByteHeld() {
        if (presence.isPresentNow()) {
            scheduleLastByteForward();
        }
    }

    private void scheduleLastByteForward() {
        // Deferred: if this read has found the end of the connection, it is closed in the same turn.
        channel.eventLoop().execute(() -> connection.runGuarded(() -> upload.forwardLastByte(presence.isPresentNow())));
    }

    /** Handles the opening of the connection: only bytes that its first read finds may have waited in the backlog. */
    void onConnected() {
        if (opener.mayHaveWaitedInBacklog()) {
            SocketPolls.runAfterNextPoll(channel.eventLoop(), this::endBacklogWait);
        }
    }

    private void endBacklogWait() {
        if (unread == null && !decoder.isMessageStarted()) {
            opener.clearBacklogWait();
        }
    }

    /** Takes ownership of received bytes. */
    void onBytes(ByteBuf bytes) {
        bodyRate.onBytes(bytes.readableBytes());
        presence.onBytesRead();
        if (connection.isEnding() || discarding) {
            discard(bytes);
            return;
        }
        // Bytes that are appended to the unread buffer are counted as part of it.
        int received = bytes.readableBytes();
        int newBytes = unread == null ? received : 0;
        append(bytes);
        if (upload.isActive()) {
            upload.onBytes(unread, received, newBytes);
        }
        readNext();
        context.memory().enforce(context.registry().connections());
        adjustReading();
    }

    private void discard(ByteBuf bytes) {
        discardedBytes += bytes.readableBytes();
        if (hasDiscardedTooMuch()) {
            presence.setReading(false);
        }
        bytes.release();
    }

    private void append(ByteBuf bytes) {
        if (unread == null) {
            unread = bytes;
            return;
        }
        if (unread.refCnt() > 1) {
            // Slices of the preceding body have not been written yet and must not be overwritten.
            ByteBuf copy = channel.alloc().buffer(waitingBytes()).writeBytes(unread);
            discardUnread();
            unread = copy;
        }
        unread.discardReadBytes().writeBytes(bytes);
        bytes.release();
    }

    /** Bytes that are buffered until they are decoded or forwarded. */
    private int waitingBytes() {
        return upload.bytesWhilePaused() + (unread == null ? 0 : unread.readableBytes());
    }

    private int readAheadLimit() {
        return context.memory().isCrowded() ? CROWDED_READ_AHEAD_BYTES : READ_AHEAD_BYTES;
    }

    /** Resumes or pauses reading. Guards memory against a client that sends ahead without reading its responses. */
    void adjustReading() {
        if (connection.isEnding() || discarding) {
            return;
        }
        boolean on = waitingBytes() <= readAheadLimit();
        presence.setReading(on);
        if (!on) {
            presence.startChecking();
        }
    }

    /** Decodes buffered requests as long as none is being served. */
    void readNext() {
        boolean mayContinue = true;
        while (mayContinue && connection.isReading() && unread != null) {
            mayContinue = decodeNext();
        }
        if (unread != null && !unread.isReadable()) {
            discardUnread();
        }
        connection.reserveBytes(
                connection.isEnding() ? 0 : decoder.bufferedBytes() + waitingBytes() + upload.replayableBytes());
    }

    /** Decodes one request; returns false if it is incomplete. */
    private boolean decodeNext() {
        boolean first = !decoder.isMessageStarted();
        try {
            if (decoder.decode(unread)) {
                continueSent = false;
                HttpRequest request = decoder.takeRequest();
                opener.handleRequest(request, request, true);
            } else if (decoder.isBodyBufferFull()) {
                continueSent = false;
                upload.start();
            } else {
                onIncompleteRequest(first);
                return false;
            }
        } catch (HttpException e) {
            connection.writer().rejectMalformed(e.status(), e.getMessage());
        }
        return true;
    }

    private void onIncompleteRequest(boolean first) {
        if (first) {
            connection.onFirstBytes();
            bodyRate.startRequest();
        }
        if (!continueSent && decoder.expectsContinue()) {
            continueSent = true;
            channel.writeAndFlush(HttpEncoder.continueResponse(channel.alloc()));
        }
    }

    /** Checks the rate of the request body since the last sweep; rejects a request that is too slow. */
    void checkBodyRate(double nowMs) {
        boolean readingRequest = connection.isReading() && decoder.isMessageStarted();
        if (decoder.awaitsBody() && !upload.isPaused() && (readingRequest || upload.isActive())) {
            boolean tooSlow = bodyRate.isTooSlow(nowMs);
            if (tooSlow && upload.isActive()) {
                upload.fail(408, "body too slow");
            } else if (tooSlow) {
                connection.writer().rejectMalformed(408, "body too slow");
            }
        } else {
            bodyRate.resetSilence();
        }
    }

    /** Whether the head of a request has been received in part. */
    boolean isReadingHead() {
        return connection.isReading() && decoder.isMessageStarted() && !decoder.awaitsBody();
    }

    /** Ends a check of the body rate: the next one measures from this time. */
    void endBodyRateCheck(double nowMs) {
        bodyRate.endCheck(nowMs);
    }

    /** Releases the buffered bytes and discards all further input. */
    void startDiscarding() {
        discarding = true;
        discardUnread();
        presence.setReading(true);
    }

    /** Releases the bytes that have not been decoded. */
    void discardUnread() {
        if (unread != null) {
            unread.release();
            unread = null;
        }
    }
}

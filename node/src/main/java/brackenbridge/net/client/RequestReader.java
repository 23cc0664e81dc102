package brackenbridge.net.client;

import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpRequest;
import brackenbridge.http.RequestDecoder;
import brackenbridge.net.channel.SocketPolls;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;

/**
 * Makes requests of the bytes that a client sends, one at a time and in order. What the client sends while a request is
 * being served waits, up to a bound beyond which reading pauses.
 */
final class RequestReader implements ClientPresence.InputState {
    /**
     * Bytes that may wait behind a request that is being served, or of a body that nobody takes yet. An end of the
     * connection is found only behind all that the client sent before it, which may be hundreds of requests. Beyond
     * this, and what the presence checks add, an end stays hidden, and no attempt begins for this client.
     */
    private static final int READ_AHEAD_BYTES = 256 * 1024;
    /** The same bound while the memory budget is crowded: looking for an end must not cost anybody a connection. */
    private static final int CROWDED_READ_AHEAD_BYTES = 16 * 1024;
    /** Bytes that are read and discarded of one connection at most: reading more would cost the others. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private final ClientConnection connection;
    private final ClientContext context;
    private final Channel channel;
    private final ClientPresence presence;
    private final RequestDecoder decoder = new RequestDecoder();
    private final UploadReader upload;
    private final BodyRateMonitor bodyRate;
    private final RequestOpener opener;
    /** Bytes that no request has been made of yet; null if there are none. */
    private ByteBuf unread;
    /** The client has been told to send the body that it announced. */
    private boolean continueSent;
    /** The client had too much buffered: what comes behind the request that is being served is discarded. */
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

    /** Whether the client is known to be present. */
    ClientPresence presence() {
        return presence;
    }

    /** The long body that is being read, if any. */
    UploadReader upload() {
        return upload;
    }

    /** Opens or rejects what has been read of a request. */
    RequestOpener opener() {
        return opener;
    }

    /** Bytes that no request has been made of yet; null if there are none. */
    ByteBuf unread() {
        return unread;
    }

    /** Whether a part of a request has been decoded. */
    boolean hasBegunRequest() {
        return decoder.hasBegun();
    }

    /** Whether nothing of a further request has come. */
    boolean isEmpty() {
        return !decoder.hasBegun() && (unread == null || !unread.isReadable());
    }

    /** Whether the client has sent more after the connection's end than is read and discarded. */
    boolean hasDiscardedTooMuch() {
        return discardedBytes > MAX_DISCARDED_BYTES;
    }

    /** The connection ends behind the request that is being served. */
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
        }
    }

    /** The last byte of a long body is held. If all of it was read before its turn, no read shows the client. */
    void onLastByteHeld() {
        if (presence.isPresentNow()) {
            scheduleLastByteForward();
        }
    }

    private void scheduleLastByteForward() {
        // Not at once: if this read has found the client's end, the connection is closed in the same turn.
        channel.eventLoop().execute(() -> connection.runGuarded(() -> upload.forwardLastByte(presence.isPresentNow())));
    }

    /** The connection is open: only bytes that its first read finds may have waited in the backlog. */
    void onConnected() {
        if (opener.mayHaveWaitedInBacklog()) {
            SocketPolls.runAfterNextPoll(channel.eventLoop(), this::endBacklogWait);
        }
    }

    private void endBacklogWait() {
        if (unread == null && !decoder.hasBegun()) {
            opener.clearBacklogWait();
        }
    }

    /** Takes ownership of bytes that have come. */
    void onBytes(ByteBuf bytes) {
        bodyRate.onBytes(bytes.readableBytes());
        presence.onBytesRead();
        if (connection.isEnding() || discarding) {
            discard(bytes);
            return;
        }
        // Bytes that are appended to unread ones are counted with those.
        int newBytes = unread == null ? bytes.readableBytes() : 0;
        append(bytes);
        if (upload.isActive()) {
            upload.onBytes(unread, newBytes);
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
            // Parts of the body in front are still on their way and must not be overwritten.
            ByteBuf copy = channel.alloc().buffer(waitingBytes()).writeBytes(unread);
            discardUnread();
            unread = copy;
        }
        unread.discardReadBytes().writeBytes(bytes);
        bytes.release();
    }

    /** Bytes that wait for somebody to take them. */
    private int waitingBytes() {
        return upload.bytesWhilePaused() + (unread == null ? 0 : unread.readableBytes());
    }

    private int readAheadLimit() {
        return context.memory().isCrowded() ? CROWDED_READ_AHEAD_BYTES : READ_AHEAD_BYTES;
    }

    /** Resumes or pauses reading. Protects memory against a client that sends ahead without reading its responses. */
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

    /** Decodes requests out of the bytes that have come, as long as none is being served. */
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

    /** Decodes one request; false if it is incomplete. */
    private boolean decodeNext() {
        boolean first = !decoder.hasBegun();
        try {
            if (decoder.decode(unread)) {
                continueSent = false;
                HttpRequest request = decoder.take();
                opener.handleRequest(request, request, true);
            } else if (decoder.isLong()) {
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

    /** Checks the time that a request takes to come since the last sweep; rejects one that is too slow. */
    void checkBodyRate(double nowMs) {
        boolean readingRequest = connection.isReading() && decoder.hasBegun();
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

    /** Whether a request's head has begun and is incomplete. */
    boolean isReadingHead() {
        return connection.isReading() && decoder.hasBegun() && !decoder.awaitsBody();
    }

    /** The next check of the pace measures from here. */
    void endBodyRateCheck(double nowMs) {
        bodyRate.endCheck(nowMs);
    }

    /** Releases all that is buffered; what the client sends from now on is not served. */
    void startDiscarding() {
        discarding = true;
        discardUnread();
        presence.setReading(true);
    }

    /** Releases the bytes that no request has been made of. */
    void discardUnread() {
        if (unread != null) {
            unread.release();
            unread = null;
        }
    }
}

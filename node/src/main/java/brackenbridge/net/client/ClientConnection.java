package brackenbridge.net.client;

import brackenbridge.core.Event;
import brackenbridge.core.Event.ResponseEnd;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;

/** A client's connection, which serves its requests one at a time and in order; see {@link ConnectionState}. */
final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestMemoryBudget.Holder {
    private final ClientContext context;
    private final Channel channel;
    private final RequestReader reader;
    private final ResponseWriter writer;
    private final CurrentRequest request;
    private ConnectionState state = ConnectionState.READING;
    /** When the state was entered, or when the client last read or sent something that counts as progress. */
    private double stateSinceMs;

    /** Timeout of the head that is being read. */
    private double headTimeoutMs;

    private boolean hasSentRequest;
    private int reservedBytes;

    ClientConnection(Channel channel, ClientContext context) {
        this.channel = channel;
        this.context = context;
        stateSinceMs = context.clock().nowMs();
        headTimeoutMs = ConnectionTimeouts.firstHeadTimeoutMs(ConnectionAcceptor.maxBacklogWaitMs(channel));
        reader = new RequestReader(this, context, channel, stateSinceMs);
        writer = new ResponseWriter(this, context, channel);
        request = new CurrentRequest(this, context);
    }

    private void enterState(ConnectionState next) {
        if (state != ConnectionState.CLOSED) {
            state = next;
        }
    }

    /** The writer of this connection's responses. */
    ResponseWriter writer() {
        return writer;
    }

    /** Time at which the state was entered, or progress was last made in it. */
    double stateSinceMs() {
        return stateSinceMs;
    }

    /** The latest request. */
    CurrentRequest request() {
        return request;
    }

    /** Whether no request is open and no response is being written. */
    boolean isReading() {
        return state == ConnectionState.READING;
    }

    /** Whether a request has been received in part. */
    boolean isReadingRequest() {
        return state == ConnectionState.READING && reader.hasBegunRequest();
    }

    /** Whether nothing is being read, served or written. */
    boolean isIdle() {
        return state == ConnectionState.READING && reader.isEmpty();
    }

    /** Whether it has been idle for so long that its client's next request is not likely to be on its way. */
    boolean hasBeenIdle(double nowMs) {
        return isIdle() && nowMs - stateSinceMs > ConnectionTimeouts.MIN_IDLE_BEFORE_CLOSE_MS;
    }

    /** Whether the connection is closed, or being closed by the node. */
    boolean isEnding() {
        return state == ConnectionState.LINGERING || state == ConnectionState.CLOSED;
    }

    /** Whether the socket is open. */
    boolean isActive() {
        return channel.isActive();
    }

    /** Closes the socket immediately. */
    void close() {
        channel.close();
    }

    /** Records that the client has made progress in the current state. */
    void markProgress() {
        stateSinceMs = context.clock().nowMs();
    }

    @Override
    public int reservedBytes() {
        return reservedBytes;
    }

    /** Sets the number of request bytes that are buffered for this connection. */
    void reserveBytes(int bytes) {
        context.memory().adjustReservation(reservedBytes, bytes);
        reservedBytes = bytes;
    }

    /**
     * Whether it may be closed to free its descriptor: it is idle, or its last response was written a while ago.
     *
     * @param havingSentRequest true to select connections that have sent a request, false for those that never have
     * @param minIdleMs how long an idle one must have been so
     */
    boolean canBeShed(boolean havingSentRequest, double minIdleMs, double nowMs) {
        double ageMs = nowMs - stateSinceMs;
        boolean idle = isIdle() && hasSentRequest == havingSentRequest && ageMs > minIdleMs;
        // Closing a socket with unread bytes would reset the connection before the client has read its last response.
        boolean over = state == ConnectionState.LINGERING
                && !havingSentRequest
                && !reader.hasDiscardedTooMuch()
                && ageMs > ConnectionTimeouts.MIN_IDLE_BEFORE_CLOSE_MS;
        return (idle || over) && channel.isActive();
    }

    /**
     * Reads the bytes that are available at the socket: a connection may only seem idle because the event loop has not
     * read it yet.
     */
    void readAvailable() {
        ((AbstractNioChannel) channel).unsafe().read();
    }

    /** Closes the connection if it is idle, unless a request is found to have arrived. */
    void endIfIdle() {
        readAvailable();
        if (isIdle() && channel.isActive()) {
            startLingering();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context.registry().add(this);
        reader.onConnected();
        // Runs as soon as the channel closes, not with its channelInactive event: attempts for this client could still
        // start before that event.
        channel.closeFuture().addListener(f -> onDisconnected());
        context.registry().makeRoomForNext();
    }

    /** Handles the end of the connection; a half-closed connection counts as disconnected as well. */
    private void onDisconnected() {
        context.registry().remove(this);
        reader.discardUnread();
        enterState(ConnectionState.CLOSED);
        reserveBytes(0);
        request.onDisconnected();
        reader.upload().end(false);
        writer.onDisconnected();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        runGuarded(() -> reader.onBytes((ByteBuf) message));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reader.presence().onReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        writer.resumeDownload();
    }

    /** Runs a read step; if the node itself fails in it, the request that was being read still gets a response. */
    void runGuarded(Runnable reading) {
        try {
            reading.run();
        } catch (RuntimeException e) {
            context.events().onFault("reading a request failed", e);
            writer.respondOrFail(() -> giveUpReading("the node failed to read this request"));
        }
    }

    /** Whether the body of the open request is being received or forwarded. */
    boolean isUploading() {
        return reader.upload().isActive();
    }

    /** The open request and how far its body is, for the log. */
    String describeRequest(double nowMs) {
        return "request " + request.correlationId() + ", open for " + Math.round(nowMs - stateSinceMs) + " ms"
                + reader.upload().describe() + ",";
    }

    /** Handles the first bytes of a request. */
    void onFirstBytes() {
        // The timeout of the first head runs from the start of the connection.
        if (hasSentRequest) {
            markProgress();
        }
    }

    /** Handles the complete head of a request. */
    void onRequestHead(boolean isHttp11, boolean isKeptAlive) {
        hasSentRequest = true;
        headTimeoutMs = ConnectionTimeouts.HEAD_TIMEOUT_MS;
        request.onHead(isHttp11, isKeptAlive);
    }

    /** Opens the request that has been read, whose correlation id is reserved; returns its new id. */
    long openRequest(String reservedCorrelationId) {
        request.setCorrelationId(reservedCorrelationId);
        stateSinceMs = context.clock().nowMs();
        long requestId = request.open();
        enterState(ConnectionState.AWAITING_RESPONSE);
        return requestId;
    }

    /** Ends the open request as if its client had disconnected; the connection can still send a reason. */
    void withdrawRequest() {
        enterState(ConnectionState.READING);
        request.withdraw();
    }

    /** Begins the response to the open request, if any; returns its id, or a negative value. */
    long beginResponse(double nowMs) {
        stateSinceMs = nowMs;
        reader.upload().onResponse();
        long requestId = request.beginResponse();
        enterState(ConnectionState.RESPONDING);
        return requestId;
    }

    /** Handles the end of writing a response, complete or not. */
    void onResponseWritten(ResponseEnd end, boolean close) {
        enterState(ConnectionState.READING);
        stateSinceMs = context.clock().nowMs();
        if (end != ResponseEnd.COMPLETE) {
            channel.close();
        } else if (close || reader.isDiscarding()) {
            startLingering();
        } else {
            reader.adjustReading();
            channel.eventLoop().execute(this::readNext);
        }
    }

    /** Decodes the next request, then adjusts reading: decoded bytes free buffer space for more. */
    private void readNext() {
        runGuarded(() -> {
            reader.readNext();
            reader.adjustReading();
        });
    }

    /**
     * Shuts down the output. Closing a socket with unread bytes would reset the connection before the client has read
     * its response, so these bytes are read and discarded; a client resends a request that crosses the close.
     */
    private void startLingering() {
        enterState(ConnectionState.LINGERING);
        stateSinceMs = context.clock().nowMs();
        reader.discardUnread();
        reserveBytes(0);
        reader.presence().setReading(true);
        ((SocketChannel) channel).shutdownOutput();
    }

    @Override
    public void giveUpReading(String reason) {
        int reservedBefore = reservedBytes;
        context.log().detail(() -> "client given up with " + reservedBefore + " bytes buffered: " + reason);
        request.endConnectionAfterResponse();
        if (reader.upload().isActive()) {
            reader.upload().fail(503, reason);
        } else if (state == ConnectionState.AWAITING_RESPONSE || state == ConnectionState.RESPONDING) {
            reader.startDiscarding();
        } else if (state == ConnectionState.READING) {
            writer.rejectMalformed(503, reason);
        }
        reader.upload().dropReplayable();
        reserveBytes(0);
    }

    /** Whether an attempt may start for this client. */
    boolean isClientPresent() {
        // While a body is still being received, the client counts as present from the opening of the request: the last
        // byte is not forwarded before the client has been confirmed again.
        boolean uploading = reader.upload().isActive();
        return reader.presence().isPresent(uploading ? stateSinceMs : Double.NEGATIVE_INFINITY);
    }

    /**
     * Whether the client's presence has been unknown for too long: no further attempt may start for the open request.
     */
    boolean hasPresenceExpired(double nowMs) {
        return request.isOpen()
                && reader.upload().awaitsPresence()
                && reader.presence().isUnknownTooLong(nowMs, stateSinceMs);
    }

    /** Enforces the timeouts of the connection; called several times a second. */
    void sweep(double nowMs) {
        if (hasPresenceExpired(nowMs)) {
            context.events().raise(new Event.ClientPresenceUnknown(request.id()));
        }
        reader.upload().reportLastByteBound();
        if (state == ConnectionState.RESPONDING && writer.hasProgressed()) {
            markProgress();
        }
        double ageMs = nowMs - stateSinceMs;
        if (ConnectionTimeouts.isStalled(state, writer.isStreamed(), ageMs)) {
            if (state == ConnectionState.RESPONDING) {
                context.log().detail(() -> "client closed that read nothing for " + Math.round(ageMs) + " ms");
            }
            channel.close();
        } else if (isIdle() && ageMs > context.timeouts().idleTimeoutMs(hasSentRequest)) {
            endIfIdle();
        } else if (reader.isReadingHead() && ageMs > headTimeoutMs) {
            writer.rejectMalformed(408, "request too slow");
        } else {
            reader.checkBodyRate(nowMs);
        }
        reader.endBodyRateCheck(nowMs);
    }
}

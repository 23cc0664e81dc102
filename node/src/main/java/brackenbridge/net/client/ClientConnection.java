package brackenbridge.net.client;

import brackenbridge.core.Event;
import brackenbridge.core.Event.ResponseEnd;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;

/** One client's connection, on which one request is served at a time and in order; see {@link ConnectionState}. */
final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestMemoryBudget.Holder {
    private final ClientContext context;
    private final Channel channel;
    private final RequestReader reader;
    private final ResponseWriter writer;
    private final CurrentRequest request;
    private ConnectionState state = ConnectionState.READING;
    /** When the state was entered, or the client last took or sent something that counts as progress. */
    private double stateSinceMs;

    private boolean hasSentRequest;
    private int reservedBytes;

    ClientConnection(Channel channel, ClientContext context) {
        this.channel = channel;
        this.context = context;
        stateSinceMs = context.clock().nowMs();
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

    /** When the state was entered, or progress was last made in it. */
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

    /** Whether a part of a request has come and the rest has not. */
    boolean isReadingRequest() {
        return state == ConnectionState.READING && reader.hasBegunRequest();
    }

    /** Whether nothing is being read, served or written. */
    boolean isIdle() {
        return state == ConnectionState.READING && reader.isEmpty();
    }

    /** Whether the connection has been ended by the node or has ended. */
    boolean isEnding() {
        return state == ConnectionState.LINGERING || state == ConnectionState.CLOSED;
    }

    /** Whether the socket is open. */
    boolean isActive() {
        return channel.isActive();
    }

    /** Closes the socket at once. */
    void close() {
        channel.close();
    }

    /** The client has made progress in the present state. */
    void markProgress() {
        stateSinceMs = context.clock().nowMs();
    }

    @Override
    public int reservedBytes() {
        return reservedBytes;
    }

    /** Sets the bytes of requests that are buffered for this connection. */
    void reserveBytes(int bytes) {
        context.memory().adjustReservation(reservedBytes, bytes);
        reservedBytes = bytes;
    }

    /**
     * Whether its descriptor may be used for others: it is idle, or its last response has been out for a while.
     *
     * @param havingSentRequest whether connections are wanted that have sent a request, or those that never have
     */
    boolean canBeShed(boolean havingSentRequest, double nowMs) {
        boolean idle = isIdle() && hasSentRequest == havingSentRequest;
        // A close over more bytes than are discarded would reset the connection before its last response is read.
        boolean over = state == ConnectionState.LINGERING && !havingSentRequest && !reader.hasDiscardedTooMuch();
        boolean longEnough = nowMs - stateSinceMs > ConnectionTimeouts.MIN_IDLE_BEFORE_CLOSE_MS;
        return (idle || over) && longEnough && channel.isActive();
    }

    /** Reads what has come at the socket: a connection may seem idle because its turn to be read has not come. */
    void readAvailable() {
        ((AbstractNioChannel) channel).unsafe().read();
    }

    /** Ends the connection, unless a request turns out to have come. */
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
        // At once, not as the channel's last event: what is still to begin for this client comes before that.
        channel.closeFuture().addListener(f -> onDisconnected());
        context.registry().makeRoomForNext();
    }

    /** The connection has ended; a client that only ends its sending counts as disconnected as well. */
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
        writer.onWritable();
    }

    /** Reads; if the node itself fails at that, no request that was read stays without a response. */
    void runGuarded(Runnable reading) {
        try {
            reading.run();
        } catch (RuntimeException e) {
            context.events().onFault("reading a request failed", e);
            writer.respondOrFail(() -> giveUpReading("the node failed to read this request"));
        }
    }

    /** The first bytes of a request have come. */
    void onFirstBytes() {
        // The time of the first head counts from the connection's begin.
        if (hasSentRequest) {
            markProgress();
        }
    }

    /** The head of a request is complete. */
    void onRequestHead(boolean isHttp11, boolean isKeptAlive) {
        hasSentRequest = true;
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

    /** The open request ends as if its client had disconnected, and the connection can say why. */
    void withdrawRequest() {
        enterState(ConnectionState.READING);
        request.withdraw();
    }

    /** The open request, if there is one, gets its response; returns its id, or a negative one. */
    long beginResponse(double nowMs) {
        stateSinceMs = nowMs;
        reader.upload().onResponse();
        long requestId = request.beginResponse();
        enterState(ConnectionState.RESPONDING);
        return requestId;
    }

    /** All of a response has been written, or never will be. */
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

    /** The next request is decoded; what is taken out of the bytes that wait makes room for more. */
    private void readNext() {
        runGuarded(() -> {
            reader.readNext();
            reader.adjustReading();
        });
    }

    /**
     * Ends the output. Closing over unread bytes would reset the connection before the client has read its response, so
     * these are read and discarded; a client sends a request that crosses this once more.
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

    /** Whether an attempt may begin for this client. */
    boolean isClientPresent() {
        // A body that is still to come shows its client when the request opens: its last byte is not passed on before
        // the client has been seen again.
        boolean uploading = reader.upload().isActive();
        return reader.presence().isPresent(uploading ? stateSinceMs : Double.NEGATIVE_INFINITY);
    }

    /** Whether the client can't be seen and won't be soon: an attempt that has not begun for it never begins. */
    boolean hasPresenceExpired(double nowMs) {
        return request.isOpen()
                && reader.upload().awaitsPresence()
                && reader.presence().isUnknownTooLong(nowMs, stateSinceMs);
    }

    /** Ends what takes too long; called several times a second. */
    void sweep(double nowMs) {
        if (hasPresenceExpired(nowMs)) {
            context.events().raise(new Event.ClientPresenceUnknown(request.id()));
        }
        double ageMs = nowMs - stateSinceMs;
        if (ConnectionTimeouts.isStalled(state, writer.isStreaming(), ageMs)) {
            channel.close();
        } else if (isIdle() && ageMs > context.timeouts().idleTimeoutMs(hasSentRequest)) {
            endIfIdle();
        } else if (reader.isReadingHead() && ageMs > ConnectionTimeouts.HEAD_TIMEOUT_MS) {
            writer.rejectMalformed(408, "request too slow");
        } else {
            reader.checkBodyRate(nowMs);
        }
        reader.endBodyRateCheck(nowMs);
    }
}

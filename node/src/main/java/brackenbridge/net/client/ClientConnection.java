package brackenbridge.net.client;

import brackenbridge.core.Event;
import brackenbridge.core.Event.ResponseEnd;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;

/**
 * One client's connection, on which one request is served at a time and in order.
 *
 * <pre>
 *      READING --request complete--&gt; AWAITING_RESPONSE --response begins--&gt; RESPONDING
 *       |  ^                                                                  |  |
 *       |  +------------------ response written, kept alive ------------------+  |
 *       |                                                                        |
 *       +--idle for too long--&gt; LINGERING &lt;--response written, not kept alive----+
 * </pre>
 *
 * A request that is rejected, or answered by the node itself, goes from READING to RESPONDING. Every state goes to
 * CLOSED when the connection ends.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestMemoryBudget.Holder {
    /** A head must be complete this long after its first byte, the first one after the connection was accepted. */
    private static final double HEAD_TIMEOUT_MS = 2500;
    /** A client must take some of a streamed response within this time. */
    private static final double STALLED_STREAM_TIMEOUT_MS = 20_000;
    /** A client must take any other response within this time. */
    private static final double STALLED_RESPONSE_TIMEOUT_MS = 5000;
    /** A connection without a request is kept this long. */
    private static final double IDLE_TIMEOUT_MS = 60_000;
    /** And this long once clients have half of the descriptors that they may have. */
    private static final double CROWDED_IDLE_TIMEOUT_MS = 3000;
    /** After a last response, what the client still sends is read and discarded for this long. */
    private static final double LINGER_TIMEOUT_MS = 1000;
    /** A connection is not shed before it has been idle this long: its request may be on the way already. */
    private static final double MIN_IDLE_BEFORE_CLOSE_MS = 100;

    private static final long NO_REQUEST = -1;

    /** What a connection does at the moment. */
    private enum State {
        /** Waits for a request, or has a part of one. */
        READING,
        /** A request is open and has no response yet. */
        AWAITING_RESPONSE,
        /** A response is being written. */
        RESPONDING,
        /** The output is shut down; what the client still sends is read and discarded. */
        LINGERING,
        /** The connection has ended. */
        CLOSED
    }

    private final ClientContext context;
    private final Channel channel;
    private final RequestReader reader;
    private final ResponseWriter writer;
    private State state = State.READING;
    /** When the state was entered, or the client last took or sent something that counts as progress. */
    private double stateSinceMs;
    /** The open request, which stays known here after its client has disconnected. */
    private long requestId = NO_REQUEST;
    /** The correlation id of the open request. */
    private String correlationId;

    private boolean keepAlive;
    private boolean http11;
    private boolean hasSentRequest;
    private int reservedBytes;

    ClientConnection(Channel channel, ClientContext context) {
        this.channel = channel;
        this.context = context;
        stateSinceMs = context.clock().nowMs();
        reader = new RequestReader(this, context, channel, stateSinceMs);
        writer = new ResponseWriter(this, context, channel);
    }

    private void enter(State next) {
        if (state != State.CLOSED) {
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

    /** The open request's id; negative if there is none. */
    long requestId() {
        return requestId;
    }

    /** Whether a request is open. */
    boolean hasOpenRequest() {
        return requestId >= 0;
    }

    /** Whether the client speaks HTTP/1.1, by its latest request. */
    boolean isHttp11() {
        return http11;
    }

    /** Whether the connection is kept for a next request. */
    boolean isKeptAlive() {
        return keepAlive;
    }

    /** The connection ends behind the response in progress, or the next one. */
    void endAfterResponse() {
        keepAlive = false;
    }

    /** Whether no request is open and no response is being written. */
    boolean isReading() {
        return state == State.READING;
    }

    /** Whether a part of a request has come and the rest has not. */
    boolean isReadingRequest() {
        return state == State.READING && reader.hasBegunRequest();
    }

    /** Whether nothing is being read, served or written. */
    boolean isIdle() {
        return state == State.READING && reader.isEmpty();
    }

    /** Whether the connection has been ended by the node or has ended. */
    boolean isEnding() {
        return state == State.LINGERING || state == State.CLOSED;
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
    void touch() {
        stateSinceMs = context.clock().nowMs();
    }

    @Override
    public int reservedBytes() {
        return reservedBytes;
    }

    /** Sets the bytes of requests that are buffered for this connection. */
    void reserveBytes(int bytes) {
        context.memory().change(reservedBytes, bytes);
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
        boolean over = state == State.LINGERING && !havingSentRequest && !reader.hasDiscardedTooMuch();
        return (idle || over) && nowMs - stateSinceMs > MIN_IDLE_BEFORE_CLOSE_MS && channel.isActive();
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
        enter(State.CLOSED);
        reserveBytes(0);
        context.openRequests().releaseCorrelationId(correlationId);
        if (hasOpenRequest()) {
            context.openRequests().close(requestId);
            context.events().raise(new Event.ClientDisconnected(requestId));
        }
        reader.upload().end(false);
        writer.onDisconnected();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        guarded(() -> reader.onBytes((ByteBuf) message));
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
    void guarded(Runnable reading) {
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
            touch();
        }
    }

    /** The head of a request is complete. */
    void onRequest(boolean isHttp11, boolean isKeptAlive) {
        hasSentRequest = true;
        http11 = isHttp11;
        keepAlive = isKeptAlive;
    }

    /** Opens the request that has been read, whose correlation id is reserved; returns its new id. */
    long openRequest(String reservedCorrelationId) {
        correlationId = reservedCorrelationId;
        stateSinceMs = context.clock().nowMs();
        requestId = context.openRequests().open(this);
        enter(State.AWAITING_RESPONSE);
        return requestId;
    }

    /** The open request ends as if its client had disconnected, and the connection can say why. */
    void disconnectRequest() {
        long disconnected = requestId;
        requestId = NO_REQUEST;
        enter(State.READING);
        context.openRequests().close(disconnected);
        context.events().raise(new Event.ClientDisconnected(disconnected));
    }

    /** The open request, if there is one, gets its response; returns its id, or a negative one. */
    long beginResponse(double nowMs) {
        stateSinceMs = nowMs;
        reader.upload().onResponse();
        long respondedRequest = requestId;
        requestId = NO_REQUEST;
        context.openRequests().releaseCorrelationId(correlationId);
        correlationId = null;
        enter(State.RESPONDING);
        return respondedRequest;
    }

    /** All of a response has been written, or never will be. */
    void onResponseWritten(ResponseEnd end, boolean close) {
        enter(State.READING);
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
        guarded(() -> {
            reader.readNext();
            reader.adjustReading();
        });
    }

    /**
     * Ends the output. Closing over unread bytes would reset the connection before the client has read its response, so
     * these are read and discarded; a client sends a request that crosses this once more.
     */
    private void startLingering() {
        enter(State.LINGERING);
        stateSinceMs = context.clock().nowMs();
        reader.discardUnread();
        reserveBytes(0);
        reader.presence().setReading(true);
        ((SocketChannel) channel).shutdownOutput();
    }

    @Override
    public void giveUpReading(String reason) {
        keepAlive = false;
        if (reader.upload().isActive()) {
            reader.upload().fail(503, reason);
        } else if (state == State.AWAITING_RESPONSE || state == State.RESPONDING) {
            reader.startDiscarding();
        } else if (state == State.READING) {
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
    boolean isHiddenFromWaiting(double nowMs) {
        return hasOpenRequest()
                && reader.upload().awaitsPresence()
                && reader.presence().isHiddenTooLong(nowMs, stateSinceMs);
    }

    /** Ends what takes too long; called several times a second. */
    void sweep(double nowMs) {
        if (isHiddenFromWaiting(nowMs)) {
            context.events().raise(new Event.ClientPresenceUnknown(requestId));
        }
        double ageMs = nowMs - stateSinceMs;
        if (hasStalled(ageMs)) {
            channel.close();
        } else if (isIdle() && ageMs > idleLimitMs()) {
            endIfIdle();
        } else if (reader.isReadingHead() && ageMs > HEAD_TIMEOUT_MS) {
            writer.rejectMalformed(408, "request too slow");
        } else {
            reader.checkPace(nowMs);
        }
        reader.endPaceCheck(nowMs);
    }

    private boolean hasStalled(double ageMs) {
        if (isEnding()) {
            return ageMs > LINGER_TIMEOUT_MS;
        }
        double limitMs = writer.isStreaming() ? STALLED_STREAM_TIMEOUT_MS : STALLED_RESPONSE_TIMEOUT_MS;
        return state == State.RESPONDING && ageMs > limitMs;
    }

    private double idleLimitMs() {
        if (context.closePolicy().closesWhenIdle()) {
            return MIN_IDLE_BEFORE_CLOSE_MS;
        }
        if (!hasSentRequest) {
            return HEAD_TIMEOUT_MS;
        }
        return context.descriptors().isCrowdedByClients() ? CROWDED_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
    }
}

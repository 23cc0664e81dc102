package brackenbridge.net.upstream;

import brackenbridge.core.connection.EndpointIdentity;
import brackenbridge.counters.Counter;
import brackenbridge.counters.RejectionReason;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpResponse;
import brackenbridge.transport.ConnectAttempt;
import brackenbridge.transport.SocketErrors;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** A connection to a server, which carries one attempt at a time. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements ConnectAttempt.Listener {
    /** A connection that breaks within this time after the start of an attempt may have been closed before it. */
    private static final double STALE_CONNECTION_WINDOW_MS = 50;

    private final long id;
    private final EndpointIdentity endpoint;
    private final UpstreamConnections upstream;
    private final UpstreamContext context;
    private final AttemptWriter writer;
    private final ResponseReader reader;
    private Channel channel;
    /** The attempt in flight; null if there is none, or its response is being streamed. */
    private RunningAttempt attempt;
    /** Whether the server has shut down its output in order. */
    private boolean inputEnded;
    /** Cause of a failed read; null if none failed. */
    private Throwable readFailure;
    /** Cause of a failed write; null if none failed. */
    private Throwable writeFailure;

    UpstreamConnection(long id, EndpointIdentity endpoint, UpstreamConnections upstream, UpstreamContext context) {
        this.id = id;
        this.endpoint = endpoint;
        this.upstream = upstream;
        this.context = context;
        writer = new AttemptWriter(this, context);
        reader = new ResponseReader(this, upstream, context);
    }

    /** Starts to connect; the channel stays null if no socket could be created. */
    void open(Bootstrap bootstrap, InetSocketAddress address) {
        channel = ConnectAttempt.start(bootstrap, context.loop(), address, this);
    }

    long id() {
        return id;
    }

    String host() {
        return endpoint.host();
    }

    Channel channel() {
        return channel;
    }

    @Override
    public void onConnected() {
        context.counters().count(Counter.CONNECTIONS_OPENED);
        // Deferred, as when an attempt is queued: the disconnect of the waiting client may have arrived in the same
        // turn.
        context.loop().execute(() -> upstream.onConnected(id));
    }

    @Override
    public void onConnectFailed(Throwable cause) {
        if (SocketErrors.isLocal(cause)) {
            upstream.removeConnection(id);
            upstream.connectFailures().warn(endpoint, cause);
            upstream.onLocalFailure(id);
        } else {
            upstream.onConnectionEnded(id);
        }
    }

    @Override
    public void onSocketUnavailable(Throwable cause) {
        upstream.connectFailures().warn(endpoint, cause);
        if (SocketErrors.isResourceShortage(cause)) {
            upstream.makeRoom();
        }
        upstream.onLocalFailure(id);
    }

    /** Starts the attempt on this connection if it may still start. */
    SendResult send(RunningAttempt next, AttemptStartCheck startCheck) {
        writer.markProgress();
        double timeLeftMs = startCheck.timeLeftMs(next.requestId(), next.attempt());
        if (timeLeftMs <= 0) {
            return SendResult.EXPIRED;
        }
        if (!startCheck.isClientPresent(next.requestId())) {
            return SendResult.CLIENT_UNCONFIRMED;
        }
        attempt = next;
        next.setConnection(this);
        writer.write(next, timeLeftMs);
        return SendResult.STARTED;
    }

    boolean carries(RunningAttempt candidate) {
        return attempt == candidate;
    }

    /** Detaches the attempt from the connection; returns null if there is none. */
    RunningAttempt detachAttempt() {
        RunningAttempt detached = attempt;
        attempt = null;
        return detached;
    }

    /** Stops sending a streamed request body. */
    void endRequestStreaming() {
        writer.endStreaming();
    }

    /** Closes the connection of an attempt that has been cancelled. */
    void cancelAttempt() {
        RunningAttempt cancelled = attempt;
        if (cancelled != null) {
            context.log().detail(() -> describe(cancelled) + ", cancelled");
        }
        attempt = null;
        writer.endStreaming();
        close();
    }

    void onWriteFailed(Throwable cause) {
        writeFailure = cause;
        channel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (attempt != null && channel.isWritable()) {
            writer.resumeBody();
        }
    }

    /** Streams the response that is being received; returns false if that is impossible. */
    boolean streamResponse() {
        return reader.streamNow();
    }

    /** The attempt in flight; null if there is none. */
    RunningAttempt attempt() {
        return attempt;
    }

    /** Ends an attempt whose request or response makes no progress. */
    void sweep(double nowMs) {
        if (!reader.sweep(nowMs) && writer.isStalled(attempt, nowMs)) {
            reader.rejectResponse(RejectionReason.TOO_SLOW, "server stopped accepting the streamed request body");
        }
    }

    /** Returns the connection to the pool after a short delay, or closes it if it can't be reused. */
    void reuseOrClose(HttpResponse response, boolean unusable) {
        if (response.keepAlive() && !unusable) {
            long delayMs = (long) upstream.reuseDelay().delayMs(context.clock().nowMs());
            context.loop().schedule(this::returnToPool, delayMs, TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }

    /** An attempt and how far its request and response are, for the log. */
    private String describe(RunningAttempt described) {
        return "attempt " + described.attempt() + " of request " + described.correlationId() + " at " + host()
                + (described.isWritten() ? ", written" : ", not written completely") + ", "
                + (reader.hasBegun() ? reader.bodyBytes() + " bytes of its response's body" : "no response");
    }

    /** Handles bytes that do not belong to a response. */
    void onLateBytes() {
        upstream.reuseDelay().onLateBytes(context.clock().nowMs());
    }

    private void returnToPool() {
        if (channel.isActive()) {
            upstream.release(id);
        }
    }

    /** Closes the connection and removes it from the pool. */
    void close() {
        upstream.onConnectionEnded(id);
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        ByteBuf in = (ByteBuf) msg;
        try {
            if (reader.isStreaming()) {
                reader.readStreamed(in);
            } else if (isReadUnexpected()) {
                // Further input on this connection can't be trusted.
                onLateBytes();
                close();
            } else {
                reader.read(in);
            }
        } catch (HttpException e) {
            reader.rejectResponse(RejectionReason.ofStatus(e.status()), e.getMessage());
        } finally {
            in.release();
        }
    }

    /** Whether no response can be due: no attempt is in flight, or its request has not been completely written. */
    private boolean isReadUnexpected() {
        return attempt == null || !attempt.isWritten() && !writer.isStreaming();
    }

    /** Whether the end of the connection completes a response. */
    private boolean endsCompleteResponse() {
        return inputEnded && readFailure == null && reader.isCompleteAtEnd();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            inputEnded = true;
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        reader.releaseBufferedBytes();
        if (reader.isStreaming()) {
            reader.onConnectionEnd(endsCompleteResponse());
        }
        if (attempt == null) {
            upstream.onConnectionEnded(id);
        } else if (endsCompleteResponse()) {
            reader.completeResponse(true);
        } else {
            endAttempt(detachAttempt());
        }
    }

    /** Ends an attempt whose connection ended before its response was complete. */
    private void endAttempt(RunningAttempt ended) {
        writer.endStreaming();
        Throwable failure = writeFailure == null ? readFailure : writeFailure;
        if (!ended.isWritten() && SocketErrors.isLocal(failure)) {
            upstream.onConnectionEnded(id);
            upstream.connectFailures().warn(endpoint, failure);
            upstream.attempts().failLocally(ended);
            return;
        }
        boolean staleSuspected =
                !reader.hasBegun() && context.clock().nowMs() - writer.lastProgressMs() < STALE_CONNECTION_WINDOW_MS;
        if (staleSuspected && upstream.onBrokenAtOnce(id)) {
            context.counters().count(Counter.CONNECTIONS_STALE);
        }
        context.log()
                .detail(() -> describe(ended) + ", lost: "
                        + (failure == null ? "the server ended the connection" : failure.getMessage()));
        upstream.onConnectionEnded(id);
        upstream.attempts().connectionLost(ended);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // Guards clients against truncated responses: a reset never completes a response, however it is framed.
        readFailure = cause;
        if (!(cause instanceof IOException)) {
            context.log().error("unexpected exception on a connection to " + endpoint.host(), cause);
        }
        ctx.close();
    }
}

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

/** One connection to a server, which carries one attempt at a time. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements ConnectAttempt.Listener {
    /**
     * How long a connection is not reused after a response. Guards the next attempt against bytes that a server still
     * sends behind its response: they would be read as the next response.
     */
    private static final long REUSE_DELAY_MS = 5;
    /** A connection that breaks so soon after an attempt started on it may have been closed before. */
    private static final double STALE_CONNECTION_WINDOW_MS = 50;

    private final long id;
    private final EndpointIdentity endpoint;
    private final UpstreamConnections upstream;
    private final UpstreamContext context;
    private final AttemptWriter writer;
    private final ResponseReader reader;
    private Channel channel;
    /** The attempt that is out on it; null if none is, or its response is being streamed. */
    private RunningAttempt attempt;
    /** The server has ended its sending in order. */
    private boolean inputEnded;
    /** Why reading from it failed; null if it didn't. */
    private Throwable readFailure;
    /** Why writing to it failed; null if it didn't. */
    private Throwable writeFailure;

    UpstreamConnection(long id, EndpointIdentity endpoint, UpstreamConnections upstream, UpstreamContext context) {
        this.id = id;
        this.endpoint = endpoint;
        this.upstream = upstream;
        this.context = context;
        writer = new AttemptWriter(this, context);
        reader = new ResponseReader(this, upstream, context);
    }

    /** Starts to connect; the channel stays null if no socket could be made. */
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
        // As when an attempt is queued: the end of the client that waits for it may be there as well.
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

    /** Takes the attempt off the connection; null if there is none. */
    RunningAttempt detachAttempt() {
        RunningAttempt detached = attempt;
        attempt = null;
        return detached;
    }

    /** Nothing more of a streamed request body is sent. */
    void endRequestStreaming() {
        writer.endStreaming();
    }

    /** Closes the connection under its attempt, which has been cancelled. */
    void cancelAttempt() {
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
            writer.onWritable();
        }
    }

    /** Ends an attempt whose request or response makes no progress. */
    void sweep(double nowMs) {
        if (!reader.sweep(nowMs) && writer.isStalled(attempt, nowMs)) {
            reader.rejectResponse(RejectionReason.TOO_SLOW, "takes no more of a long request body");
        }
    }

    /** Returns the connection to the pool after a while, or closes it if it can't be used again. */
    void reuseOrClose(HttpResponse response, boolean extraBytes) {
        if (response.keepAlive() && !extraBytes) {
            context.loop().schedule(this::returnToPool, REUSE_DELAY_MS, TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }

    private void returnToPool() {
        if (channel.isActive()) {
            upstream.release(id);
        }
    }

    /** Closes the connection; nothing more is sent on it. */
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
                // What follows on this connection can't be trusted.
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

    /** Whether no response can be due: no attempt is out, or not all of its request has been written. */
    private boolean isReadUnexpected() {
        return attempt == null || !attempt.isWritten() && !writer.isStreaming();
    }

    /** Whether the end of the connection is that of a complete response. */
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

    /** The connection has ended under the attempt, before the end of a response. */
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
        upstream.onConnectionEnded(id);
        upstream.attempts().connectionLost(ended);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // Guards clients against half a response: a reset is no end, whatever the response says of its end.
        readFailure = cause;
        if (!(cause instanceof IOException)) {
            context.log().error("fault on a connection to " + endpoint.host(), cause);
        }
        ctx.close();
    }
}

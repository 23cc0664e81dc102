package brackenbridge.net.upstream;

import brackenbridge.clock.Clock;
import brackenbridge.core.Event;
import brackenbridge.core.Event.ServerReply;
import brackenbridge.core.balancing.LoadReport;
import brackenbridge.counters.Counter;
import brackenbridge.counters.RejectionReason;
import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpResponse;
import brackenbridge.http.LoadReportParser;
import brackenbridge.http.ResponseDecoder;
import brackenbridge.net.channel.BodyStream;
import brackenbridge.net.channel.StreamedResponse;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Reads the responses on one connection, one after another, and streams long ones to the client. */
final class ResponseReader implements BodyStream.Source {
    /** Longest pause in a response that is buffered, or in waiting for a client to take a streamed one. */
    private static final double RESPONSE_STALL_TIMEOUT_MS = 1000;
    /** Longest pause in a streamed response that its client is ready to take. */
    private static final double STREAM_STALL_TIMEOUT_MS = 10_000;
    /** A long response is streamed once its first part is complete, or so long after its latest bytes. */
    private static final double FIRST_PART_TIMEOUT_MS = 200;

    private static final int OK = 200;

    private final UpstreamConnection connection;
    private final UpstreamConnections upstream;
    private final UpstreamContext context;
    private final Clock clock;
    private final ResponseDecoder decoder = new ResponseDecoder();
    /** The body of the response that is being streamed; null if none is. */
    private BodyStream streamedBody;
    /** When the latest bytes of the response came, or its stream was resumed; 0 before them. */
    private double lastProgressMs;
    /** The part of the shared bound on buffered bytes that this response uses. */
    private int bufferedBytes;

    ResponseReader(UpstreamConnection connection, UpstreamConnections upstream, UpstreamContext context) {
        this.connection = connection;
        this.upstream = upstream;
        this.context = context;
        this.clock = context.clock();
    }

    boolean isStreaming() {
        return streamedBody != null;
    }

    /** Whether bytes of a response have come that is not complete yet. */
    boolean hasBegun() {
        return lastProgressMs != 0;
    }

    /** Whether what was read so far is a complete response if the connection ends in order here. */
    boolean isCompleteAtEnd() {
        return decoder.onConnectionEnd();
    }

    /** Takes what was read from the connection while an attempt is out on it, or its response is being streamed. */
    void read(ByteBuf in) throws HttpException {
        if (decoder.decode(in)) {
            completeResponse(in.isReadable());
        } else if (decoder.isLong()) {
            readLongResponse(in);
        } else {
            lastProgressMs = decoder.hasBegun() ? clock.nowMs() : 0;
            setBufferedBytes(decoder.bufferedBytes());
            if (upstream.responses().isOverBufferLimit()) {
                // Guards memory against many long responses at once.
                rejectResponse(RejectionReason.OVERSIZED, "too much is buffered of all responses");
            }
        }
    }

    private void readLongResponse(ByteBuf in) {
        if (decoder.status() == OK) {
            startStreaming();
            readStreamed(in);
        } else {
            // The body of an error response of such length is of no use to the client.
            completeResponse(true);
        }
    }

    /** The response is complete; with {@code extraBytes} the connection can't be used for another. */
    void completeResponse(boolean extraBytes) {
        HttpResponse response = decoder.take();
        RunningAttempt attempt = connection.detachAttempt();
        lastProgressMs = 0;
        // After a response that came before the complete request was sent, the rest would be read as the next request.
        boolean early = !attempt.isWritten();
        connection.endRequestStreaming();
        setBufferedBytes(0);
        upstream.attempts().remove(attempt);
        connection.reuseOrClose(response, extraBytes || early);
        raiseAnswered(attempt, ResponseClassifier.classify(response), response, response);
    }

    private void raiseAnswered(RunningAttempt attempt, ServerReply reply, Object message, HttpResponse head) {
        context.events()
                .raise(new Event.AttemptAnswered(
                        attempt.requestId(), attempt.attempt(), reply, message, loadReport(head)));
    }

    private LoadReport loadReport(HttpResponse response) {
        return upstream.readsLoadReports()
                ? LoadReportParser.parse(response.headers().get("X-Backend-Load"))
                : null;
    }

    /**
     * Closes the connection, as nothing that comes on it can be trusted any more: the attempt has failed and may have
     * been executed. The balancer gets a lost connection, which says less about a server than its own error status.
     */
    void rejectResponse(RejectionReason reason, String detail) {
        setBufferedBytes(0);
        RunningAttempt attempt = connection.detachAttempt();
        connection.endRequestStreaming();
        context.counters().count(Counter.RESPONSES_MALFORMED);
        context.counters().countRejection(RejectionReason.Port.RESPONSES, reason);
        context.log().warn("malformed response from " + connection.host() + ", " + reason.key() + ": " + detail);
        connection.close();
        if (attempt != null) {
            upstream.attempts().connectionLost(attempt);
        }
    }

    /** Releases this response's part of the shared bound on buffered bytes. */
    void releaseBufferedBytes() {
        setBufferedBytes(0);
    }

    private void setBufferedBytes(int bytes) {
        upstream.responses().addBufferedBytes(bytes - bufferedBytes);
        bufferedBytes = bytes;
    }

    /** Ends the wait for a response that makes no progress; returns whether it did. */
    boolean sweep(double nowMs) {
        if (lastProgressMs <= 0) {
            return false;
        }
        double pauseMs = nowMs - lastProgressMs;
        if (decoder.declaresLongBody() && decoder.status() == OK && pauseMs > FIRST_PART_TIMEOUT_MS) {
            startStreaming();
            return true;
        }
        if (pauseMs > RESPONSE_STALL_TIMEOUT_MS) {
            rejectResponse(RejectionReason.TOO_SLOW, "stopped before its end");
            return true;
        }
        return false;
    }

    /** Truncates the streamed response if its client doesn't take it, or its server doesn't continue it. */
    void sweepStreaming(double nowMs) {
        double pauseMs = nowMs - lastProgressMs;
        if (!streamedBody.isConnected() && pauseMs > RESPONSE_STALL_TIMEOUT_MS) {
            truncate("no client takes it");
        } else if (connection.channel().config().isAutoRead() && pauseMs > STREAM_STALL_TIMEOUT_MS) {
            truncate("stopped before its end");
        }
    }

    /** Head and framing are valid: from now on the response goes to the client piece by piece. */
    private void startStreaming() {
        RunningAttempt attempt = connection.detachAttempt();
        connection.endRequestStreaming();
        setBufferedBytes(0);
        upstream.attempts().remove(attempt);
        lastProgressMs = clock.nowMs();
        streamedBody = new BodyStream(this);
        upstream.responses().addStreaming(this);
        context.counters().count(Counter.RESPONSES_STREAMED);
        streamedBody.add(Unpooled.wrappedBuffer(
                decoder.stream((from, length) -> streamedBody.add(from.readRetainedSlice(length)))));
        HttpResponse head = decoder.part(null);
        raiseAnswered(attempt, ServerReply.SERVED, new StreamedResponse(head, contentLength(), streamedBody), head);
    }

    private long contentLength() {
        try {
            return decoder.declaredLength();
        } catch (HttpException e) {
            return HttpEncoder.CHUNKED;
        }
    }

    @Override
    public void setReading(boolean on) {
        lastProgressMs = clock.nowMs();
        connection.channel().config().setAutoRead(on);
    }

    @Override
    public void onCancelled() {
        // The client has disconnected: the server is not at fault, so nothing counts as truncated.
        upstream.responses().removeStreaming(this);
        streamedBody = null;
        connection.close();
    }

    /** Takes what was read of a streamed response. */
    void readStreamed(ByteBuf in) {
        try {
            lastProgressMs = clock.nowMs();
            if (decoder.decode(in)) {
                endStreaming(true);
                HttpResponse response = decoder.take();
                lastProgressMs = 0;
                connection.reuseOrClose(response, in.isReadable());
            } else {
                streamedBody.flush();
            }
        } catch (HttpException e) {
            truncate(e.getMessage());
        }
    }

    /** The connection has ended while the response was being streamed. */
    void onConnectionEnd(boolean responseComplete) {
        if (responseComplete) {
            endStreaming(true);
        } else {
            truncate("its connection ended");
        }
    }

    /** Ends the stream without the end of the response, so that its client can tell that it is incomplete. */
    private void truncate(String detail) {
        context.counters().count(Counter.RESPONSES_TRUNCATED);
        context.log().warn("long answer of " + connection.host() + " cut: " + detail);
        endStreaming(false);
        connection.close();
    }

    private void endStreaming(boolean complete) {
        upstream.responses().removeStreaming(this);
        connection.channel().config().setAutoRead(true);
        BodyStream ending = streamedBody;
        streamedBody = null;
        ending.end(complete);
    }
}

package brackenbridge.net.upstream;

import brackenbridge.clock.Clock;
import brackenbridge.core.Event;
import brackenbridge.core.Event.ResponseKind;
import brackenbridge.core.ResponseStreamingPolicy;
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
import java.util.concurrent.TimeUnit;

/** Reads the responses on one connection, one after another, and streams long ones to the client. */
final class ResponseReader implements BodyStream.Source {
    /** Maximum pause in a response that is not long, or in waiting for a client to start reading a streamed one. */
    private static final double RESPONSE_STALL_TIMEOUT_MS = 1000;
    /** Maximum pause in a long response while its client is ready to read. */
    private static final double STREAM_STALL_TIMEOUT_MS = 10_000;

    private static final int OK = 200;

    private final UpstreamConnection connection;
    private final UpstreamConnections upstream;
    private final UpstreamContext context;
    private final Clock clock;
    private final ResponseDecoder decoder = new ResponseDecoder();
    /** The body of the response that is being streamed; null if there is none. */
    private BodyStream streamedBody;
    /** When the latest bytes of the response were read, or its stream was resumed; 0 before the first byte. */
    private double lastProgressMs;
    /** When the latest bytes of the response were read. */
    private double lastReadMs;
    /** When the reducer was told that a response that may be long is being received; 0 before. */
    private double startedMs;
    /** Whether the reducer was told that the response is long. */
    private boolean knownLong;
    /** Until when the client of the response that is being streamed waits for its first bytes. */
    private double clientDeadlineMs;
    /** Bytes of this response that count against the shared buffer limit. */
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

    /** Whether a response has been received in part. */
    boolean hasBegun() {
        return lastProgressMs != 0;
    }

    /** How much of the response's body has been received. */
    long bodyBytes() {
        return decoder.bodyBytes();
    }

    /** Whether the bytes read so far are a complete response if the server closes the connection in order now. */
    boolean isCompleteAtEnd() {
        return decoder.onConnectionEnd();
    }

    /** Decodes bytes of the response to the attempt in flight. */
    void read(ByteBuf in) throws HttpException {
        lastReadMs = clock.nowMs();
        if (decoder.decode(in)) {
            completeResponse(hasLateBytes(in));
        } else if (decoder.isBodyBufferFull()) {
            readLongResponse(in);
        } else {
            lastProgressMs = decoder.isMessageStarted() ? lastReadMs : 0;
            setBufferedBytes(decoder.bufferedBytes());
            reportStart();
            if (upstream.responses().isOverBufferLimit()) {
                // Guards memory against many long responses at the same time.
                rejectResponse(RejectionReason.OVERSIZED, "incomplete responses together exceed the buffer limit");
            }
        }
    }

    /** Tells the reducer of a response that may be long, and once more if it turns out to be. */
    private void reportStart() {
        boolean isLong = decoder.declaresLongBody();
        boolean maybeLong = isLong || decoder.isLengthUnknown();
        if (!maybeLong || decoder.status() != OK || startedMs > 0 && knownLong == isLong) {
            return;
        }
        startedMs = startedMs > 0 ? startedMs : lastProgressMs;
        knownLong = knownLong || isLong;
        RunningAttempt attempt = connection.attempt();
        context.events().raise(new Event.ResponseStarted(attempt.requestId(), attempt.attempt(), knownLong));
    }

    /** Streams the response that is being received, if it is long or likely to be; returns whether it is streamed. */
    boolean streamNow() {
        boolean maybeLong = startedMs > 0 && streamedBody == null;
        if (maybeLong && (knownLong || isLikelyLong(clock.nowMs()))) {
            startStreaming();
            return true;
        }
        return false;
    }

    private boolean isLikelyLong(double nowMs) {
        return ResponseStreamingPolicy.isLikelyLong(decoder.bodyBytes(), nowMs - startedMs);
    }

    private void readLongResponse(ByteBuf in) {
        if (decoder.status() == OK) {
            startStreaming();
            readStreamed(in);
        } else {
            // The client does not get the body of an error response, so its rest is not read.
            completeResponse(true);
        }
    }

    /** Completes the attempt; the connection can't be reused if it is {@code unusable} for other responses. */
    void completeResponse(boolean unusable) {
        HttpResponse response = decoder.takeResponse();
        RunningAttempt attempt = connection.detachAttempt();
        resetProgress();
        // The server responded before it had the complete request: on a reused connection, it would read the rest of
        // that request as the next one.
        boolean early = !attempt.isWritten();
        connection.endRequestStreaming();
        setBufferedBytes(0);
        upstream.attempts().remove(attempt);
        connection.reuseOrClose(response, unusable || early);
        raiseAnswered(attempt, ResponseClassifier.classify(response), response, response);
    }

    /** Whether more has come than the response. */
    private boolean hasLateBytes(ByteBuf in) {
        if (in.isReadable()) {
            connection.onLateBytes();
        }
        return in.isReadable();
    }

    private void resetProgress() {
        lastProgressMs = 0;
        startedMs = 0;
        knownLong = false;
    }

    private void raiseAnswered(RunningAttempt attempt, ResponseKind reply, Object message, HttpResponse head) {
        context.events()
                .raise(new Event.ResponseReceived(
                        attempt.requestId(), attempt.attempt(), reply, message, loadReport(head)));
    }

    private LoadReport loadReport(HttpResponse response) {
        return upstream.readsLoadReports()
                ? LoadReportParser.parse(response.headers().get("X-Backend-Load"))
                : null;
    }

    /**
     * Closes the connection, as its input can't be trusted any more: the attempt has failed and may have been executed.
     * The balancer receives a lost connection, which is weaker evidence against a server than an error status.
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

    /** Releases this response's bytes from the shared buffer limit. */
    void releaseBufferedBytes() {
        setBufferedBytes(0);
    }

    private void setBufferedBytes(int bytes) {
        upstream.responses().addBufferedBytes(bytes - bufferedBytes);
        bufferedBytes = bytes;
    }

    /** Ends the wait for a buffered response that makes no progress; returns whether it did. */
    boolean sweep(double nowMs) {
        if (lastProgressMs <= 0) {
            return false;
        }
        if (nowMs - lastProgressMs <= RESPONSE_STALL_TIMEOUT_MS) {
            return false;
        }
        if (!streamNow()) {
            rejectResponse(
                    RejectionReason.TOO_SLOW, "no byte received for " + (long) RESPONSE_STALL_TIMEOUT_MS + " ms");
        }
        return true;
    }

    /** Truncates the streamed response if its client does not start reading it, or its server stops sending. */
    void sweepStreaming(double nowMs) {
        double pauseMs = nowMs - lastProgressMs;
        if (!streamedBody.isConnected() && pauseMs > RESPONSE_STALL_TIMEOUT_MS) {
            truncate("not connected to its client after " + (long) RESPONSE_STALL_TIMEOUT_MS + " ms");
            return;
        }
        boolean mayPause = mayPause() || nowMs < clientDeadlineMs;
        double timeoutMs = mayPause ? STREAM_STALL_TIMEOUT_MS : RESPONSE_STALL_TIMEOUT_MS;
        if (connection.channel().config().isAutoRead() && pauseMs > timeoutMs) {
            truncate("no byte received for " + (long) timeoutMs + " ms");
        }
    }

    /** Starts to stream the response to the client; its head and framing are valid. */
    private void startStreaming() {
        RunningAttempt attempt = connection.detachAttempt();
        connection.endRequestStreaming();
        setBufferedBytes(0);
        upstream.attempts().remove(attempt);
        streamedBody = new BodyStream(this);
        if (decoder.isLengthUnknown()) {
            clientDeadlineMs = attempt.clientDeadlineMs();
            schedulePauseCheck();
        }
        upstream.responses().addStreaming(this);
        context.counters().count(Counter.RESPONSES_STREAMED);
        streamedBody.add(Unpooled.wrappedBuffer(
                decoder.streamBody((from, length) -> streamedBody.add(from.readRetainedSlice(length)))));
        HttpResponse head = decoder.withBody(null);
        raiseAnswered(attempt, ResponseKind.SERVED, new StreamedResponse(head, contentLength(), streamedBody), head);
    }

    /** Whether the response may pause like a long one: it is long, or enough of it has come to expect that. */
    private boolean mayPause() {
        return !decoder.isLengthUnknown() || ResponseStreamingPolicy.mayPause(decoder.bodyBytes());
    }

    /** Guards clients against waiting for the rest of a short response that its server never ends. */
    private void schedulePauseCheck() {
        BodyStream checked = streamedBody;
        double delayMs =
                Math.max(0, clientDeadlineMs - clock.nowMs()) + ResponseStreamingPolicy.MAX_PAUSE_AT_DEADLINE_MS;
        context.loop()
                .schedule(
                        () -> {
                            if (streamedBody == checked) {
                                checkPause();
                            }
                        },
                        (long) delayMs,
                        TimeUnit.MILLISECONDS);
    }

    private void checkPause() {
        double pauseMs = clock.nowMs() - lastReadMs;
        if (!mayPause() && pauseMs >= ResponseStreamingPolicy.MAX_PAUSE_AT_DEADLINE_MS) {
            truncate("no byte received for " + (long) pauseMs + " ms, beyond the client's time");
        }
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
        // The client has disconnected: the server is not at fault, so the response does not count as truncated.
        upstream.responses().removeStreaming(this);
        streamedBody = null;
        connection.close();
    }

    /** Decodes bytes of the streamed response. */
    void readStreamed(ByteBuf in) {
        try {
            lastReadMs = clock.nowMs();
            lastProgressMs = lastReadMs;
            if (decoder.decode(in)) {
                endStreaming(true);
                HttpResponse response = decoder.takeResponse();
                resetProgress();
                connection.reuseOrClose(response, hasLateBytes(in));
            } else {
                streamedBody.flush();
            }
        } catch (HttpException e) {
            truncate(e.getMessage());
        }
    }

    /** Handles the end of the connection while the response is being streamed. */
    void onConnectionEnd(boolean responseComplete) {
        if (responseComplete) {
            endStreaming(true);
        } else {
            truncate("the connection ended before the response");
        }
    }

    /** Ends the stream before the end of the response, in a way that tells the client that it is incomplete. */
    private void truncate(String detail) {
        context.counters().count(Counter.RESPONSES_TRUNCATED);
        context.log().warn("truncated the streamed response of " + connection.host() + ": " + detail);
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

package brackenbridge.net.upstream;

import brackenbridge.clock.Clock;
import brackenbridge.core.Event;
import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpRequest;
import brackenbridge.net.channel.BodyStream;
import brackenbridge.net.channel.EventSink;
import brackenbridge.net.channel.StreamBudget;
import brackenbridge.net.channel.StreamedRequest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/** Writes attempts on one connection, one after another, and streams long request bodies with backpressure. */
final class AttemptWriter {
    /** Maximum time for which a server may accept nothing of a streamed request body. */
    private static final double STREAM_STALL_TIMEOUT_MS = 10_000;

    private final UpstreamConnection connection;
    private final Clock clock;
    private final EventSink events;
    private final StreamBudget uploads;
    /** When the attempt started, or when its server last accepted a part of its streamed body. */
    private double lastProgressMs;
    /** The request whose body is being streamed; null if there is none. */
    private StreamedRequest streamedRequest;

    AttemptWriter(UpstreamConnection connection, UpstreamContext context) {
        this.connection = connection;
        this.clock = context.clock();
        this.events = context.events();
        this.uploads = context.uploads();
    }

    double lastProgressMs() {
        return lastProgressMs;
    }

    void markProgress() {
        lastProgressMs = clock.nowMs();
    }

    /** Whether the request that is being sent has a streamed body. */
    boolean isStreaming() {
        return streamedRequest != null;
    }

    /** Writes the attempt and announces this remaining time to the server. */
    void write(RunningAttempt attempt, double timeLeftMs) {
        if (attempt.message() instanceof StreamedRequest request) {
            writeStreamed(attempt, request, timeLeftMs);
        } else {
            Channel channel = connection.channel();
            ByteBuf bytes = HttpEncoder.request(channel.alloc(), (HttpRequest) attempt.message(), timeLeftMs);
            // The server may execute the request once the write of its last byte has completed, not once it is queued.
            channel.writeAndFlush(bytes).addListener(done -> onWritten(attempt, done.cause()));
        }
    }

    private void onWritten(RunningAttempt attempt, Throwable cause) {
        if (!connection.carries(attempt)) {
            return;
        }
        if (cause == null) {
            attempt.markWritten();
            events.raise(new Event.AttemptWritten(attempt.requestId(), attempt.attempt()));
        } else {
            connection.onWriteFailed(cause);
        }
    }

    /** Writes the head and the buffered first part; once they have been written, streams the rest of the body. */
    private void writeStreamed(RunningAttempt attempt, StreamedRequest request, double timeLeftMs) {
        Channel channel = connection.channel();
        boolean chunked = request.length() < 0;
        streamedRequest = request;
        uploads.open();
        channel.write(HttpEncoder.requestHead(
                channel.alloc(), request.head(), timeLeftMs, chunked ? HttpEncoder.CHUNKED : request.length()));
        writePiece(Unpooled.wrappedBuffer(request.head().body()), chunked);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> {
            if (connection.carries(attempt) && done.isSuccess()) {
                request.body().connect(new RequestBodySink(attempt, chunked));
            } else if (connection.carries(attempt)) {
                connection.onWriteFailed(done.cause());
            }
        });
    }

    private void writePiece(ByteBuf piece, boolean chunked) {
        Channel channel = connection.channel();
        if (chunked && piece.isReadable()) {
            channel.write(HttpEncoder.chunkHead(channel.alloc(), piece.readableBytes()));
            channel.write(piece);
            channel.write(HttpEncoder.chunkEnd(channel.alloc()));
        } else {
            channel.write(piece);
        }
    }

    /** Resumes a streamed body if the connection accepts bytes again. */
    void resumeBody() {
        if (streamedRequest != null && !isBlocked()) {
            markProgress();
            streamedRequest.body().setDemand(true);
        }
    }

    /** Whether so much waits to be sent that the body has to pause. */
    private boolean isBlocked() {
        Channel channel = connection.channel();
        return !channel.isWritable() || uploads.isExceededBy(channel);
    }

    /** Whether the server has accepted nothing of a streamed body for too long. */
    boolean isStalled(RunningAttempt attempt, double nowMs) {
        return streamedRequest != null
                && !attempt.isWritten()
                && isBlocked()
                && nowMs - lastProgressMs > STREAM_STALL_TIMEOUT_MS;
    }

    /** Stops sending a streamed body on this connection; another attempt may send it if nothing of it was sent here. */
    void endStreaming() {
        if (streamedRequest != null) {
            StreamedRequest request = streamedRequest;
            streamedRequest = null;
            uploads.close();
            request.body().disconnect();
        }
    }

    /** Writes the rest of a streamed request body to the server. */
    private final class RequestBodySink implements BodyStream.Sink {
        private final RunningAttempt attempt;
        private final boolean chunked;

        RequestBodySink(RunningAttempt attempt, boolean chunked) {
            this.attempt = attempt;
            this.chunked = chunked;
        }

        @Override
        public void onFirstPiece() {
            events.raise(new Event.RequestBodyReleased(attempt.requestId()));
        }

        @Override
        public void write(ByteBuf piece) {
            writePiece(piece, chunked);
        }

        @Override
        public void flush() {
            Channel channel = connection.channel();
            // Guards the stall timeout: bytes that the client sends while the server accepts nothing don't count as
            // progress.
            lastProgressMs = isBlocked() ? lastProgressMs : clock.nowMs();
            ChannelFuture flushed = channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
            if (streamedRequest != null && isBlocked()) {
                streamedRequest.body().setDemand(false);
            }
            flushed.addListener(done -> {
                if (done.isSuccess() && connection.carries(attempt)) {
                    resumeBody();
                }
            });
        }

        @Override
        public void onEnd(boolean complete) {
            Channel channel = connection.channel();
            if (complete) {
                markProgress();
                channel.writeAndFlush(chunked ? HttpEncoder.lastChunk(channel.alloc()) : Unpooled.EMPTY_BUFFER)
                        .addListener(done -> onWritten(attempt, done.cause()));
            } else {
                channel.close();
            }
        }
    }
}

package brackenbridge.net.client;

import brackenbridge.core.Event;
import brackenbridge.core.LastByteEstimator;
import brackenbridge.counters.Counter;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpRequest;
import brackenbridge.http.RequestDecoder;
import brackenbridge.net.channel.BodyStream;
import brackenbridge.net.channel.StreamedRequest;
import io.netty.buffer.ByteBuf;

/**
 * Reads a request whose body is too long to be buffered completely. The request is opened with the first part of the
 * body; the rest is forwarded at the rate at which the server accepts it. The last byte is held back until the client
 * is known to be present, because the server may execute the request once it has the last byte.
 */
final class UploadReader implements BodyStream.Source {
    private final ClientConnection connection;
    private final ClientContext context;
    private final RequestReader reader;
    private final RequestDecoder decoder;
    /** The rest of the body until its last byte has been forwarded; null if there is no upload. */
    private BodyStream body;
    /** Whether the last byte is held back until the client is known to be present. */
    private boolean lastByteHeld;
    /** Bytes that are kept so that the request can be retried. */
    private int replayableBytes;
    /** Whether the sink accepts no more for now. */
    private boolean paused;
    /** Bytes of the body received since it was paused. */
    private int bytesWhilePaused;
    /** When the last byte may have been sent, while it is not read. */
    private LastByteEstimator lastByte;
    /** The bound on the last byte's time that the reducer knows; infinite if it knows none. */
    private double reportedBoundMs;

    UploadReader(ClientConnection connection, ClientContext context, RequestReader reader, RequestDecoder decoder) {
        this.connection = connection;
        this.context = context;
        this.reader = reader;
        this.decoder = decoder;
    }

    /** Whether a body is being read. */
    boolean isActive() {
        return body != null;
    }

    /** Whether reading is paused because the sink accepts no more for now. */
    boolean isPaused() {
        return paused;
    }

    /** Bytes of the body that are buffered while it is paused. */
    int bytesWhilePaused() {
        return bytesWhilePaused;
    }

    /** Bytes that are kept so that the request can be retried. */
    int replayableBytes() {
        return replayableBytes;
    }

    /** Whether the last byte is held back until the client is known to be present. */
    boolean isLastByteHeld() {
        return lastByteHeld;
    }

    /**
     * Whether the request can't proceed unless its client is present; while a body is being forwarded, its bytes show
     * that.
     */
    boolean awaitsPresence() {
        return body == null || !body.isConnected() || lastByteHeld;
    }

    /** Opens the request with the first part of its body; the rest is buffered until a server accepts it. */
    void start() throws HttpException {
        long length = decoder.declaredLength();
        HttpRequest head = decoder.withBody(decoder.streamBody((from, n) -> body.add(from.readRetainedSlice(n))));
        body = new BodyStream(this);
        lastByteHeld = false;
        lastByte = new LastByteEstimator(length);
        lastByte.onBytesRead(head.body().length, context.clock().nowMs());
        reportedBoundMs = Double.POSITIVE_INFINITY;
        if (reader.presence().wasDrained()) {
            reader.opener().clearBacklogWait();
        }
        reader.opener().handleRequest(new StreamedRequest(head, length, body), head, false);
        if (!connection.request().isOpen()) {
            body = null;
            return;
        }
        replayableBytes = head.body().length;
        context.counters().count(Counter.REQUESTS_STREAMED);
        decode(reader.unread());
    }

    /**
     * Decodes received bytes of the body.
     *
     * @param received how many bytes were received
     * @param newBytes how many of them are not yet counted as unread
     */
    void onBytes(ByteBuf unread, int received, int newBytes) {
        if (paused) {
            bytesWhilePaused += newBytes;
        }
        if (!lastByteHeld) {
            lastByte.onBytesRead(received, context.clock().nowMs());
        }
        decode(unread);
    }

    /** How far the body is, for the log; empty if none is being received. */
    String describe() {
        if (body == null) {
            return "";
        }
        return ", " + decoder.bodyBytes() + " bytes of its body read" + (lastByteHeld ? ", the last one held" : "")
                + (paused ? ", reading paused by its server" : "");
    }

    /** Reports since when the last byte may have been sent, if the node reads the body more slowly than it comes. */
    void reportLastByteBound() {
        if (body != null && !lastByteHeld && !reader.presence().isPresentNow()) {
            reportBound(lastByte.earliestMs(reader.presence().drainedMs()));
        }
    }

    /** Handles that all bytes that had arrived were read: if the last one is not among them, it was not sent yet. */
    void onDrained() {
        if (body != null && !lastByteHeld) {
            reportBound(Double.POSITIVE_INFINITY);
        }
    }

    private void reportBound(double earliestMs) {
        if (earliestMs != reportedBoundMs) {
            reportedBoundMs = earliestMs;
            context.events().raise(new Event.LastByteBound(connection.request().id(), earliestMs));
        }
    }

    private void decode(ByteBuf unread) {
        try {
            if (unread == null || lastByteHeld) {
                return;
            }
            if (decoder.decode(unread)) {
                decoder.takeRequest();
                // From now on it is the presence of the client that delays the request, not its last byte.
                reportLastByteBound();
                lastByteHeld = true;
                body.holdEnd();
                reader.onLastByteHeld();
            } else {
                body.flush();
            }
        } catch (HttpException e) {
            fail(e.status(), e.getMessage());
        }
    }

    /** Forwards the last byte if it is held back and the client is known to be present. */
    void forwardLastByte(boolean clientPresent) {
        if (body != null && lastByteHeld && clientPresent) {
            end(true);
            paused = false;
            context.events()
                    .raise(new Event.RequestCompleted(connection.request().id()));
        }
    }

    /**
     * Ends a request whose body is invalid or too slow as if its client had disconnected, and responds with the reason.
     */
    void fail(int status, String reason) {
        BodyStream failed = body;
        body = null;
        connection.withdrawRequest();
        failed.end(false);
        connection.writer().rejectMalformed(status, reason);
    }

    /** Ends the body, if there is one, as complete or truncated. */
    void end(boolean complete) {
        if (body != null) {
            BodyStream ended = body;
            body = null;
            ended.end(complete);
        }
    }

    /** Drops the rest of the body when the response begins. */
    void onResponse() {
        if (body != null) {
            // The request stays incomplete, so the start of the next one is unknown.
            connection.request().endConnectionAfterResponse();
            BodyStream cancelled = body;
            body = null;
            cancelled.cancel();
        }
        replayableBytes = 0;
        bytesWhilePaused = 0;
        paused = false;
    }

    /** Forgets the bytes that were kept for a retry. */
    void dropReplayable() {
        replayableBytes = 0;
    }

    @Override
    public void setReading(boolean on) {
        paused = !on;
        bytesWhilePaused = on ? 0 : bytesWhilePaused;
        reader.adjustReading();
    }

    @Override
    public void onCancelled() {
        // The request has its response or gets it immediately; the rest of the body is discarded.
        setReading(true);
    }
}

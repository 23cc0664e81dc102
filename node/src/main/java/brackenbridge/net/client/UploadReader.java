package brackenbridge.net.client;

import brackenbridge.core.Event;
import brackenbridge.counters.Counter;
import brackenbridge.http.HttpException;
import brackenbridge.http.HttpRequest;
import brackenbridge.http.RequestDecoder;
import brackenbridge.net.channel.BodyStream;
import brackenbridge.net.channel.StreamedRequest;
import io.netty.buffer.ByteBuf;

/**
 * Reads a request whose body is too long to be kept complete. The request opens with the first part of the body; what
 * follows is passed on as a server takes it. The last byte is held until the client is known to be present, because
 * from then on the request may run.
 */
final class UploadReader implements BodyStream.Source {
    private final ClientConnection connection;
    private final ClientContext context;
    private final RequestReader reader;
    private final RequestDecoder decoder;
    /** The rest of the body until its last byte has been passed on; null if there is no upload. */
    private BodyStream body;
    /** The last byte has come and is passed on once the client is known to be present. */
    private boolean lastByteHeld;
    /** Bytes that are kept so that the request can be sent again. */
    private int replayableBytes;
    /** Whoever takes the body has enough for now. */
    private boolean paused;
    /** Bytes of the body that have come since it was paused. */
    private int bytesWhilePaused;

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

    /** Whether whoever takes the body has enough for now. */
    boolean isPaused() {
        return paused;
    }

    /** Bytes of the body that wait because it is paused. */
    int bytesWhilePaused() {
        return bytesWhilePaused;
    }

    /** Bytes that are kept so that the request can be sent again. */
    int replayableBytes() {
        return replayableBytes;
    }

    /** Whether the last byte is held until the client is known to be present. */
    boolean isLastByteHeld() {
        return lastByteHeld;
    }

    /** Whether the request can't proceed unless its client is present; a body on its way shows that by itself. */
    boolean awaitsPresence() {
        return body == null || !body.isConnected() || lastByteHeld;
    }

    /** The first part has come: the request opens, and what follows waits until a server takes it. */
    void start() throws HttpException {
        long length = decoder.declaredLength();
        HttpRequest head = decoder.part(decoder.stream((from, n) -> body.add(from.readRetainedSlice(n))));
        body = new BodyStream(this);
        lastByteHeld = false;
        reader.opener().handleRequest(new StreamedRequest(head, length, body), head, false);
        if (!connection.request().isOpen()) {
            body = null;
            return;
        }
        replayableBytes = head.body().length;
        context.counters().count(Counter.REQUESTS_STREAMED);
        decode(reader.unread());
    }

    /** Takes bytes of the body that have come; {@code newBytes} of them are not counted as unread elsewhere. */
    void onBytes(ByteBuf unread, int newBytes) {
        if (paused) {
            bytesWhilePaused += newBytes;
        }
        decode(unread);
    }

    private void decode(ByteBuf unread) {
        try {
            if (unread == null || lastByteHeld) {
                return;
            }
            if (decoder.decode(unread)) {
                decoder.take();
                lastByteHeld = true;
                reader.onLastByteHeld();
            } else {
                body.flush();
            }
        } catch (HttpException e) {
            fail(e.status(), e.getMessage());
        }
    }

    /** Passes on the last byte if it is held and the client is known to be present. */
    void forwardLastByte(boolean clientPresent) {
        if (body != null && lastByteHeld && clientPresent) {
            end(true);
            paused = false;
            context.events()
                    .raise(new Event.RequestCompleted(connection.request().id()));
        }
    }

    /** The request itself is at fault, in the middle of its body: it ends as if its client had disconnected. */
    void fail(int status, String reason) {
        BodyStream failed = body;
        body = null;
        connection.withdrawRequest();
        failed.end(false);
        connection.writer().rejectMalformed(status, reason);
    }

    /** Ends the body, complete or not, if there is one. */
    void end(boolean complete) {
        if (body != null) {
            BodyStream ended = body;
            body = null;
            ended.end(complete);
        }
    }

    /** The request gets its response: the rest of the body is dropped. */
    void onResponse() {
        if (body != null) {
            // Its request is incomplete and stays so: where the next one begins can't be known.
            connection.request().endConnectionAfterResponse();
            BodyStream cancelled = body;
            body = null;
            cancelled.cancel();
        }
        replayableBytes = 0;
        bytesWhilePaused = 0;
        paused = false;
    }

    /** Nothing is kept any more to be sent again. */
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
        // The request has its response, or will have it at once; what still comes of the body is dropped.
        setReading(true);
    }
}

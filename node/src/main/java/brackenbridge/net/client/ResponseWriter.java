package brackenbridge.net.client;

import brackenbridge.core.Event;
import brackenbridge.core.Event.ResponseEnd;
import brackenbridge.counters.Counter;
import brackenbridge.counters.RejectionReason;
import brackenbridge.http.Headers;
import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpResponse;
import brackenbridge.net.channel.BodyStream;
import brackenbridge.net.channel.StreamedResponse;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Writes the responses of a connection, one per request, and reports when they have been written. */
final class ResponseWriter {
    private static final List<String> FORWARDED_HEADERS = List.of("Content-Type", "Content-Encoding");
    private static final long NO_REQUEST = -1;

    private final ClientConnection connection;
    private final ClientContext context;
    private final Channel channel;
    /** The request whose response is being written. */
    private long respondingTo = NO_REQUEST;
    /** The body of the streamed response that is being written; null if there is none, or all of it was received. */
    private BodyStream download;
    /** Whether the response that is being written, or was written last, is streamed. */
    private boolean streamed;
    /** Bytes of responses that the system had not taken at the latest check. */
    private long unwrittenBytes;

    ResponseWriter(ClientConnection connection, ClientContext context, Channel channel) {
        this.connection = connection;
        this.context = context;
        this.channel = channel;
    }

    /** Whether the response that is being written is streamed, even if all of it was received from its server. */
    boolean isStreamed() {
        return streamed;
    }

    /** Whether the system has taken bytes of a response since the last check. */
    boolean hasProgressed() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        long unwrittenBefore = unwrittenBytes;
        unwrittenBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        return unwrittenBytes < unwrittenBefore;
    }

    /** Responds with a server's complete response. */
    void respond(HttpResponse response) {
        respond(200, forwardedHeaders(response), response.body());
    }

    /** Responds with this body and no additional headers. */
    void respond(int status, byte[] body) {
        respond(status, new Headers(), body);
    }

    /** Writes a response, and closes the connection after it if it is not kept alive. */
    void respond(int status, Headers fields, byte[] body) {
        streamed = false;
        boolean close = beginResponse();
        channel.writeAndFlush(HttpEncoder.response(channel.alloc(), status, fields, body, close))
                .addListener(f -> onWritten(f.isSuccess() ? ResponseEnd.COMPLETE : ResponseEnd.ABANDONED, close));
    }

    /** Begins a streamed response, whose body is written at the rate at which its client reads it. */
    void respondStreaming(StreamedResponse response) {
        Headers fields = forwardedHeaders(response.head());
        boolean lengthKnown = response.length() >= 0;
        boolean chunked = !lengthKnown && connection.request().isHttp11();
        if (!lengthKnown && !chunked) {
            connection.request().endConnectionAfterResponse();
        }
        streamed = true;
        boolean close = beginResponse();
        download = response.body();
        context.downloads().open();
        long withoutLength = chunked ? HttpEncoder.CHUNKED : HttpEncoder.NO_BODY;
        long length = lengthKnown ? response.length() : withoutLength;
        channel.write(HttpEncoder.responseHead(channel.alloc(), 200, fields, length, close));
        response.body().connect(new ClientBodySink(this, channel, chunked, !lengthKnown, close));
    }

    private static Headers forwardedHeaders(HttpResponse response) {
        Headers fields = new Headers();
        for (String name : FORWARDED_HEADERS) {
            String value = response.headers().get(name);
            if (value != null) {
                fields.add(name, value);
            }
        }
        return fields;
    }

    /** Responds with the reason and closes the connection: the start of the next request is unknown. */
    void rejectMalformed(int status, String reason) {
        countRejection(status);
        respond(status, text(reason));
    }

    /**
     * Rejects a request that is not opened, and closes the connection: a client that floods the node with invalid
     * requests has to reconnect for each.
     */
    void reject(RequestRejection rejection) {
        countRejection(rejection.status());
        Headers fields = new Headers();
        if (rejection.allowedMethod() != null) {
            fields.add("Allow", rejection.allowedMethod());
        }
        respond(rejection.status(), fields, text(rejection.reason()));
    }

    private void countRejection(int status) {
        context.counters().count(Counter.INVALID_REQUESTS);
        context.counters().countRejection(RejectionReason.Port.REQUESTS, RejectionReason.ofStatus(status));
        connection.request().endConnectionAfterResponse();
    }

    private static byte[] text(String reason) {
        return (reason + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Writes a response; if the node itself fails to, sends one error response and closes the connection. */
    void respondOrFail(Runnable response) {
        try {
            response.run();
        } catch (RuntimeException e) {
            context.events().onFault("writing a response failed", e);
            respondFailed();
        }
    }

    private void respondFailed() {
        connection.request().endConnectionAfterResponse();
        if (download != null) {
            // The head has been written: only closing the connection tells the client that the rest is missing.
            channel.close();
            return;
        }
        try {
            respond(502, text("failed"));
        } catch (RuntimeException e) {
            context.events().onFault("writing the error response failed", e);
            channel.close();
        }
    }

    /** Begins the response to the open request; returns whether the connection closes after it. */
    private boolean beginResponse() {
        // The clock is read first: if that fails, nothing has changed and the error response can still be sent.
        double now = context.clock().nowMs();
        long requestId = connection.beginResponse(now);
        respondingTo = requestId >= 0 ? requestId : respondingTo;
        return !connection.request().isKeptAlive() || context.closePolicy().announcesClose();
    }

    /** Resumes a streamed response if the client has read enough. */
    void resumeDownload() {
        if (download != null && !isBlocked()) {
            connection.markProgress();
            download.setDemand(true);
        }
    }

    /** Pauses the streamed response if the client does not read what was written so far. */
    void pauseDownloadIfUnread() {
        if (download != null && isBlocked()) {
            download.setDemand(false);
        }
    }

    /** Whether so much waits to be read by the client that a streamed response has to pause. */
    private boolean isBlocked() {
        return !channel.isWritable() || context.downloads().isExceededBy(channel);
    }

    /** Handles the end of the streamed body, complete or not. */
    void onDownloadEnd() {
        if (download != null) {
            download = null;
            context.downloads().close();
        }
    }

    /** Cancels the response when the connection has ended. */
    void onDisconnected() {
        BodyStream cancelled = download;
        onDownloadEnd();
        if (cancelled != null) {
            cancelled.cancel();
        }
        reportFinished(ResponseEnd.ABANDONED);
    }

    /** Handles the end of writing a response, complete or not. */
    void onWritten(ResponseEnd end, boolean close) {
        reportFinished(end);
        connection.onResponseWritten(end, close);
    }

    private void reportFinished(ResponseEnd end) {
        if (respondingTo >= 0) {
            long requestId = respondingTo;
            respondingTo = NO_REQUEST;
            context.events().raise(new Event.ResponseFinished(requestId, end));
        }
    }
}

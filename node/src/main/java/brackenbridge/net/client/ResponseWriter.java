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
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Writes the responses of one connection, each request's once, and reports when they have gone out. */
final class ResponseWriter {
    private static final List<String> FORWARDED_HEADERS = List.of("Content-Type", "Content-Encoding");
    private static final long NO_REQUEST = -1;

    private final ClientConnection connection;
    private final ClientContext context;
    private final Channel channel;
    /** The request whose response is being written. */
    private long respondingTo = NO_REQUEST;
    /** The body of the streamed response that is being written; null if there is none. */
    private BodyStream download;

    ResponseWriter(ClientConnection connection, ClientContext context, Channel channel) {
        this.connection = connection;
        this.context = context;
        this.channel = channel;
    }

    /** Whether a streamed response is being written. */
    boolean isStreaming() {
        return download != null;
    }

    /** Responds with a server's complete response. */
    void respond(HttpResponse response) {
        respond(200, forwardedHeaders(response), response.body());
    }

    /** Responds with this text and no fields of its own. */
    void respond(int status, byte[] body) {
        respond(status, new Headers(), body);
    }

    /** Writes a response; it ends the connection if this is to be its last. */
    void respond(int status, Headers fields, byte[] body) {
        boolean close = beginResponse();
        channel.writeAndFlush(HttpEncoder.response(channel.alloc(), status, fields, body, close))
                .addListener(f -> onWritten(f.isSuccess() ? ResponseEnd.COMPLETE : ResponseEnd.ABANDONED, close));
    }

    /** Begins a streamed response, whose body is written as its client takes it. */
    void respondStreaming(StreamedResponse response) {
        Headers fields = forwardedHeaders(response.head());
        boolean lengthKnown = response.length() >= 0;
        boolean chunked = !lengthKnown && connection.request().isHttp11();
        if (!lengthKnown && !chunked) {
            connection.request().endConnectionAfterResponse();
        }
        boolean close = beginResponse();
        download = response.body();
        long withoutLength = chunked ? HttpEncoder.CHUNKED : HttpEncoder.NO_BODY;
        long length = lengthKnown ? response.length() : withoutLength;
        channel.write(HttpEncoder.responseHead(channel.alloc(), 200, fields, length, close));
        response.body().connect(new ClientBodySink(connection, this, channel, chunked, !lengthKnown, close));
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

    /** Says what is wrong and ends the connection: where the next request begins can't be known. */
    void rejectMalformed(int status, String reason) {
        countRejection(status);
        respond(status, text(reason));
    }

    /** Rejects a request that is not opened. A client that sends such at full speed must connect for each. */
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

    /** Responds; if the node itself fails at that, the client gets one response that says so, and is closed. */
    void respondOrFail(Runnable response) {
        try {
            response.run();
        } catch (RuntimeException e) {
            context.events().onFault("an answer failed", e);
            respondFailed();
        }
    }

    private void respondFailed() {
        connection.request().endConnectionAfterResponse();
        if (download != null) {
            // Its head is out: only the end of the connection tells that the rest is missing.
            channel.close();
            return;
        }
        try {
            respond(502, text("failed"));
        } catch (RuntimeException e) {
            context.events().onFault("no answer is possible", e);
            channel.close();
        }
    }

    /** The open request gets its response; whether the connection ends behind it. */
    private boolean beginResponse() {
        // What may fail comes first: the response can then be tried once more.
        double now = context.clock().nowMs();
        long requestId = connection.beginResponse(now);
        respondingTo = requestId >= 0 ? requestId : respondingTo;
        return !connection.request().isKeptAlive() || context.closePolicy().announcesClose();
    }

    /** The client takes more of a streamed response. */
    void onWritable() {
        if (download != null && channel.isWritable()) {
            connection.markProgress();
            download.setDemand(true);
        }
    }

    /** The client takes no more for now. */
    void pauseDownload() {
        download.setDemand(false);
    }

    /** The streamed body has ended, in whatever way. */
    void onDownloadEnd() {
        download = null;
    }

    /** The connection has ended: nothing more can be written. */
    void onDisconnected() {
        if (download != null) {
            download.cancel();
            download = null;
        }
        reportFinished(ResponseEnd.ABANDONED);
    }

    /** All of a response has been written, or never will be. */
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

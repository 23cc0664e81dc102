package brackenbridge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Encodes HTTP requests and responses. */
public final class HttpEncoder {
    /** The field with the id that a client gives a request. */
    public static final String CORRELATION_ID = "X-Correlation-Id";
    /** The field with the remaining time until the client's deadline, in integral milliseconds. */
    public static final String TIME_LEFT = "X-Time-Left-Ms";
    /** Used instead of a length: the body is sent in chunks. */
    public static final long CHUNKED = -1;
    /** Used instead of a length: no framing is declared; there is no body, or it ends with the connection. */
    public static final long NO_BODY = -2;

    private static final byte[] NO_BYTES = new byte[0];
    private static final int REQUEST_HEAD_CHARS = 256;
    private static final int RESPONSE_HEAD_CHARS = 128;
    private static final Set<String> HOP_BY_HOP_FIELDS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            "x-time-left-ms");
    private static final Map<Integer, String> REASON_PHRASES = Map.ofEntries(
            Map.entry(200, "OK"),
            Map.entry(400, "Bad Request"),
            Map.entry(404, "Not Found"),
            Map.entry(405, "Method Not Allowed"),
            Map.entry(408, "Request Timeout"),
            Map.entry(409, "Conflict"),
            Map.entry(413, "Content Too Large"),
            Map.entry(414, "URI Too Long"),
            Map.entry(417, "Expectation Failed"),
            Map.entry(431, "Request Header Fields Too Large"),
            Map.entry(502, "Bad Gateway"),
            Map.entry(503, "Service Unavailable"),
            Map.entry(504, "Gateway Timeout"),
            Map.entry(505, "HTTP Version Not Supported"));

    private HttpEncoder() {}

    /** The interim response that asks the client to send its body. */
    public static ByteBuf continueResponse(ByteBufAllocator alloc) {
        return encode(alloc, "HTTP/1.1 100 Continue\r\n\r\n", NO_BYTES);
    }

    /** A complete request to a server: the client's request without its hop-by-hop fields. */
    public static ByteBuf request(ByteBufAllocator alloc, HttpRequest request, double timeLeftMs) {
        boolean declaresLength = request.body().length > 0
                || request.headers().get("Content-Length") != null
                || !request.method().equals("GET");
        return encode(
                alloc,
                encodeRequestHead(request, timeLeftMs, declaresLength ? request.body().length : NO_BODY),
                request.body());
    }

    /** The head of a request to a server whose body is streamed. */
    public static ByteBuf requestHead(ByteBufAllocator alloc, HttpRequest request, double timeLeftMs, long length) {
        return encode(alloc, encodeRequestHead(request, timeLeftMs, length), NO_BYTES);
    }

    private static String encodeRequestHead(HttpRequest request, double timeLeftMs, long length) {
        StringBuilder head = new StringBuilder(REQUEST_HEAD_CHARS);
        head.append(request.method()).append(' ').append(request.target()).append(" HTTP/1.1\r\n");
        request.headers().forEach((name, value) -> {
            String lowerCaseName = name.toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP_FIELDS.contains(lowerCaseName) && !request.headers().hasListElement("Connection", name)) {
                appendField(head, name, value);
            }
        });
        appendField(head, TIME_LEFT, Long.toString((long) Math.max(1, Math.floor(timeLeftMs))));
        appendFraming(head, length);
        return head.append("\r\n").toString();
    }

    private static void appendFraming(StringBuilder head, long length) {
        if (length >= 0) {
            appendField(head, "Content-Length", Long.toString(length));
        } else if (length == CHUNKED) {
            appendField(head, "Transfer-Encoding", "chunked");
        }
    }

    /** The size line of a chunk. */
    public static ByteBuf chunkHead(ByteBufAllocator alloc, int length) {
        return encode(alloc, Integer.toHexString(length) + "\r\n", NO_BYTES);
    }

    /** The line end after the data of a chunk. */
    public static ByteBuf chunkEnd(ByteBufAllocator alloc) {
        return encode(alloc, "\r\n", NO_BYTES);
    }

    /** The last chunk, which ends a chunked body. */
    public static ByteBuf lastChunk(ByteBufAllocator alloc) {
        return encode(alloc, "0\r\n\r\n", NO_BYTES);
    }

    /** A GET request without a body. */
    public static ByteBuf get(ByteBufAllocator alloc, String target, String host) {
        return encode(alloc, "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n", NO_BYTES);
    }

    /** A complete response to a client. */
    public static ByteBuf response(ByteBufAllocator alloc, int status, Headers fields, byte[] body, boolean close) {
        return encode(alloc, encodeResponseHead(status, fields, body.length, close), body);
    }

    /** The head of a response to a client whose body is streamed. */
    public static ByteBuf responseHead(ByteBufAllocator alloc, int status, Headers fields, long length, boolean close) {
        return encode(alloc, encodeResponseHead(status, fields, length, close), NO_BYTES);
    }

    private static String encodeResponseHead(int status, Headers fields, long length, boolean close) {
        StringBuilder head = new StringBuilder(RESPONSE_HEAD_CHARS);
        head.append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(REASON_PHRASES.getOrDefault(status, "Status"))
                .append("\r\n");
        fields.forEach((name, value) -> appendField(head, name, value));
        appendFraming(head, length);
        if (close) {
            appendField(head, "Connection", "close");
        }
        return head.append("\r\n").toString();
    }

    private static void appendField(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
    }

    private static ByteBuf encode(ByteBufAllocator alloc, String head, byte[] body) {
        ByteBuf out = alloc.buffer(head.length() + body.length);
        out.writeCharSequence(head, StandardCharsets.ISO_8859_1);
        return out.writeBytes(body);
    }
}

package brackenbridge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Encodes requests and answers. */
public final class HttpEncoder {
    /** The client's remaining patience, in whole milliseconds. */
    public static final String TIME_LEFT = "X-Time-Left-Ms";
    /** In place of a length: the body comes in chunks. */
    public static final long CHUNKED = -1;
    /** In place of a length: nothing is said; there is no body, or it ends with the connection. */
    public static final long NO_BODY = -2;

    private static final Set<String> ONE_HOP = Set.of(
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
    private static final Map<Integer, String> REASONS = Map.ofEntries(
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

    /** The word that lets a client send its body. */
    public static ByteBuf goOn(ByteBufAllocator alloc) {
        return bytes(alloc, "HTTP/1.1 100 Continue\r\n\r\n", new byte[0]);
    }

    /** The request to a server: as it came, but for what concerns one connection only. */
    public static ByteBuf forward(ByteBufAllocator alloc, HttpRequest r, double timeLeftMs) {
        boolean says = r.body().length > 0
                || r.headers().get("Content-Length") != null
                || !r.method().equals("GET");
        return bytes(alloc, forwardHead(r, timeLeftMs, says ? r.body().length : NO_BODY), r.body());
    }

    /** The head of a request to a server whose body follows in pieces. */
    public static ByteBuf forwardHead(ByteBufAllocator alloc, HttpRequest r, double timeLeftMs, long length) {
        return bytes(alloc, forwardHead(r, timeLeftMs, length), new byte[0]);
    }

    private static String forwardHead(HttpRequest r, double timeLeftMs, long length) {
        StringBuilder head = new StringBuilder(256);
        head.append(r.method()).append(' ').append(r.target()).append(" HTTP/1.1\r\n");
        r.headers().each((name, value) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!ONE_HOP.contains(lower) && !r.headers().lists("Connection", name)) {
                field(head, name, value);
            }
        });
        field(head, TIME_LEFT, Long.toString((long) Math.max(1, Math.floor(timeLeftMs))));
        framing(head, length);
        return head.append("\r\n").toString();
    }

    private static void framing(StringBuilder head, long length) {
        if (length >= 0) {
            field(head, "Content-Length", Long.toString(length));
        } else if (length == CHUNKED) {
            field(head, "Transfer-Encoding", "chunked");
        }
    }

    /** The line in front of a chunk. */
    public static ByteBuf chunkHead(ByteBufAllocator alloc, int length) {
        return bytes(alloc, Integer.toHexString(length) + "\r\n", new byte[0]);
    }

    /** The end of a chunk. */
    public static ByteBuf chunkEnd(ByteBufAllocator alloc) {
        return bytes(alloc, "\r\n", new byte[0]);
    }

    /** The end of a body in chunks. */
    public static ByteBuf lastChunk(ByteBufAllocator alloc) {
        return bytes(alloc, "0\r\n\r\n", new byte[0]);
    }

    /** A request without a body. */
    public static ByteBuf get(ByteBufAllocator alloc, String target, String host) {
        return bytes(alloc, "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n", new byte[0]);
    }

    /** An answer to a client. */
    public static ByteBuf answer(ByteBufAllocator alloc, int status, Headers fields, byte[] body, boolean close) {
        return bytes(alloc, head(status, fields, body.length, close), body);
    }

    /** The head alone of an answer whose body follows in pieces. */
    public static ByteBuf answerHead(ByteBufAllocator alloc, int status, Headers fields, long length, boolean close) {
        return bytes(alloc, head(status, fields, length, close), new byte[0]);
    }

    private static String head(int status, Headers fields, long length, boolean close) {
        StringBuilder head = new StringBuilder(128);
        head.append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(REASONS.getOrDefault(status, "Status"))
                .append("\r\n");
        fields.each((name, value) -> field(head, name, value));
        framing(head, length);
        if (close) {
            field(head, "Connection", "close");
        }
        return head.append("\r\n").toString();
    }

    private static void field(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
    }

    private static ByteBuf bytes(ByteBufAllocator alloc, String head, byte[] body) {
        ByteBuf out = alloc.buffer(head.length() + body.length);
        out.writeCharSequence(head, StandardCharsets.ISO_8859_1);
        return out.writeBytes(body);
    }
}

package brackenbridge.lab.live;

import brackenbridge.core.balancing.LoadReport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** What stand-in servers answer, in order and spoilt. */
final class StandInAnswers {
    private static final String HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

    /** Noise, a head without end, a length that does not fit, an answer that is too large to hold. */
    private static final String[] SPOILT = {
        "HTTP/1.1 2x0 \u0001noise\r\nContent-Length: -7\r\n\r\n?",
        "HTTP/1.1 200 OK\r\nX-Pad: " + "a".repeat(40_000),
        "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nendless"
    };

    private StandInAnswers() {}

    /** The spoilt answer with this number; they come in turn. */
    static ByteBuf spoilt(int number) {
        return Unpooled.copiedBuffer(SPOILT[number % SPOILT.length], StandardCharsets.ISO_8859_1);
    }

    /** An answer that ends with its connection. */
    static ByteBuf withoutLength(byte[] body) {
        return Unpooled.wrappedBuffer(HEAD_WITHOUT_LENGTH.getBytes(StandardCharsets.ISO_8859_1), body);
    }

    /** The answer of a server to a request: its own, and told apart from every other. */
    static byte[] body(String id, String host) {
        return ("served " + id + " by " + host + "\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A load report in the form of its header field. */
    static String loadReport(LoadReport r) {
        return String.format(
                Locale.ROOT,
                "inflight=%.0f,queue=%.0f,util=%.3f,latency_ms=%.2f,qps=%.2f,eps=%.3f",
                r.inFlight(),
                r.queued(),
                r.utilization(),
                r.meanServiceTimeMs(),
                r.requestsPerSecond(),
                r.errorsPerSecond());
    }
}

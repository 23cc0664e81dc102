package brackenbridge.lab.soak;

import brackenbridge.lab.live.Registry;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.rules.RuleChecker.Answer;
import brackenbridge.lab.world.World;
import java.nio.charset.StandardCharsets;

/** One request of a client: its text, and what its client has seen of it. */
final class SoakRequest {
    private final String id;
    private final World.ClassSpec spec;
    private final byte[] body;
    private final boolean chunked;
    private RuleChecker.Entry entry;
    private Registry.Known known;
    private double writtenMs;
    private double deadlineMs;
    private int writes;
    private boolean over;
    private boolean timed;

    SoakRequest(String id, World.ClassSpec spec, byte[] body, boolean chunked) {
        this.id = id;
        this.spec = spec;
        this.body = body;
        this.chunked = chunked;
    }

    String id() {
        return id;
    }

    String className() {
        return spec.name();
    }

    /** The text of its head, and its body in the chosen framing. */
    byte[] bytes(double nowMs) {
        double leftMs = entry == null || !hasDeadline() ? spec.deadlineMs() : deadlineMs - nowMs;
        StringBuilder head = new StringBuilder(256)
                .append(spec.unsafe() ? "POST /" : "GET /")
                .append(spec.name())
                .append(" HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: ")
                .append(id)
                .append("\r\nX-Service-Class: ")
                .append(spec.name())
                .append("\r\nX-Time-Left-Ms: ")
                .append((long) Math.max(1, leftMs))
                .append("\r\n");
        if (!spec.unsafe()) {
            return ascii(head.append("\r\n"));
        }
        if (!chunked) {
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            return joined(ascii(head), body);
        }
        head.append("Transfer-Encoding: chunked\r\n\r\n");
        if (body.length > 0) {
            head.append(Integer.toHexString(body.length)).append("\r\n");
        }
        byte[] end = (body.length > 0 ? "\r\n0\r\n\r\n" : "0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        return joined(joined(ascii(head), body), end);
    }

    private static byte[] ascii(StringBuilder text) {
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] joined(byte[] first, byte[] second) {
        byte[] all = new byte[first.length + second.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    /**
     * Its last byte is written now, for the first time or again.
     *
     * @param behind whether it waits behind another request on its connection
     */
    void written(double nowMs, boolean behind, String node, RuleChecker rules, Registry registry) {
        writtenMs = nowMs;
        if (writes++ == 0) {
            deadlineMs = behind ? Double.POSITIVE_INFINITY : nowMs + spec.deadlineMs();
            entry = rules.taken(nowMs, id, spec.name(), node, spec.unsafe(), deadlineMs);
            known = registry.add(id, entry, nowMs, nowMs + spec.deadlineMs());
        }
    }

    /** Whether its time has begun: it is the first request on its connection that has no answer. */
    boolean hasDeadline() {
        return Double.isFinite(deadlineMs);
    }

    /** It is the first on its connection from now on. */
    void turnCame(double nowMs) {
        deadlineMs = nowMs + spec.deadlineMs();
        entry.turnCame(nowMs, deadlineMs);
    }

    double writtenMs() {
        return writtenMs;
    }

    double deadlineMs() {
        return deadlineMs;
    }

    /** Whether its end is watched for. */
    boolean isTimed() {
        return timed;
    }

    void timed() {
        timed = true;
    }

    /** How often it was written. */
    int writes() {
        return writes;
    }

    RuleChecker.Entry entry() {
        return entry;
    }

    boolean hasReachedServer() {
        return known != null && known.hasReachedServer();
    }

    /** Nothing more is expected of it. */
    boolean isOver() {
        return over;
    }

    void end() {
        over = true;
    }

    /** What an answer with this status means. */
    static Answer meaning(int status) {
        return switch (status) {
            case 200 -> Answer.SERVED;
            case 429, 503 -> Answer.REFUSED;
            default -> Answer.FAILED;
        };
    }
}

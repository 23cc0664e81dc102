package brackenbridge.http;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.util.regex.Pattern;

/**
 * Decodes one HTTP/1.1 message after another, from bytes cut anywhere. It takes no byte beyond a message's
 * end, so what follows stays for the next. Strict on purpose: two readings of one framing are how requests
 * are smuggled.
 */
abstract class MessageDecoder {
    /** Longest body that is kept whole; one that is longer is taken piece by piece. */
    public static final int WHOLE_LIMIT = 64 * 1024;
    /** Longest body at all. */
    public static final long BODY_LIMIT = 32L * 1024 * 1024;

    static final int START_LIMIT = 8 * 1024;
    static final int HEAD_LIMIT = 16 * 1024;
    static final int FIELD_LIMIT = 100;
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final Pattern CHUNK_SIZE = Pattern.compile("0{0,16}[0-9a-fA-F]{1,7}");

    private enum Step {
        START,
        FIELDS,
        FIXED,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        TO_END,
        DONE
    }

    /** How a body is framed. */
    enum Framing {
        NONE,
        FIXED,
        CHUNKED,
        TO_END
    }

    /** Where a body goes, piece by piece. */
    public interface Sink {
        /** Takes so many bytes out of the buffer. */
        void take(ByteBuf from, int length) throws HttpException;
    }

    private final StringBuilder line = new StringBuilder();
    private final Sink ownSink;
    private Sink sink;
    private final long bodyLimit;
    private long bodyBytes;
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private Step step = Step.START;
    private boolean carriageReturn;
    private int headBytes;
    /** Bytes of the fields that are kept. */
    private int headHeld;

    private long left;
    private Headers headers = new Headers();

    MessageDecoder(Sink sink, long bodyLimit) {
        this.ownSink = sink;
        this.sink = sink;
        this.bodyLimit = bodyLimit;
    }

    /** Reads the start line; false if the line is to be passed over. */
    abstract boolean startLine(String text) throws HttpException;

    /** Judges the head and names the body's framing; null if another head follows. */
    abstract Framing head(Headers fields) throws HttpException;

    /** The status that tells a sender of a start line this long. */
    abstract int tooLongStart();

    /**
     * Takes bytes in until a message is whole (true), or the buffer is empty or no more of the body can be kept
     * (false).
     */
    public boolean decode(ByteBuf in) throws HttpException {
        while (step != Step.DONE && in.isReadable()) {
            switch (step) {
                case START, FIELDS, CHUNK_SIZE, CHUNK_END, TRAILERS -> {
                    if (readLine(in)) {
                        String text = line.toString();
                        line.setLength(0);
                        line(text);
                    }
                }
                default -> {
                    int n = (int) Math.min(in.readableBytes(), left);
                    if (sink == null) {
                        n = Math.min(n, WHOLE_LIMIT - body.size());
                        if (n == 0) {
                            return false;
                        }
                    }
                    body(in, n);
                    left -= n;
                    if (left == 0) {
                        step = step == Step.CHUNK ? Step.CHUNK_END : Step.DONE;
                    }
                }
            }
        }
        return step == Step.DONE;
    }

    private void body(ByteBuf in, int n) throws HttpException {
        bodyBytes += n;
        if (bodyBytes > bodyLimit) {
            throw new HttpException(413, "body over " + bodyLimit + " bytes");
        }
        if (sink != null) {
            sink.take(in, n);
            return;
        }
        if (body.size() == 0 && step == Step.FIXED) {
            // Guards memory against many large bodies at once: a buffer that doubles could hold twice as much.
            body = new ByteArrayOutputStream((int) Math.min(left, WHOLE_LIMIT));
        }
        byte[] piece = new byte[n];
        in.readBytes(piece);
        body.write(piece, 0, n);
    }

    private boolean readLine(ByteBuf in) throws HttpException {
        while (in.isReadable()) {
            int c = in.readUnsignedByte();
            if (carriageReturn) {
                carriageReturn = false;
                if (c != '\n') {
                    throw new HttpException(400, "bare carriage return");
                }
                return true;
            }
            if (c == '\r') {
                carriageReturn = true;
                continue;
            }
            if (c < ' ' && c != '\t' || c == 0x7f) {
                throw new HttpException(400, "control character in the head");
            }
            line.append((char) c);
            if (step == Step.START && line.length() > START_LIMIT) {
                throw new HttpException(tooLongStart(), "start line too long");
            }
            if (++headBytes > HEAD_LIMIT && step != Step.START) {
                throw new HttpException(431, "head too long");
            }
        }
        return false;
    }

    private void line(String text) throws HttpException {
        switch (step) {
            case START -> {
                if (startLine(text)) {
                    headBytes = 0;
                    step = Step.FIELDS;
                }
            }
            case FIELDS -> {
                if (text.isEmpty()) {
                    headEnds();
                } else {
                    field(text);
                }
            }
            case CHUNK_SIZE -> {
                left = chunkSize(text);
                headBytes = 0;
                step = left == 0 ? Step.TRAILERS : Step.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException(400, "chunk longer than its size");
                }
                step = Step.CHUNK_SIZE;
            }
            default -> step = text.isEmpty() ? Step.DONE : Step.TRAILERS;
        }
    }

    private void field(String text) throws HttpException {
        int colon = text.indexOf(':');
        if (colon <= 0 || headers.size() >= FIELD_LIMIT) {
            throw new HttpException(colon <= 0 ? 400 : 431, colon <= 0 ? "not a field" : "too many fields");
        }
        String name = text.substring(0, colon);
        // Folded lines and a space before the colon fail here: both are read in more than one way.
        if (!token(name)) {
            throw new HttpException(400, "not a field name");
        }
        headers.add(name, text.substring(colon + 1).strip());
        headHeld += text.length();
    }

    static boolean token(String s) {
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            boolean ok = c >= 'a' && c <= 'z'
                    || c >= 'A' && c <= 'Z'
                    || c >= '0' && c <= '9'
                    || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
            if (!ok) {
                return false;
            }
        }
        return !s.isEmpty();
    }

    private void headEnds() throws HttpException {
        Framing framing = head(headers);
        if (framing == null) {
            headers = new Headers();
            headHeld = 0;
            step = Step.START;
            return;
        }
        switch (framing) {
            case NONE -> step = Step.DONE;
            case FIXED -> {
                left = contentLength(headers);
                step = left == 0 ? Step.DONE : Step.FIXED;
            }
            case CHUNKED -> step = Step.CHUNK_SIZE;
            default -> {
                left = Long.MAX_VALUE;
                step = Step.TO_END;
            }
        }
        headBytes = 0;
    }

    /** The framing that the fields themselves name; null if they name none. */
    Framing named(Headers fields) throws HttpException {
        boolean chunked = fields.count("Transfer-Encoding") > 0;
        int lengths = fields.count("Content-Length");
        if (chunked && lengths > 0 || lengths > 1) {
            throw new HttpException(400, "ambiguous framing");
        }
        if (chunked) {
            if (fields.count("Transfer-Encoding") > 1 || !"chunked".equalsIgnoreCase(fields.get("Transfer-Encoding"))) {
                throw new HttpException(400, "unknown transfer coding");
            }
            return Framing.CHUNKED;
        }
        if (lengths == 1) {
            contentLength(fields);
            return Framing.FIXED;
        }
        return null;
    }

    private long contentLength(Headers fields) throws HttpException {
        String text = fields.get("Content-Length");
        if (!LENGTH.matcher(text).matches()) {
            throw new HttpException(400, "not a length");
        }
        long length = Long.parseLong(text);
        if (length > bodyLimit) {
            throw new HttpException(413, "body over " + bodyLimit + " bytes");
        }
        return length;
    }

    private static long chunkSize(String text) throws HttpException {
        int semicolon = text.indexOf(';');
        String digits = (semicolon < 0 ? text : text.substring(0, semicolon)).stripTrailing();
        if (!CHUNK_SIZE.matcher(digits).matches()) {
            throw new HttpException(400, "not a chunk size");
        }
        return Long.parseLong(digits, 16);
    }

    /** The connection has ended: whether that completes the message. */
    public boolean ended() {
        if (step == Step.TO_END) {
            step = Step.DONE;
            return true;
        }
        return false;
    }

    /** Whether bytes of a message have come that is not whole yet. */
    public boolean begun() {
        return step != Step.START || line.length() > 0 || carriageReturn;
    }

    /** Bytes of the message that is not whole yet. */
    public int held() {
        return line.length() + headHeld + body.size();
    }

    /** Whether the head is whole and the body is not. */
    public boolean awaitsBody() {
        return step.compareTo(Step.FIELDS) > 0 && step != Step.DONE;
    }

    /** Whether the body can't be kept whole: the rest of it has to be taken by {@link #stream}. */
    public boolean isLong() {
        return sink == null && awaitsBody() && body.size() >= WHOLE_LIMIT;
    }

    /** Whether the head says that the body is longer than what is kept. */
    public boolean saysLong() {
        return sink == null && step == Step.FIXED && left + body.size() > WHOLE_LIMIT;
    }

    /** Gives out what is kept of the body; what comes from now on, to the message's end, goes to this sink. */
    public byte[] stream(Sink to) {
        byte[] kept = body.toByteArray();
        body = new ByteArrayOutputStream(0);
        sink = to;
        return kept;
    }

    /** The body's length as the head says it, or -1. */
    public long length() throws HttpException {
        return headers.count("Content-Length") == 1 ? contentLength(headers) : -1;
    }

    Headers headers() {
        return headers;
    }

    /** Gives the body out and makes ready for the next message. */
    byte[] takeBody() {
        byte[] whole = body.toByteArray();
        body = new ByteArrayOutputStream(0);
        headers = new Headers();
        headBytes = 0;
        headHeld = 0;
        bodyBytes = 0;
        sink = ownSink;
        step = Step.START;
        return whole;
    }
}

package brackenbridge.http;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.util.regex.Pattern;

/**
 * Decodes successive HTTP/1.1 messages from a byte stream that may be split at any byte. It reads no byte beyond the
 * end of a message, so that the rest stays in the buffer for the next one. It is strict on purpose: framing that two
 * parties interpret differently allows request smuggling.
 */
abstract class MessageDecoder {
    /** The maximum size of a buffered body; a longer one has to be streamed. */
    public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** The maximum size of a body, buffered or streamed. */
    public static final long MAX_BODY_BYTES = 32L * 1024 * 1024;

    static final int MAX_START_LINE_CHARS = 8 * 1024;
    static final int MAX_HEAD_BYTES = 16 * 1024;
    static final int MAX_FIELDS = 100;
    private static final int DELETE_CHAR = 0x7f;
    private static final Pattern LENGTH_PATTERN = Pattern.compile("[0-9]{1,18}");
    private static final Pattern CHUNK_SIZE_PATTERN = Pattern.compile("0{0,16}[0-9a-fA-F]{1,7}");

    /** The part of a message that is read next; those between {@code FIELDS} and {@code DONE} read the body. */
    private enum Step {
        START_LINE,
        FIELDS,
        FIXED_BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        BODY_TO_END,
        DONE
    }

    /** How the end of a body is determined. */
    enum Framing {
        NONE,
        FIXED,
        CHUNKED,
        TO_END
    }

    /** Receives a body piece by piece. */
    public interface Sink {
        /** Reads exactly this many bytes from the buffer. */
        void read(ByteBuf from, int length) throws HttpException;
    }

    private final StringBuilder line = new StringBuilder();
    private final Sink initialSink;
    private Sink sink;
    private final long bodyLimit;
    private long bodyBytes;
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private Step step = Step.START_LINE;
    private boolean carriageReturn;
    private int headBytes;
    /** The size of the fields in {@link #headers}. */
    private int fieldChars;

    /** The remaining bytes of the body or of the current chunk. */
    private long remainingBytes;

    private Headers headers = new Headers();

    MessageDecoder(Sink sink, long bodyLimit) {
        this.initialSink = sink;
        this.sink = sink;
        this.bodyLimit = bodyLimit;
    }

    /** Parses the start line; returns false if the line is to be skipped. */
    abstract boolean parseStartLine(String text) throws HttpException;

    /** Validates the head and returns the framing of the body; null if another head follows. */
    abstract Framing parseHead(Headers fields) throws HttpException;

    /** The status of the error for a start line that is too long. */
    abstract int tooLongStartLineStatus();

    /**
     * Reads bytes until a message is complete (returns true), or until the buffer is empty or no more of the body can
     * be buffered (returns false).
     */
    public boolean decode(ByteBuf in) throws HttpException {
        while (step != Step.DONE && in.isReadable()) {
            switch (step) {
                case START_LINE, FIELDS, CHUNK_SIZE, CHUNK_END, TRAILERS -> {
                    if (readLine(in)) {
                        String text = line.toString();
                        line.setLength(0);
                        parseLine(text);
                    }
                }
                default -> {
                    int length = readableBodyBytes(in);
                    if (length == 0) {
                        return false;
                    }
                    readBody(in, length);
                }
            }
        }
        return step == Step.DONE;
    }

    /** Returns how many bytes of the body can be read now; 0 if the body buffer is full. */
    private int readableBodyBytes(ByteBuf in) {
        int length = (int) Math.min(in.readableBytes(), remainingBytes);
        return sink != null ? length : Math.min(length, MAX_BUFFERED_BODY_BYTES - body.size());
    }

    private void readBody(ByteBuf in, int length) throws HttpException {
        takePiece(in, length);
        remainingBytes -= length;
        if (remainingBytes == 0) {
            step = step == Step.CHUNK ? Step.CHUNK_END : Step.DONE;
        }
    }

    private void takePiece(ByteBuf in, int length) throws HttpException {
        bodyBytes += length;
        if (bodyBytes > bodyLimit) {
            throw new HttpException(413, "body over " + bodyLimit + " bytes");
        }
        if (sink != null) {
            sink.read(in, length);
            return;
        }
        if (body.size() == 0 && step == Step.FIXED_BODY) {
            // Guards memory against many large bodies at once: a growing buffer can take twice its content.
            body = new ByteArrayOutputStream((int) Math.min(remainingBytes, MAX_BUFFERED_BODY_BYTES));
        }
        byte[] piece = new byte[length];
        in.readBytes(piece);
        body.write(piece, 0, length);
    }

    private boolean readLine(ByteBuf in) throws HttpException {
        while (in.isReadable()) {
            int next = in.readUnsignedByte();
            if (carriageReturn) {
                carriageReturn = false;
                if (next != '\n') {
                    throw new HttpException(400, "bare carriage return");
                }
                return true;
            }
            if (next == '\r') {
                carriageReturn = true;
                continue;
            }
            if (next < ' ' && next != '\t' || next == DELETE_CHAR) {
                throw new HttpException(400, "control character in the head");
            }
            line.append((char) next);
            if (step == Step.START_LINE && line.length() > MAX_START_LINE_CHARS) {
                throw new HttpException(tooLongStartLineStatus(), "start line too long");
            }
            if (++headBytes > MAX_HEAD_BYTES && step != Step.START_LINE) {
                throw new HttpException(431, "head too long");
            }
        }
        return false;
    }

    private void parseLine(String text) throws HttpException {
        switch (step) {
            case START_LINE -> {
                if (parseStartLine(text)) {
                    headBytes = 0;
                    step = Step.FIELDS;
                }
            }
            case FIELDS -> {
                if (text.isEmpty()) {
                    onHeadEnd();
                } else {
                    parseField(text);
                }
            }
            case CHUNK_SIZE -> {
                remainingBytes = parseChunkSize(text);
                headBytes = 0;
                step = remainingBytes == 0 ? Step.TRAILERS : Step.CHUNK;
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

    private void parseField(String text) throws HttpException {
        int colon = text.indexOf(':');
        if (colon <= 0) {
            throw new HttpException(400, "not a field");
        }
        if (headers.size() >= MAX_FIELDS) {
            throw new HttpException(431, "too many fields");
        }
        String name = text.substring(0, colon);
        // Also rejects folded lines and a space before the colon, which HTTP implementations read differently.
        if (!isToken(name)) {
            throw new HttpException(400, "not a field name");
        }
        headers.add(name, text.substring(colon + 1).strip());
        fieldChars += text.length();
    }

    /** Whether the text is a token of RFC 9110. */
    static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isTokenChar(text.charAt(i))) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean isTokenChar(char character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || "!#$%&'*+-.^_`|~".indexOf(character) >= 0;
    }

    private void onHeadEnd() throws HttpException {
        Framing framing = parseHead(headers);
        if (framing == null) {
            headers = new Headers();
            fieldChars = 0;
            step = Step.START_LINE;
            return;
        }
        switch (framing) {
            case NONE -> step = Step.DONE;
            case FIXED -> {
                remainingBytes = contentLength(headers);
                step = remainingBytes == 0 ? Step.DONE : Step.FIXED_BODY;
            }
            case CHUNKED -> step = Step.CHUNK_SIZE;
            default -> {
                remainingBytes = Long.MAX_VALUE;
                step = Step.BODY_TO_END;
            }
        }
        headBytes = 0;
    }

    /** The framing that the fields declare; null if they declare none. */
    Framing declaredFraming(Headers fields) throws HttpException {
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
        if (!LENGTH_PATTERN.matcher(text).matches()) {
            throw new HttpException(400, "not a length");
        }
        long length = Long.parseLong(text);
        if (length > bodyLimit) {
            throw new HttpException(413, "body over " + bodyLimit + " bytes");
        }
        return length;
    }

    private static long parseChunkSize(String text) throws HttpException {
        int semicolon = text.indexOf(';');
        String digits = (semicolon < 0 ? text : text.substring(0, semicolon)).stripTrailing();
        if (!CHUNK_SIZE_PATTERN.matcher(digits).matches()) {
            throw new HttpException(400, "not a chunk size");
        }
        return Long.parseLong(digits, 16);
    }

    /** Handles the end of the connection; returns whether it completes the message. */
    public boolean onConnectionEnd() {
        if (step == Step.BODY_TO_END) {
            step = Step.DONE;
            return true;
        }
        return false;
    }

    /** Whether a part of a message has been received. */
    public boolean isMessageStarted() {
        return step != Step.START_LINE || line.length() > 0 || carriageReturn;
    }

    /** Returns the number of bytes that are buffered for the current message. */
    public int bufferedBytes() {
        return line.length() + fieldChars + body.size();
    }

    /** Whether the head is complete and the body is not. */
    public boolean awaitsBody() {
        return step.compareTo(Step.FIELDS) > 0 && step != Step.DONE;
    }

    /** Whether the body buffer is full: the rest of the body has to be streamed, by {@link #streamBody}. */
    public boolean isBodyBufferFull() {
        return sink == null && awaitsBody() && body.size() >= MAX_BUFFERED_BODY_BYTES;
    }

    /** Whether the body's length, or that of the current chunk, says that the body is too long to be buffered. */
    public boolean declaresLongBody() {
        boolean declared = step == Step.FIXED_BODY || step == Step.CHUNK;
        return sink == null && declared && remainingBytes + body.size() > MAX_BUFFERED_BODY_BYTES;
    }

    /** Whether the length of the body is unknown until it ends. */
    public boolean isLengthUnknown() {
        return awaitsBody() && step != Step.FIXED_BODY;
    }

    /** How much of the body has been received. */
    public long bodyBytes() {
        return bodyBytes;
    }

    /** Returns the buffered part of the body and passes the rest of this body to the sink. */
    public byte[] streamBody(Sink bodySink) {
        byte[] buffered = body.toByteArray();
        body = new ByteArrayOutputStream(0);
        sink = bodySink;
        return buffered;
    }

    /** Returns the length of the body that the head declares, or -1. */
    public long declaredLength() throws HttpException {
        return headers.count("Content-Length") == 1 ? contentLength(headers) : -1;
    }

    Headers headers() {
        return headers;
    }

    /** Returns the buffered body and resets the decoder for the next message. */
    byte[] takeBody() {
        byte[] completeBody = body.toByteArray();
        body = new ByteArrayOutputStream(0);
        headers = new Headers();
        headBytes = 0;
        fieldChars = 0;
        bodyBytes = 0;
        sink = initialSink;
        step = Step.START_LINE;
        return completeBody;
    }
}

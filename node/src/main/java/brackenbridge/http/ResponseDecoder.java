package brackenbridge.http;

import java.util.regex.Pattern;

/** Decodes HTTP responses to requests other than HEAD and CONNECT, whose responses have no body. */
public final class ResponseDecoder extends MessageDecoder {
    /** How many interim responses (1xx) may precede a final one. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private static final Pattern STATUS_LINE_PATTERN = Pattern.compile("HTTP/1\\.[0-9] [1-5][0-9][0-9]( .*)?");
    /** Whether responses of every status may have an unframed body. */
    private final boolean unframedBodies;

    private int status;
    private int interimResponses;
    private boolean http11;
    private boolean framed;

    /** Buffers bodies up to the limit; of unframed ones, which end with the connection, only that of a 200. */
    public ResponseDecoder() {
        super(null, MAX_BODY_BYTES);
        unframedBodies = false;
    }

    /** Passes bodies of any length to the sink; an unframed one ends with the connection. */
    public ResponseDecoder(Sink sink) {
        super(sink, Long.MAX_VALUE);
        unframedBodies = true;
    }

    @Override
    boolean parseStartLine(String text) throws HttpException {
        if (!STATUS_LINE_PATTERN.matcher(text).matches()) {
            throw new HttpException(502, "not a status line");
        }
        status = Integer.parseInt(text.substring(9, 12));
        http11 = !text.startsWith("HTTP/1.0");
        return true;
    }

    @Override
    Framing parseHead(Headers fields) throws HttpException {
        if (status == 101) {
            throw new HttpException(502, "unrequested switch of protocols");
        }
        if (status < 200) {
            // Guards against a server that never sends its final response.
            if (++interimResponses > MAX_INTERIM_RESPONSES) {
                throw new HttpException(502, "too many interim responses");
            }
            return null;
        }
        interimResponses = 0;
        framed = true;
        if (status == 204 || status == 304) {
            return Framing.NONE;
        }
        Framing framing = declaredFraming(fields);
        framed = framing != null;
        if (framed) {
            return framing;
        }
        // An unframed body ends with an orderly end of the connection; the caller has to distinguish that from a
        // reset. Where bodies are buffered, only that of a 200 is needed.
        return unframedBodies || status == 200 ? Framing.TO_END : Framing.NONE;
    }

    @Override
    int tooLongStartLineStatus() {
        return 502;
    }

    /** The status code of the current response. */
    public int status() {
        return status;
    }

    /** Returns the complete response and resets the decoder for the next one. */
    public HttpResponse takeResponse() {
        HttpResponse head = withBody(null);
        return new HttpResponse(status, head.keepAlive(), head.headers(), takeBody());
    }

    /** Returns the response whose head is complete, with this part of its body. */
    public HttpResponse withBody(byte[] bodyPart) {
        Headers fields = headers();
        boolean keepAlive = framed
                && (http11
                        ? !fields.hasListElement("Connection", "close")
                        : fields.hasListElement("Connection", "keep-alive"));
        return new HttpResponse(status, keepAlive, fields, bodyPart);
    }
}

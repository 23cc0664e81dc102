package brackenbridge.http;

import java.util.regex.Pattern;

/** Decodes answers to requests that may have a body in their answer (none is HEAD or CONNECT). */
public final class ResponseDecoder extends MessageDecoder {
    /** Interim answers (1xx) that may come in front of one answer. */
    private static final int INTERIM_LIMIT = 16;

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[0-9] [1-5][0-9][0-9]( .*)?");
    private final boolean toEnd;
    private int status;
    private int interim;
    private boolean http11;
    private boolean framed;

    /** Keeps each body whole, up to the limit; that of a success without framing ends with its connection. */
    public ResponseDecoder() {
        super(null, BODY_LIMIT);
        toEnd = false;
    }

    /** Hands bodies on as they come, without a limit; one without framing ends with its connection. */
    public ResponseDecoder(Sink sink) {
        super(sink, Long.MAX_VALUE);
        toEnd = true;
    }

    @Override
    boolean startLine(String text) throws HttpException {
        if (!STATUS_LINE.matcher(text).matches()) {
            throw new HttpException(502, "not a status line");
        }
        status = Integer.parseInt(text.substring(9, 12));
        http11 = !text.startsWith("HTTP/1.0");
        return true;
    }

    @Override
    Framing head(Headers fields) throws HttpException {
        if (status == 101) {
            throw new HttpException(502, "switch of protocols unasked");
        }
        if (status < 200) {
            // Guards against a server that never comes to its answer.
            if (++interim > INTERIM_LIMIT) {
                throw new HttpException(502, "interim answers without end");
            }
            return null;
        }
        interim = 0;
        framed = true;
        if (status == 204 || status == 304) {
            return Framing.NONE;
        }
        Framing framing = named(fields);
        framed = framing != null;
        if (framed) {
            return framing;
        }
        // Such a body ends where its sender ends the connection in order; whoever reads it has to tell that from a
        // reset. Of any other status than success the head alone says all that counts.
        return toEnd || status == 200 ? Framing.TO_END : Framing.NONE;
    }

    @Override
    int tooLongStart() {
        return 502;
    }

    /** The status, once the head is whole. */
    public int status() {
        return status;
    }

    /** The answer that is whole; the decoder is ready for the next. */
    public HttpResponse take() {
        HttpResponse head = part(null);
        return new HttpResponse(status, head.keepAlive(), head.headers(), takeBody());
    }

    /** The answer whose head is whole, with this part of its body. */
    public HttpResponse part(byte[] part) {
        Headers fields = headers();
        boolean keepAlive =
                framed && (http11 ? !fields.lists("Connection", "close") : fields.lists("Connection", "keep-alive"));
        return new HttpResponse(status, keepAlive, fields, part);
    }
}

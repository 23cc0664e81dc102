package brackenbridge.http;

/** Decodes answers to requests that may have a body in their answer (none is HEAD or CONNECT). */
public final class ResponseDecoder extends MessageDecoder {
    private int status;
    private boolean http11;
    private boolean framed;

    /** Keeps each body whole, up to the limit. */
    public ResponseDecoder() {
        super(null);
    }

    /** Hands bodies on as they come, without a limit. */
    public ResponseDecoder(Sink sink) {
        super(sink);
    }

    @Override
    boolean startLine(String text) throws HttpException {
        if (!text.matches("HTTP/1\\.[0-9] [1-5][0-9][0-9]( .*)?")) {
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
            return null;
        }
        framed = true;
        if (status == 204 || status == 304) {
            return Framing.NONE;
        }
        Framing framing = named(fields);
        framed = framing != null;
        return framed ? framing : Framing.TO_END;
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
        Headers fields = headers();
        boolean keepAlive = framed
                && (http11 ? !fields.lists("Connection", "close") : fields.lists("Connection", "keep-alive"));
        return new HttpResponse(status, keepAlive, fields, takeBody());
    }
}

package brackenbridge.http;

import java.util.regex.Pattern;

/** Decodes HTTP requests. */
public final class RequestDecoder extends MessageDecoder {
    private static final Pattern VERSION_PATTERN = Pattern.compile("HTTP/[0-9]\\.[0-9]");
    private static final String SCHEME = "http://";
    /** How many empty lines are accepted before a request line. */
    private static final int MAX_BLANK_LINES = 4;

    private String method;
    private String target;
    /** The authority of a target in absolute form; null for other forms. */
    private String authority;

    private boolean http11;
    private int blankLines;

    /** Creates a decoder of requests, whose bodies are buffered up to the limit. */
    public RequestDecoder() {
        super(null, MAX_BODY_BYTES);
    }

    @Override
    boolean parseStartLine(String text) throws HttpException {
        if (text.isEmpty() && ++blankLines <= MAX_BLANK_LINES) {
            return false;
        }
        String[] parts = text.split(" ", -1);
        authority = null;
        if (parts.length == 3) {
            parts[1] = withoutAuthority(parts[1]);
        }
        if (parts.length != 3
                || !isToken(parts[0])
                || !parts[1].startsWith("/")
                || !VERSION_PATTERN.matcher(parts[2]).matches()) {
            throw new HttpException(400, "not a request line");
        }
        if (!parts[2].startsWith("HTTP/1.")) {
            throw new HttpException(505, "not HTTP/1");
        }
        method = parts[0];
        target = parts[1];
        http11 = !parts[2].equals("HTTP/1.0");
        return true;
    }

    /** Returns the target in origin form; sets the authority from one in absolute form. */
    private String withoutAuthority(String requestTarget) {
        if (!requestTarget.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return requestTarget;
        }
        int path = requestTarget.indexOf('/', SCHEME.length());
        authority = requestTarget.substring(SCHEME.length(), path < 0 ? requestTarget.length() : path);
        return path < 0 ? "/" : requestTarget.substring(path);
    }

    @Override
    Framing parseHead(Headers fields) throws HttpException {
        if (fields.count("Host") > 1) {
            throw new HttpException(400, "more than one Host field");
        }
        Framing framing = declaredFraming(fields);
        if (framing == Framing.CHUNKED && !http11) {
            throw new HttpException(400, "chunked body in HTTP/1.0");
        }
        return framing == null ? Framing.NONE : framing;
    }

    @Override
    int tooLongStartLineStatus() {
        return 414;
    }

    /** Whether the client waits for {@code 100 Continue} before it sends the body. */
    public boolean expectsContinue() {
        return awaitsBody() && http11 && headers().hasListElement("Expect", "100-continue");
    }

    /** Returns the complete request and resets the decoder for the next one. */
    public HttpRequest takeRequest() {
        HttpRequest head = withBody(null);
        blankLines = 0;
        return new HttpRequest(head.method(), head.target(), http11, head.keepAlive(), head.headers(), takeBody());
    }

    /** Returns the request whose head is complete, with this part of its body. */
    public HttpRequest withBody(byte[] bodyPart) {
        Headers fields = headers();
        if (authority != null) {
            // RFC 9112, 3.2.2: the authority of an absolute target replaces the Host field.
            fields = fields.without("Host").add("Host", authority);
        }
        boolean keepAlive = http11 && !fields.hasListElement("Connection", "close");
        return new HttpRequest(method, target, http11, keepAlive, fields, bodyPart);
    }
}

package brackenbridge.http;

import java.util.regex.Pattern;

/** Decodes requests. */
public final class RequestDecoder extends MessageDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/[0-9]\\.[0-9]");
    private static final String SCHEME = "http://";
    private String method;
    private String target;
    /** Of a target in absolute form; null else. */
    private String authority;

    private boolean http11;
    private int blankLines;

    /** Ready for the first request. */
    public RequestDecoder() {
        super(null, BODY_LIMIT);
    }

    @Override
    boolean startLine(String text) throws HttpException {
        if (text.isEmpty() && ++blankLines <= 4) {
            return false;
        }
        String[] parts = text.split(" ", -1);
        authority = null;
        if (parts.length == 3 && parts[1].regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            int path = parts[1].indexOf('/', SCHEME.length());
            authority = parts[1].substring(SCHEME.length(), path < 0 ? parts[1].length() : path);
            parts[1] = path < 0 ? "/" : parts[1].substring(path);
        }
        if (parts.length != 3
                || !token(parts[0])
                || !parts[1].startsWith("/")
                || !VERSION.matcher(parts[2]).matches()) {
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

    @Override
    Framing head(Headers fields) throws HttpException {
        if (fields.count("Host") > 1) {
            throw new HttpException(400, "more than one host");
        }
        Framing framing = named(fields);
        if (framing == Framing.CHUNKED && !http11) {
            throw new HttpException(400, "chunks in HTTP/1.0");
        }
        return framing == null ? Framing.NONE : framing;
    }

    @Override
    int tooLongStart() {
        return 414;
    }

    /** Whether the client waits for a word before it sends the body. */
    public boolean expectsContinue() {
        return awaitsBody() && http11 && headers().lists("Expect", "100-continue");
    }

    /** The request that is whole; the decoder is ready for the next. */
    public HttpRequest take() {
        HttpRequest head = part(null);
        blankLines = 0;
        return new HttpRequest(head.method(), head.target(), http11, head.keepAlive(), head.headers(), takeBody());
    }

    /** The request whose head is whole, with this part of its body. */
    public HttpRequest part(byte[] part) {
        Headers fields = headers();
        if (authority != null) {
            // The target says better than the field whom the client meant.
            fields = fields.without("Host").add("Host", authority);
        }
        boolean keepAlive = http11 && !fields.lists("Connection", "close");
        return new HttpRequest(method, target, http11, keepAlive, fields, part);
    }
}

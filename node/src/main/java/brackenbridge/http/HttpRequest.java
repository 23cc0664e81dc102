package brackenbridge.http;

/**
 * An HTTP request, complete or with the first part of its body.
 *
 * @param method its method
 * @param target the path and query, unchanged
 * @param http11 whether the client uses HTTP/1.1
 * @param keepAlive whether its connection may carry another request
 * @param headers its header fields
 * @param body its body, without framing
 */
public record HttpRequest(
        String method, String target, boolean http11, boolean keepAlive, Headers headers, byte[] body) {

    /** Returns the first segment of the path. */
    public String firstPathSegment() {
        int end = 1;
        while (end < target.length() && "/?#".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        return target.substring(Math.min(1, target.length()), end);
    }
}

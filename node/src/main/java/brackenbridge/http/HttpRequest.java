package brackenbridge.http;

/**
 * A whole request.
 *
 * @param method its method
 * @param target path and query, as they came
 * @param keepAlive whether its connection may carry another
 * @param headers its header fields
 * @param body its body, without framing
 */
public record HttpRequest(String method, String target, boolean keepAlive, Headers headers, byte[] body) {

    /** The first part of the path. */
    public String firstPart() {
        int end = 1;
        while (end < target.length() && "/?#".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        return target.substring(Math.min(1, target.length()), end);
    }
}

package brackenbridge.http;

/**
 * A whole answer.
 *
 * @param status its status
 * @param keepAlive whether its connection may carry another
 * @param headers its header fields
 * @param body its body, without framing
 */
public record HttpResponse(int status, boolean keepAlive, Headers headers, byte[] body) {
}

package brackenbridge.http;

/**
 * An HTTP response, complete or with the first part of its body.
 *
 * @param status its status code
 * @param keepAlive whether its connection may carry another response
 * @param headers its header fields
 * @param body its body, without framing
 */
public record HttpResponse(int status, boolean keepAlive, Headers headers, byte[] body) {}

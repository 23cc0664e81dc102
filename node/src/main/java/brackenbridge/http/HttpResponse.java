package brackenbridge.http;

/**
 * An answer, whole or with the first part of its body.
 *
 * @param status its status
 * @param keepAlive whether its connection may carry another
 * @param headers its header fields
 * @param body its body, without framing
 */
public record HttpResponse(int status, boolean keepAlive, Headers headers, byte[] body) {}

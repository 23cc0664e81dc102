package brackenbridge.net.channel;

import brackenbridge.http.HttpResponse;

/**
 * A response with a long body, as the message for a request's client.
 *
 * @param head the response's head
 * @param length the body's length, or -1 if it is unknown until the body ends
 * @param body the body from its first byte
 */
public record StreamedResponse(HttpResponse head, long length, BodyStream body) {}

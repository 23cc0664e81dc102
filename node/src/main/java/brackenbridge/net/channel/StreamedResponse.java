package brackenbridge.net.channel;

import brackenbridge.http.HttpResponse;

/**
 * An answer with a long body, as a message for a flow's client.
 *
 * @param head the answer's head
 * @param length the body's length, or -1 if only its end will tell
 * @param body the body from its first byte
 */
public record StreamedResponse(HttpResponse head, long length, BodyStream body) {}

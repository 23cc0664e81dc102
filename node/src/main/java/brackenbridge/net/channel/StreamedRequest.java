package brackenbridge.net.channel;

import brackenbridge.http.HttpRequest;

/**
 * A request with a long body, as a flow's message.
 *
 * @param head the request with the first part of its body, which is kept: until more has gone out it can be sent again
 * @param length the body's length, or -1 if it comes in chunks
 * @param body what follows the first part
 */
public record StreamedRequest(HttpRequest head, long length, BodyStream body) {}

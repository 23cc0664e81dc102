package brackenbridge.net.channel;

import brackenbridge.http.HttpRequest;

/**
 * A request with a long body, as the message of a request in the reducer.
 *
 * @param head the request with the first part of its body, which is kept: the request can be retried until more has
 * been sent
 * @param length the body's length, or -1 if it is chunked
 * @param body the body after its first part
 */
public record StreamedRequest(HttpRequest head, long length, BodyStream body) {}

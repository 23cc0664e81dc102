package brackenbridge.net.channel;

import brackenbridge.http.HttpEncoder;
import brackenbridge.http.HttpRequest;

/**
 * A request with a long body, as the message of a request in the reducer.
 *
 * @param head the request with the first part of its body, which is kept: the request can be retried until more has
 * been sent
 * @param length the body's length, or -1 if it is chunked
 * @param body the body after its first part
 */
public record StreamedRequest(HttpRequest head, long length, BodyStream body) {
    /** The id that the client gave the request with this message, streamed or not. */
    public static String correlationId(Object message) {
        HttpRequest request = message instanceof StreamedRequest streamed ? streamed.head() : (HttpRequest) message;
        return request.headers().get(HttpEncoder.CORRELATION_ID);
    }
}

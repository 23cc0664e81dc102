package brackenbridge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.testing.Bytes;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class DecoderTest {
    private static final String POST =
            "POST /file/x?y=1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 9b\r\n" + "Content-Length: 5\r\n\r\nhello";
    private static final String CHUNKED = "POST /file HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "3;a=b\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: t\r\n\r\n";
    private static final String GET = "GET /view HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
    private static final String RESPONSES = "HTTP/1.1 100 Continue\r\n\r\n"
            + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
            + "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

    private static List<HttpRequest> decodeRequests(List<byte[]> pieces) throws HttpException {
        RequestDecoder decoder = new RequestDecoder();
        List<HttpRequest> requests = new ArrayList<>();
        ByteBuf in = Unpooled.buffer();
        for (byte[] piece : pieces) {
            in.writeBytes(piece);
            while (decoder.decode(in)) {
                requests.add(decoder.takeRequest());
            }
        }
        return requests;
    }

    private static int rejectionStatus(String text) {
        return assertThrows(HttpException.class, () -> decodeRequests(Bytes.splitRandomly(text, 1)), text)
                .status();
    }

    @Property(seed = "11", tries = 300)
    void requestsSplitAnywhereDecodeTheSame(@ForAll long seed) throws HttpException {
        List<HttpRequest> requests = decodeRequests(Bytes.splitRandomly(POST + CHUNKED + GET + POST, seed));
        assertEquals(
                List.of("/file/x?y=1", "/file", "/view", "/file/x?y=1"),
                requests.stream().map(HttpRequest::target).toList());
        assertEquals(
                List.of("hello", "hello", "", "hello"),
                requests.stream()
                        .map(q -> new String(q.body(), StandardCharsets.UTF_8))
                        .toList());
        assertEquals(
                List.of(true, true, false, true),
                requests.stream().map(HttpRequest::keepAlive).toList());
    }

    @Property(seed = "12", tries = 300)
    void responsesSplitAnywhereDecodeTheSame(@ForAll long seed) throws HttpException {
        ResponseDecoder decoder = new ResponseDecoder();
        List<String> responses = new ArrayList<>();
        ByteBuf in = Unpooled.buffer();
        for (byte[] piece : Bytes.splitRandomly(RESPONSES, seed)) {
            in.writeBytes(piece);
            while (decoder.decode(in)) {
                HttpResponse response = decoder.takeResponse();
                responses.add(response.status() + new String(response.body(), StandardCharsets.UTF_8));
            }
        }
        assertEquals(List.of("200hello", "503hello"), responses);
        assertFalse(decoder.onConnectionEnd());
    }

    @Property(seed = "13", tries = 1000)
    void garbageIsRejectedOrDecodedWithinItsSize(@ForAll long seed) {
        String text = Bytes.mutateRandomly(POST + CHUNKED + GET, seed);
        try {
            int bodies = decodeRequests(Bytes.splitRandomly(text, seed)).stream()
                    .mapToInt(r -> r.body().length)
                    .sum();
            assertTrue(bodies < text.length());
        } catch (HttpException e) {
            assertTrue(Set.of(400, 413, 414, 431, 505).contains(e.status()), text);
        }
    }

    @Test
    void malformedRequestsHaveTheirStatus() {
        String head = "POST /file HTTP/1.1\r\n";
        assertEquals(400, rejectionStatus(head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"));
        assertEquals(400, rejectionStatus(head + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n"));
        assertEquals(400, rejectionStatus(head + "Content-Length: 5, 5\r\n\r\n"));
        assertEquals(400, rejectionStatus(head + "Content-Length: +5\r\n\r\n"));
        assertEquals(400, rejectionStatus(head + "Transfer-Encoding: gzip, chunked\r\n\r\n"));
        assertEquals(400, rejectionStatus(head + "Transfer-Encoding : chunked\r\n\r\n"));
        assertEquals(400, rejectionStatus(head + "A: b\r\n folded\r\n\r\n"));
        assertEquals(400, rejectionStatus(head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n"));
        assertEquals(400, rejectionStatus("\u0016\u0003\u0001 bare junk\r\n"));
        assertEquals(400, rejectionStatus("GET /view HTTP/1.1\nHost: a\n\n"));
        assertEquals(413, rejectionStatus(head + "Content-Length: 33554433\r\n\r\n"));
        assertEquals(414, rejectionStatus("GET /" + "x".repeat(9000)));
        assertEquals(431, rejectionStatus(head + "A: " + "x".repeat(17000)));
        assertEquals(431, rejectionStatus(head + "A: b\r\n".repeat(101)));
        assertEquals(505, rejectionStatus("GET /view HTTP/2.0\r\n"));
    }

    private static boolean decode(ResponseDecoder decoder, String text) throws HttpException {
        return decoder.decode(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Property(seed = "14", tries = 60)
    void longBodiesSplitAnywhereAreStreamedInOrder(@ForAll long seed) throws HttpException {
        String body = "0123456789abcdef".repeat(9000);
        String sized = "POST /file HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        String chunked = "POST /file HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n" + "0000000010000;a=\"b;c\"\r\n"
                + body.substring(0, 65536) + "\r\n" + Integer.toHexString(body.length() - 65536) + "\r\n"
                + body.substring(65536) + "\r\n0\r\nTrailer: t\r\n\r\n";
        RequestDecoder decoder = new RequestDecoder();
        ByteBuf in = Unpooled.buffer();
        List<String> bodies = new ArrayList<>();
        StringBuilder received = new StringBuilder();
        for (byte[] piece : Bytes.splitRandomly(sized + chunked + GET, seed)) {
            in.discardReadBytes().writeBytes(piece);
            while (true) {
                if (decoder.decode(in)) {
                    received.append(new String(decoder.takeRequest().body(), StandardCharsets.ISO_8859_1));
                    bodies.add(received.toString());
                    received.setLength(0);
                } else if (decoder.isBodyBufferFull()) {
                    received.append(new String(
                            decoder.streamBody((from, n) ->
                                    received.append(from.readCharSequence(n, StandardCharsets.ISO_8859_1))),
                            StandardCharsets.ISO_8859_1));
                } else {
                    break;
                }
            }
            assertTrue(
                    decoder.bufferedBytes() <= MessageDecoder.MAX_BUFFERED_BODY_BYTES + 200,
                    "buffered " + decoder.bufferedBytes());
        }
        assertEquals(List.of(body, body, ""), bodies);
    }

    @Test
    void chunkedBodyOverTheLimitIsRejected() throws HttpException {
        RequestDecoder decoder = new RequestDecoder();
        decoder.decode(Unpooled.copiedBuffer(
                "POST /file HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2000001\r\n", StandardCharsets.US_ASCII));
        decoder.streamBody((from, n) -> from.skipBytes(n));
        ByteBuf piece = Unpooled.wrappedBuffer(new byte[1 << 20]);
        for (int i = 0; i < 32; i++) {
            assertFalse(decoder.decode(piece.duplicate()));
        }
        assertEquals(
                413,
                assertThrows(HttpException.class, () -> decoder.decode(piece.duplicate()))
                        .status());
    }

    @Test
    void absoluteTargetReplacesTheHost() throws HttpException {
        HttpRequest request = decodeRequests(
                        Bytes.splitRandomly("GET HTTP://b:80/view?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", 3))
                .get(0);
        assertEquals("/view?x=1", request.target());
        assertEquals("b:80", request.headers().get("host"));
    }

    @Test
    void successWithoutFramingEndsWithTheConnection() throws HttpException {
        for (String head : new String[] {
            "HTTP/1.1 200 OK\r\nConnection: x, Close\r\n",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n",
            "HTTP/1.0 200 OK\r\n",
            "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"
        }) {
            ResponseDecoder decoder = new ResponseDecoder();
            assertFalse(decode(decoder, head + "\r\n"), "an empty body is not complete yet");
            assertFalse(decode(decoder, "hel"));
            assertFalse(
                    decode(decoder, "\r\n\r\nHTTP/1.1 200 OK\r\n"), "the body extends to the end of the connection");
            assertTrue(decoder.onConnectionEnd());
            HttpResponse response = decoder.takeResponse();
            assertEquals(
                    "hel\r\n\r\nHTTP/1.1 200 OK\r\n", new String(response.body(), StandardCharsets.US_ASCII), head);
            assertFalse(response.keepAlive(), head);
        }
    }

    @Test
    void endOfTheConnectionDoesNotCompleteAHeadOrAFramedBody() throws HttpException {
        for (String half : new String[] {
            "",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nConnection: close\r",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nhel",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhell\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n"
        }) {
            ResponseDecoder decoder = new ResponseDecoder();
            assertFalse(decode(decoder, half));
            assertFalse(decoder.onConnectionEnd(), half);
        }
    }

    @Test
    void otherStatusesNeedNoFraming() throws HttpException {
        ResponseDecoder decoder = new ResponseDecoder();
        assertTrue(decode(decoder, "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\n\r\n"));
        assertFalse(decoder.takeResponse().keepAlive());
    }

    @Test
    void streamedBodyWithoutFramingEndsWithTheConnection() throws HttpException {
        StringBuilder body = new StringBuilder();
        ResponseDecoder decoder =
                new ResponseDecoder((from, n) -> body.append(from.readCharSequence(n, StandardCharsets.US_ASCII)));
        assertFalse(decode(decoder, "HTTP/1.1 200 OK\r\n\r\nhel"));
        assertTrue(decoder.onConnectionEnd());
        assertEquals("hel", body.toString());
    }

    @Test
    void interimResponsesAreSkippedUpToALimit() throws HttpException {
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
        ResponseDecoder decoder = new ResponseDecoder();
        assertFalse(decode(decoder, interim.repeat(16)));
        assertTrue(decode(decoder, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
        assertThrows(HttpException.class, () -> decode(new ResponseDecoder(), interim.repeat(17)));
    }

    @Test
    void bufferedBytesAreCountedAndReleased() throws HttpException {
        RequestDecoder decoder = new RequestDecoder();
        decoder.decode(Unpooled.copiedBuffer(POST.substring(0, POST.length() - 1), StandardCharsets.US_ASCII));
        assertTrue(decoder.bufferedBytes() > 40, "buffered " + decoder.bufferedBytes());
        assertTrue(decoder.decode(Unpooled.copiedBuffer("o", StandardCharsets.US_ASCII)));
        decoder.takeRequest();
        assertEquals(0, decoder.bufferedBytes());
    }
}

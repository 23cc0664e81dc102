package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Client requests through a complete node on loopback. */
class NodeTest extends RunningNode {
    @Test
    void requestAndResponsePassUnchanged() throws Exception {
        server.responses.add(OK);
        send(fileRequest("hello"));
        String got = server.nextRequest();
        assertTrue(got.startsWith("POST /file/a?b=c HTTP/1.1\r\n") && got.endsWith("\r\n\r\nhello"), got);
        assertTrue(got.contains("X-Correlation-Id: 9b\r\n"), got);
        assertTrue(got.matches("(?s).*X-Time-Left-Ms: 49[0-9][0-9]\r\n.*"), got);
        String back = readResponse();
        assertTrue(back.startsWith("HTTP/1.1 200 ") && back.endsWith("\r\n\r\ndone"), back);
    }

    @Test
    void pipelinedAndChunkedRequestsAreAnsweredInOrder() throws Exception {
        server.responses.add(OK);
        server.responses.add(OK.replace("done", "more"));
        send(fileRequest("one") + request("POST", "/file", "Transfer-Encoding: chunked\r\n", "3\r\ntwo\r\n0\r\n\r\n"));
        assertTrue(readResponse().endsWith("done"));
        assertTrue(readResponse().endsWith("more"));
        assertTrue(server.nextRequest().endsWith("\r\n\r\none"));
        assertTrue(server.nextRequest().endsWith("\r\n\r\ntwo"));
    }

    @Test
    void clientThatExpectsContinueReceivesIt() throws Exception {
        server.responses.add(OK);
        send(request("POST", "/file", "Expect: 100-continue\r\nContent-Length: 3\r\n", ""));
        assertEquals("HTTP/1.1 100 Continue\r\n\r\n", readResponse());
        send("abc");
        assertTrue(readResponse().endsWith("done"));
    }

    @Test
    void invalidRequestsAreRejectedWithTheirStatus() throws IOException {
        expectStatus(404, request("GET", "/other", "", ""));
        expectStatus(404, request("GET", "/view", "X-Service-Class: file\r\n", ""));
        expectStatus(405, request("GET", "/file", "", ""));
        expectStatus(405, request("POST", "/view", "Content-Length: 0\r\n", ""));
        expectStatus(400, "GET /view HTTP/1.1\r\nHost: a\r\n\r\n");
        expectStatus(400, "GET /view HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: \r\n\r\n");
        expectStatus(400, "junk\r\n\r\n");
        assertEquals(-1, client.getInputStream().read());
        expectStatus(413, request("POST", "/file", "Content-Length: 33554433\r\n", ""));
        expectStatus(431, request("GET", "/view", "A: " + "x".repeat(20_000) + "\r\n", ""));
        expectStatus(200, "GET /health/ready HTTP/1.1\r\n\r\n");
        expectStatus(200, "GET /health/counters HTTP/1.1\r\n\r\n");
        assertEquals(0, server.requests.size());
    }

    @Test
    void disconnectedClientCancelsItsAttempt() throws Exception {
        send(fileRequest("a"));
        assertNotNull(server.nextRequest());
        client.close();
        client = connect();
        String counted = "";
        for (int i = 0; i < 1000 && !counted.contains("forwards_cancelled 1\n"); i++) {
            send("GET /health/counters HTTP/1.1\r\n\r\n");
            counted = readResponse();
        }
        assertTrue(counted.contains("flows_gone 1\n") && counted.contains("forwards_cancelled 1\n"), counted);
    }

    @Test
    void silentAndSlowClientsAreDisconnectedWithinThreeSeconds() throws Exception {
        Socket silent = connect();
        send("POST /file HTTP/1.1\r\n");
        settle();
        clock.pass(2600);
        assertEquals(-1, silent.getInputStream().read());
        assertTrue(readResponse().startsWith("HTTP/1.1 408 "));
        silent.close();
    }

    @Test
    void requestBodyHasAMinimumRateButNoFixedTime() throws Exception {
        server.responses.add(OK);
        send(request("POST", "/file", "Content-Length: 32100\r\n", "x"));
        settle();
        clock.pass(2000);
        // As many bytes as the minimum rate requires in a second: three seconds in total are not too long then.
        send("y".repeat(32_000));
        settle();
        clock.pass(1000);
        settle();
        send("z".repeat(99));
        assertTrue(readResponse().endsWith("done"));
        send(request("POST", "/file", "Content-Length: 32100\r\n", "x"));
        settle();
        clock.pass(2600);
        assertTrue(readResponse().startsWith("HTTP/1.1 408 "));
        assertEquals(1, server.requests.size(), "nothing of the stalled request is forwarded");
    }

    @Test
    void invalidRequestEndsItsConnectionDespitePipelinedRequests() throws Exception {
        send(request("GET", "/other", "", "").repeat(300));
        assertTrue(readResponse().startsWith("HTTP/1.1 404 "));
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void requestWithTheIdOfAnOpenRequestIsRejected() throws Exception {
        send(fileRequest("a"));
        assertNotNull(server.nextRequest());
        Socket first = client;
        expectStatus(409, fileRequest("b"));
        client = first;
        server.responses.add(OK);
        assertTrue(readResponse().endsWith("done"));
        assertNull(server.requests.poll());
    }

    @Test
    void oversizedRejectedBodyIsNotReadToItsEnd() throws Exception {
        send(request("POST", "/file", "Content-Length: 60000000\r\n", ""));
        assertTrue(readResponse().startsWith("HTTP/1.1 413 "));
        byte[] piece = new byte[1 << 20];
        assertThrows(IOException.class, () -> {
            for (int i = 0; i < 60; i++) {
                clock.pass(i < 10 ? 0 : 1000);
                client.getOutputStream().write(piece);
            }
        });
    }
}

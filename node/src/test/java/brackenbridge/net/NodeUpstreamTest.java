package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.ConfigTest;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Attempts and their connections to servers. */
class NodeUpstreamTest extends RunningNode {
    @Test
    void nonIdempotentRequestIsNotRetriedAfterItsLastByteWasWritten() throws Exception {
        server.responses.add(FakeServer.CLOSE_CONNECTION);
        send(fileRequest("once"));
        assertTrue(readResponse().startsWith("HTTP/1.1 502 "));
        assertNotNull(server.nextRequest());
        assertNull(server.requests.poll());
    }

    @Test
    void connectionClosedByTheServerIsNotReused() throws Exception {
        server.responses.add(OK);
        send(fileRequest("a"));
        assertTrue(readResponse().endsWith("done"));
        server.connections.take().close();
        send("GET /health/live HTTP/1.1\r\n\r\n");
        assertTrue(readResponse().endsWith("live\n"));
        server.responses.add(OK);
        server.responses.add(OK);
        send(fileRequest("b"));
        assertTrue(readResponse().endsWith("done"));
        assertEquals(1, server.connections.size());
    }

    @Test
    void idleConnectionsAreNotReusedForAWhileAfterAStaleOne() throws Exception {
        server.responses.add(OK);
        send(fileRequest("a"));
        assertTrue(readResponse().endsWith("done"));
        assertNotNull(server.nextRequest());
        settle();
        clock.pass(400);
        server.responses.add(FakeServer.CLOSE_CONNECTION);
        send(fileRequest("b"));
        assertTrue(readResponse().startsWith("HTTP/1.1 502 "));
        for (int i = 0; i < 2; i++) {
            server.responses.add(OK);
            send(fileRequest("c"));
            assertTrue(readResponse().endsWith("done"));
            settle();
            clock.pass(400);
        }
        assertEquals(3, server.connections.size(), "the stale connection, and a new one for each later request");
    }

    @Test
    void malformedResponseFailsItsAttemptOnly() throws Exception {
        server.responses.add("nonsense\r\n\r\n");
        server.responses.add(OK);
        send(fileRequest("a"));
        assertTrue(readResponse().startsWith("HTTP/1.1 502 "));
        send(fileRequest("b"));
        assertTrue(readResponse().endsWith("done"), "the server is still in use");
    }

    /** All clients arrive at the same time while the only server is cold: its capacity is then 1.9 requests. */
    @Test
    void coldServerIsNotOverloadedWhenAllClientsArriveAtOnce() throws Exception {
        node.kill();
        node = node(
                1024,
                1,
                ConfigTest.TEXT
                        .replace(
                                "\"fallMultiple\":2.5,\"fall\":1500000",
                                "\"fallMultiple\":0.5,\"fall\":5000000,\"coldFrom\":0.19,\"warmAfter\":1000000000000")
                        .replace(
                                "\"hosts\":[]",
                                "\"hosts\":[{\"host\":\"s-1\",\"dial\":\"" + server.address()
                                        + "\",\"health\":\"active\",\"born_ms\":" + Math.round(clock.nowMs()) + "}]"));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Socket socket = connect();
            clients.add(socket);
            socket.getOutputStream()
                    .write(fileRequest("hello")
                            .replace("9b", "c" + i)
                            .replace("5000", "700")
                            .getBytes(StandardCharsets.ISO_8859_1));
        }
        int sent = 0;
        for (Socket s : clients) {
            // The server sends no response: a request that reached it times out, any other is rejected.
            String response = FakeServer.readMessage(s.getInputStream());
            assertTrue(response != null && response.matches("(?s)HTTP/1.1 50[34] .*"), response);
            sent += response.startsWith("HTTP/1.1 504 ") ? 1 : 0;
            s.close();
        }
        assertTrue(sent >= 1 && sent <= 2, "requests that the cold server received: " + sent);
        assertEquals(sent, server.requests.size());
    }

    @Test
    void bytesBehindAResponseAreNeverTheNextResponse() throws Exception {
        server.responses.add(OK);
        send(fileRequest("a"));
        assertTrue(readResponse().endsWith("done"));
        server.connections.take().getOutputStream().write(OK.getBytes(StandardCharsets.US_ASCII));
        server.responses.add(OK.replace("done", "mine"));
        server.responses.add(OK.replace("done", "mine"));
        send(fileRequest("b"));
        assertTrue(readResponse().endsWith("mine"));
    }

    @Test
    void longResponseIsPassedCompletelyAndAnOversizedOneFailsAtOnce() throws Exception {
        String body = "0123456789".repeat(40_000);
        server.responses.add("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + body);
        send(fileRequest("a"));
        assertTrue(readResponse().endsWith("\r\n\r\n" + body));
        server.responses.add("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + body);
        send(fileRequest("b"));
        assertTrue(readResponse().startsWith("HTTP/1.1 502 "));
    }

    @Test
    void stalledResponseFailsSoon() throws Exception {
        send(fileRequest("a"));
        assertNotNull(server.nextRequest());
        server.connections
                .take()
                .getOutputStream()
                .write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
        settle();
        clock.pass(1100);
        assertTrue(readResponse().startsWith("HTTP/1.1 502 "));
    }

    @Test
    void clientErrorOfAServerIsPassedOnWithoutRetry() throws Exception {
        server.responses.add("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
        send(request("GET", "/view", "", ""));
        assertTrue(readResponse().startsWith("HTTP/1.1 400 "));
        assertNotNull(server.nextRequest());
        assertNull(server.requests.poll());
    }
}

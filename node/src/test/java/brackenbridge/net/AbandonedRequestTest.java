package brackenbridge.net;

import static brackenbridge.net.ClientNode.OK;
import static brackenbridge.net.ClientNode.fileRequest;
import static brackenbridge.net.ClientNode.readResponse;
import static brackenbridge.net.ClientNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A request whose client has left before its response, and whose id comes again. */
class AbandonedRequestTest {
    private ClientNode harness;

    @BeforeEach
    void start() throws IOException {
        harness = new ClientNode();
    }

    @AfterEach
    void end() throws IOException {
        harness.close();
    }

    private void sendAndLeave(String request, boolean reachesServer) throws Exception {
        Socket client = harness.connect();
        send(client, request);
        if (reachesServer) {
            assertNotNull(harness.server.nextRequest());
        } else {
            NodeMetrics.await(harness.node, "proxy.active:1|g");
        }
        client.close();
        NodeMetrics.await(harness.node, "proxy.active:0|g");
    }

    private String sendAgain(String request) throws IOException {
        Socket client = harness.connect();
        send(client, request);
        return readResponse(client);
    }

    /** Guards requests that must not run twice: the first attempt may still be running when the id comes again. */
    @Test
    void idThatComesAgainAfterItsClientHasLeftIsNotRunTwice() throws Exception {
        sendAndLeave(fileRequest("a", 9000, "x"), true);
        String again = sendAgain(fileRequest("a", 9000, "x"));
        assertTrue(again.startsWith("HTTP/1.1 409 "), again);
        assertEquals(0, harness.server.requests.size());
    }

    @Test
    void idOfARequestThatMayRunTwiceIsServedAgain() throws Exception {
        String request = "GET /view HTTP/1.1\r\nX-Correlation-Id: b\r\n\r\n";
        sendAndLeave(request, true);
        harness.server.responses.add(OK);
        harness.server.responses.add(OK);
        assertTrue(sendAgain(request).startsWith("HTTP/1.1 200 "));
    }

    @Test
    void idOfARequestWhoseBodyWasIncompleteIsServedAgain() throws Exception {
        String body = "x".repeat(100_000);
        sendAndLeave(fileRequest("c", 9000, body).substring(0, 90_000), false);
        harness.server.responses.add(OK);
        harness.server.responses.add(OK);
        assertTrue(sendAgain(fileRequest("c", 9000, body)).startsWith("HTTP/1.1 200 "));
    }
}

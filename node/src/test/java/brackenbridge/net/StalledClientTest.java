package brackenbridge.net;

import static brackenbridge.net.ClientNode.OK;
import static brackenbridge.net.ClientNode.fileRequest;
import static brackenbridge.net.ClientNode.readResponse;
import static brackenbridge.net.ClientNode.requestLive;
import static brackenbridge.net.ClientNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A client that stops sending in the middle of a request and stays connected gets a 408 within 3 s of its last byte.
 */
class StalledClientTest {
    private static final String BODY = "x".repeat(60_000);

    private ClientNode harness;
    private Socket client;

    @BeforeEach
    void start() throws IOException {
        harness = new ClientNode();
        client = harness.connect();
        requestLive(client);
    }

    @AfterEach
    void end() throws IOException {
        harness.close();
    }

    /** Lets the node's sweep run this often, then advances the clock by this time and freezes it. */
    private void stall(int sweeps, double ms) throws Exception {
        for (int i = 0; i < sweeps; i++) {
            harness.clock.pauseIn("Listener.sweep");
            harness.clock.awaitPaused();
            harness.clock.resume();
        }
        harness.clock.pass(ms);
        harness.clock.freeze();
    }

    private void stall() throws Exception {
        stall(2, 2800);
    }

    private void expect408() throws IOException {
        String response = readResponse(client);
        assertTrue(
                response != null && response.startsWith("HTTP/1.1 408 ") && response.contains("Connection: close\r\n"),
                response);
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void clientThatStopsInTheHeadGets408() throws Exception {
        send(client, fileRequest("a", 9000, "").substring(0, 40));
        stall();
        expect408();
    }

    @Test
    void clientThatStopsInAFastBodyGets408() throws Exception {
        send(client, fileRequest("a", 9000, BODY).substring(0, 55_000));
        stall();
        expect408();
        assertEquals(0, harness.server.requests.size());
    }

    @Test
    void clientThatStopsInAStreamedBodyGets408() throws Exception {
        String request = fileRequest("a", 9000, BODY.repeat(3));
        send(client, request.substring(0, 150_000));
        harness.server.connections.take();
        // The server takes a moment to accept the first part; meanwhile the minimum rate is not applied to the client.
        stall(10, 1900);
        expect408();
        assertEquals(0, harness.server.requests.size());
    }

    @Test
    void incompletePipelinedRequestIsNotForwarded() throws Exception {
        send(client, fileRequest("a", 9000, "a") + fileRequest("b", 9000, BODY).substring(0, 55_000));
        harness.server.nextRequest();
        harness.server.responses.add(OK);
        assertTrue(readResponse(client).endsWith("done"));
        stall();
        expect408();
        assertEquals(0, harness.server.requests.size());
    }
}

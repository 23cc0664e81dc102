package brackenbridge.net;

import static brackenbridge.net.ClientNode.LIVE;
import static brackenbridge.net.ClientNode.OK;
import static brackenbridge.net.ClientNode.fileRequest;
import static brackenbridge.net.ClientNode.readResponse;
import static brackenbridge.net.ClientNode.requestLive;
import static brackenbridge.net.ClientNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A fault in the node itself leaves no request without a response. */
class NodeFaultTest {
    private ClientNode harness;
    private Socket client;

    @BeforeEach
    void start() throws IOException {
        harness = new ClientNode();
        client = harness.connect();
    }

    @AfterEach
    void end() throws IOException {
        harness.close();
    }

    private void expectLastResponse(int status) throws IOException {
        String response = readResponse(client);
        assertTrue(
                response != null
                        && response.startsWith("HTTP/1.1 " + status + " ")
                        && response.contains("Connection: close\r\n"),
                response);
        assertEquals(-1, client.getInputStream().read());
    }

    private void assertOthersAreServed() throws Exception {
        harness.server.responses.add(OK);
        Socket other = harness.connect();
        send(other, fileRequest("other", 9000, "a"));
        assertTrue(readResponse(other).endsWith("done"));
        assertTrue(harness.server.nextRequest().contains("X-Correlation-Id: other\r\n"));
        assertEquals(0, harness.server.requests.size());
    }

    @Test
    void responseThatCannotBeWrittenFails() throws Exception {
        send(client, fileRequest("a", 9000, "a"));
        assertNotNull(harness.server.nextRequest());
        harness.clock.failIn("ResponseWriter.beginResponse");
        harness.server.responses.add(OK);
        expectLastResponse(502);
        assertOthersAreServed();
        while (!harness.node.metricsText().contains("proxy.active:0|g")) {
            Thread.onSpinWait();
        }
    }

    @Test
    void rejectionThatCannotBeWrittenFails() throws Exception {
        harness.clock.failIn("ResponseWriter.beginResponse");
        send(client, fileRequest("a", 1, "a"));
        expectLastResponse(502);
    }

    @Test
    void requestThatCannotBeOpenedIsRejected() throws Exception {
        harness.clock.failIn("ClientConnection.openRequest");
        send(client, fileRequest("a", 9000, "a"));
        expectLastResponse(503);
        assertOthersAreServed();
    }

    @Test
    void pipelinedRequestThatCannotBeOpenedIsRejected() throws Exception {
        harness.clock.failIn("ClientConnection.openRequest");
        send(client, LIVE + fileRequest("a", 9000, "a"));
        assertTrue(readResponse(client).endsWith("live\n"));
        expectLastResponse(503);
        requestLive(harness.connect());
        assertOthersAreServed();
    }
}

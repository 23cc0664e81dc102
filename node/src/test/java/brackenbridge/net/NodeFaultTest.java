package brackenbridge.net;

import static brackenbridge.net.ClientNode.LIVE;
import static brackenbridge.net.ClientNode.OK;
import static brackenbridge.net.ClientNode.answer;
import static brackenbridge.net.ClientNode.file;
import static brackenbridge.net.ClientNode.live;
import static brackenbridge.net.ClientNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A fault of the node's own takes no client's answer away. */
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
        String response = answer(client);
        assertTrue(
                response != null
                        && response.startsWith("HTTP/1.1 " + status + " ")
                        && response.contains("Connection: close\r\n"),
                response);
        assertEquals(-1, client.getInputStream().read());
    }

    private void assertOthersAreServed() throws Exception {
        harness.server.answers.add(OK);
        Socket other = harness.connect();
        send(other, file("other", 9000, "a"));
        assertTrue(answer(other).endsWith("done"));
        assertTrue(harness.server.next().contains("X-Correlation-Id: other\r\n"));
        assertEquals(0, harness.server.requests.size());
    }

    @Test
    void responseThatCannotBeWrittenFails() throws Exception {
        send(client, file("a", 9000, "a"));
        assertNotNull(harness.server.next());
        harness.clock.failIn("ResponseWriter.beginResponse");
        harness.server.answers.add(OK);
        expectLastResponse(502);
        assertOthersAreServed();
        while (!harness.node.metricsText().contains("proxy.active:0|g")) {
            Thread.onSpinWait();
        }
    }

    @Test
    void rejectionThatCannotBeWrittenFails() throws Exception {
        harness.clock.failIn("ResponseWriter.beginResponse");
        send(client, file("a", 1, "a"));
        expectLastResponse(502);
    }

    @Test
    void requestThatCannotBeOpenedIsRejected() throws Exception {
        harness.clock.failIn("ClientConnection.openRequest");
        send(client, file("a", 9000, "a"));
        expectLastResponse(503);
        assertOthersAreServed();
    }

    @Test
    void pipelinedRequestThatCannotBeOpenedIsRejected() throws Exception {
        harness.clock.failIn("ClientConnection.openRequest");
        send(client, LIVE + file("a", 9000, "a"));
        assertTrue(answer(client).endsWith("live\n"));
        expectLastResponse(503);
        live(harness.connect());
        assertOthersAreServed();
    }
}

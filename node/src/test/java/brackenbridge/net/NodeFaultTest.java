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
    private ClientNode its;
    private Socket client;

    @BeforeEach
    void start() throws IOException {
        its = new ClientNode();
        client = its.connect();
    }

    @AfterEach
    void end() throws IOException {
        its.close();
    }

    private void expectLast(int status) throws IOException {
        String a = answer(client);
        assertTrue(a != null && a.startsWith("HTTP/1.1 " + status + " ") && a.contains("Connection: close\r\n"), a);
        assertEquals(-1, client.getInputStream().read());
    }

    private void othersAreServed() throws Exception {
        its.server.answers.add(OK);
        Socket other = its.connect();
        send(other, file("other", 9000, "a"));
        assertTrue(answer(other).endsWith("done"));
        assertTrue(its.server.next().contains("X-Correlation-Id: other\r\n"));
        assertEquals(0, its.server.requests.size());
    }

    @Test
    void answerThatCanNotBeGivenFails() throws Exception {
        send(client, file("a", 9000, "a"));
        assertNotNull(its.server.next());
        its.clock.failIn("ResponseWriter.beginResponse");
        its.server.answers.add(OK);
        expectLast(502);
        othersAreServed();
        while (!its.node.metricsText().contains("proxy.active:0|g")) {
            Thread.onSpinWait();
        }
    }

    @Test
    void refusalThatCanNotBeGivenFails() throws Exception {
        its.clock.failIn("ResponseWriter.beginResponse");
        send(client, file("a", 1, "a"));
        expectLast(502);
    }

    @Test
    void requestThatCanNotBeTakenIsRefused() throws Exception {
        its.clock.failIn("ClientConnection.openRequest");
        send(client, file("a", 9000, "a"));
        expectLast(503);
        othersAreServed();
    }

    @Test
    void requestBehindAnotherThatCanNotBeTakenIsRefused() throws Exception {
        its.clock.failIn("ClientConnection.openRequest");
        send(client, LIVE + file("a", 9000, "a"));
        assertTrue(answer(client).endsWith("live\n"));
        expectLast(503);
        live(its.connect());
        othersAreServed();
    }
}

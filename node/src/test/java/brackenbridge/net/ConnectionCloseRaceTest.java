package brackenbridge.net;

import static brackenbridge.net.ClientNode.OK;
import static brackenbridge.net.ClientNode.fileRequest;
import static brackenbridge.net.ClientNode.readResponse;
import static brackenbridge.net.ClientNode.requestLive;
import static brackenbridge.net.ClientNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.ConfigTest;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A request that has reached the node's socket when the node is about to close the connection is served, whatever the
 * reason for the close.
 */
class ConnectionCloseRaceTest {
    /** Exactly eight clients fit, however many files this process has open. */
    private static final int MAX_CLIENTS = 8;

    private ClientNode harness;

    @AfterEach
    void end() throws IOException {
        harness.close();
    }

    private void assertServed(Socket client, String id) throws Exception {
        String response = readResponse(client);
        assertTrue(response != null && response.startsWith("HTTP/1.1 200 ") && response.endsWith("done"), response);
        assertTrue(harness.server.nextRequest().contains("X-Correlation-Id: " + id + "\r\n"));
    }

    @Test
    void requestOfAClientThatIsToBeShedForItsDescriptorIsServed() throws Exception {
        harness = new ClientNode(ConfigTest.TEXT.replace("\"sockets\":1024", "\"sockets\":64"));
        Socket client = harness.connect();
        requestLive(client);
        harness.clock.pass(200);
        for (int i = 0; i < MAX_CLIENTS - 2; i++) {
            requestLive(harness.connect());
        }
        harness.clock.pauseIn("ConnectionShedding.shedOne");
        harness.connect();
        harness.clock.awaitPaused();
        send(client, fileRequest("late", 9000, "a"));
        harness.server.responses.add(OK);
        harness.clock.resume();
        assertServed(client, "late");
    }

    @Test
    void clientThatIsIdleIsStillShedForItsDescriptor() throws Exception {
        harness = new ClientNode(ConfigTest.TEXT.replace("\"sockets\":1024", "\"sockets\":64"));
        Socket client = harness.connect();
        requestLive(client);
        harness.clock.pass(200);
        for (int i = 0; i < MAX_CLIENTS - 1; i++) {
            requestLive(harness.connect());
        }
        assertEquals(-1, client.getInputStream().read());
    }

    /** Guards requests against waiting in the backlog behind clients that connect and send nothing. */
    @Test
    void unusedConnectionsAreShedSoonerWhileClientsWaitToBeAccepted() throws Exception {
        harness = new ClientNode(ConfigTest.TEXT.replace("\"sockets\":1024", "\"sockets\":64"));
        Socket probe = harness.connect();
        requestLive(probe);
        probe.close();
        harness.clock.freeze();
        List<Socket> first = connectIdle(MAX_CLIENTS);
        awaitClients(MAX_CLIENTS);
        List<Socket> second = connectIdle(MAX_CLIENTS);
        Socket client = harness.connect();
        send(client, fileRequest("late", 9000, "a"));
        harness.server.responses.add(OK);
        harness.clock.advanceFrozen(110);
        for (Socket idle : first) {
            assertEquals(-1, idle.getInputStream().read());
        }
        awaitClients(MAX_CLIENTS);
        harness.clock.advanceFrozen(30);
        assertServed(client, "late");
        assertEquals(-1, second.get(0).getInputStream().read());
    }

    /** Guards clients that stop in the middle of a request against waiting for longer than the page allows. */
    @Test
    void timeoutOfAnIncompleteRequestIncludesItsWaitInTheBacklog() throws Exception {
        harness = new ClientNode(ConfigTest.TEXT.replace("\"sockets\":1024", "\"sockets\":64"));
        harness.clock.freeze();
        List<Socket> idle = connectIdle(MAX_CLIENTS);
        awaitClients(MAX_CLIENTS);
        Socket client = harness.connect();
        send(client, fileRequest("half", 9000, "a").substring(0, 30));
        harness.clock.advanceFrozen(110);
        for (Socket each : idle) {
            assertEquals(-1, each.getInputStream().read());
        }
        awaitClients(1);
        harness.clock.advanceFrozen(2400);
        assertTrue(readResponse(client).startsWith("HTTP/1.1 408 "));
    }

    private List<Socket> connectIdle(int count) throws IOException {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            idle.add(harness.connect());
        }
        return idle;
    }

    private void awaitClients(int count) throws Exception {
        long start = System.nanoTime();
        while (harness.node.snapshot().get().clients() != count) {
            assertTrue(System.nanoTime() - start < 10_000_000_000L, "the node has not accepted " + count + " clients");
        }
    }

    @Test
    void clientInTheMiddleOfARequestIsNotShedForItsDescriptor() throws Exception {
        harness = new ClientNode(ConfigTest.TEXT.replace("\"sockets\":1024", "\"sockets\":64"));
        Socket client = harness.connect();
        String request = fileRequest("half", 9000, "a");
        send(client, request.substring(0, 30));
        Socket idle = harness.connect();
        requestLive(idle);
        harness.clock.pass(200);
        for (int i = 0; i < MAX_CLIENTS - 2; i++) {
            requestLive(harness.connect());
        }
        assertEquals(-1, idle.getInputStream().read(), "the idle connection was not shed");
        harness.server.responses.add(OK);
        send(client, request.substring(30));
        assertServed(client, "half");
    }

    @Test
    void requestOfAClientThatHasBeenIdleForTooLongIsServed() throws Exception {
        harness = new ClientNode();
        Socket client = harness.connect();
        requestLive(client);
        harness.clock.pauseIn("Listener.sweep");
        harness.clock.awaitPaused();
        harness.clock.pass(61_000);
        send(client, fileRequest("late", 9000, "a"));
        harness.server.responses.add(OK);
        harness.clock.resume();
        assertServed(client, "late");
    }

    @Test
    void requestThatIsThereWhenAStoppingNodeEndsIdleConnectionsIsServed() throws Exception {
        harness = new ClientNode(ClientNode.withDeadlines(500));
        Socket first = harness.connect();
        requestLive(first);
        Socket client = harness.connect();
        requestLive(client);
        harness.clock.pauseIn("ClientConnection.startLingering");
        harness.node.stop();
        harness.clock.awaitPaused();
        send(client, fileRequest("late", 9000, "a"));
        harness.server.responses.add(OK);
        harness.clock.freeze();
        harness.clock.resume();
        assertServed(client, "late");
        assertEquals(-1, client.getInputStream().read());
        assertEquals(-1, first.getInputStream().read());
    }

    /** Guards against ending the connection of a client whose next request is on its way. */
    @Test
    void requestThatFollowsAResponseIsServedAfterAStoppingNodeHasEndedIdleConnections() throws Exception {
        harness = new ClientNode(ClientNode.withDeadlines(500));
        Socket idle = harness.connect();
        requestLive(idle);
        Socket client = harness.connect();
        harness.clock.freeze();
        harness.node.stop();
        // By this snapshot, the node has begun to stop at the frozen time.
        harness.node.snapshot().get();
        harness.clock.advanceFrozen(590);
        requestLive(client);
        harness.clock.advanceFrozen(15);
        assertEquals(-1, idle.getInputStream().read(), "the idle connection was not closed");
        send(client, fileRequest("late", 9000, "a"));
        harness.server.responses.add(OK);
        String response = readResponse(client);
        assertTrue(response != null && response.endsWith("done"), response);
        assertTrue(response.contains("Connection: close\r\n"), response);
    }

    @Test
    void requestThatIsThereWhenADrainedNodeEndsIdleConnectionsIsServed() throws Exception {
        harness = new ClientNode();
        Socket idle = harness.connect();
        requestLive(idle);
        harness.clock.freeze();
        harness.node.drain(true).get();
        harness.clock.pass(650);
        assertEquals(-1, idle.getInputStream().read(), "the idle connection was not closed");
        Socket client = harness.connect();
        // A response on a later connection shows that this one has been accepted.
        requestLive(harness.connect());
        harness.clock.pauseIn("Listener.sweep");
        harness.clock.awaitPaused();
        send(client, fileRequest("late", 9000, "a"));
        harness.server.responses.add(OK);
        harness.clock.pass(200);
        harness.clock.resume();
        assertServed(client, "late");
    }
}

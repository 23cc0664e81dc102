package brackenbridge.net;

import static brackenbridge.net.ClientNode.OK;
import static brackenbridge.net.ClientNode.answer;
import static brackenbridge.net.ClientNode.file;
import static brackenbridge.net.ClientNode.live;
import static brackenbridge.net.ClientNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.ConfigTest;
import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A request that lies at the node's socket when the node ends that connection, for whatever reason, is answered. */
class CrossingRequestsTest {
    /** Eight clients are all that fit, however many files this process has open. */
    private static final int MOST_CLIENTS = 8;

    private ClientNode harness;

    @AfterEach
    void end() throws IOException {
        harness.close();
    }

    private void served(Socket client, String id) throws Exception {
        String a = answer(client);
        assertTrue(a != null && a.startsWith("HTTP/1.1 200 ") && a.endsWith("done"), a);
        assertTrue(harness.server.next().contains("X-Correlation-Id: " + id + "\r\n"));
    }

    @Test
    void requestOfAClientThatIsToBeShedForItsDescriptorIsServed() throws Exception {
        harness = new ClientNode(ConfigTest.TEXT.replace("\"sockets\":1024", "\"sockets\":64"));
        Socket client = harness.connect();
        live(client);
        harness.clock.pass(200);
        for (int i = 0; i < MOST_CLIENTS - 2; i++) {
            live(harness.connect());
        }
        harness.clock.holdIn("ConnectionShedding.shedOne");
        harness.connect();
        harness.clock.awaitHeld();
        send(client, file("late", 9000, "a"));
        harness.server.answers.add(OK);
        harness.clock.release();
        served(client, "late");
    }

    @Test
    void clientThatIsIdleIsStillShedForItsDescriptor() throws Exception {
        harness = new ClientNode(ConfigTest.TEXT.replace("\"sockets\":1024", "\"sockets\":64"));
        Socket client = harness.connect();
        live(client);
        harness.clock.pass(200);
        for (int i = 0; i < MOST_CLIENTS - 1; i++) {
            live(harness.connect());
        }
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void clientInTheMiddleOfARequestIsNotShedForItsDescriptor() throws Exception {
        harness = new ClientNode(ConfigTest.TEXT.replace("\"sockets\":1024", "\"sockets\":64"));
        Socket client = harness.connect();
        String whole = file("half", 9000, "a");
        send(client, whole.substring(0, 30));
        Socket idle = harness.connect();
        live(idle);
        harness.clock.pass(200);
        for (int i = 0; i < MOST_CLIENTS - 2; i++) {
            live(harness.connect());
        }
        assertEquals(-1, idle.getInputStream().read(), "the one that is idle");
        harness.server.answers.add(OK);
        send(client, whole.substring(30));
        served(client, "half");
    }

    @Test
    void requestOfAClientThatHasBeenIdleForTooLongIsServed() throws Exception {
        harness = new ClientNode();
        Socket client = harness.connect();
        live(client);
        harness.clock.holdIn("Listener.sweep");
        harness.clock.awaitHeld();
        harness.clock.pass(61_000);
        send(client, file("late", 9000, "a"));
        harness.server.answers.add(OK);
        harness.clock.release();
        served(client, "late");
    }

    @Test
    void requestThatIsThereWhenAStoppingNodeEndsIdleConnectionsIsServed() throws Exception {
        harness = new ClientNode(ClientNode.withDeadlines(500));
        Socket first = harness.connect();
        live(first);
        Socket client = harness.connect();
        live(client);
        harness.clock.holdIn("ClientConnection.startLingering");
        harness.node.stop();
        harness.clock.awaitHeld();
        send(client, file("late", 9000, "a"));
        harness.server.answers.add(OK);
        harness.clock.stand();
        harness.clock.release();
        served(client, "late");
        assertEquals(-1, client.getInputStream().read());
        assertEquals(-1, first.getInputStream().read());
    }

    @Test
    void requestThatIsThereWhenADrainedNodeEndsIdleConnectionsIsServed() throws Exception {
        harness = new ClientNode();
        Socket resting = harness.connect();
        live(resting);
        harness.clock.stand();
        harness.node.drain(true).get();
        harness.clock.pass(650);
        assertEquals(-1, resting.getInputStream().read(), "from now on idle connections end");
        Socket client = harness.connect();
        // A later connection is answered: this one has been accepted.
        live(harness.connect());
        harness.clock.holdIn("Listener.sweep");
        harness.clock.awaitHeld();
        send(client, file("late", 9000, "a"));
        harness.server.answers.add(OK);
        harness.clock.pass(200);
        harness.clock.release();
        served(client, "late");
    }
}

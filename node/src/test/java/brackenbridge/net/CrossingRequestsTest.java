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

    private ClientNode its;

    @AfterEach
    void end() throws IOException {
        its.close();
    }

    private void served(Socket client, String id) throws Exception {
        String a = answer(client);
        assertTrue(a != null && a.startsWith("HTTP/1.1 200 ") && a.endsWith("done"), a);
        assertTrue(its.server.next().contains("X-Correlation-Id: " + id + "\r\n"));
    }

    @Test
    void requestOfAClientThatIsToBeShedForItsDescriptorIsServed() throws Exception {
        its = new ClientNode(ConfigTest.TEXT.replace("\"sockets\":1024", "\"sockets\":64"));
        Socket client = its.connect();
        live(client);
        its.clock.pass(200);
        for (int i = 0; i < MOST_CLIENTS - 2; i++) {
            live(its.connect());
        }
        its.clock.holdIn("ConnectionShedding.shedOne");
        its.connect();
        its.clock.awaitHeld();
        send(client, file("late", 9000, "a"));
        its.server.answers.add(OK);
        its.clock.release();
        served(client, "late");
    }

    @Test
    void clientThatIsIdleIsStillShedForItsDescriptor() throws Exception {
        its = new ClientNode(ConfigTest.TEXT.replace("\"sockets\":1024", "\"sockets\":64"));
        Socket client = its.connect();
        live(client);
        its.clock.pass(200);
        for (int i = 0; i < MOST_CLIENTS - 1; i++) {
            live(its.connect());
        }
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void clientInTheMiddleOfARequestIsNotShedForItsDescriptor() throws Exception {
        its = new ClientNode(ConfigTest.TEXT.replace("\"sockets\":1024", "\"sockets\":64"));
        Socket client = its.connect();
        String whole = file("half", 9000, "a");
        send(client, whole.substring(0, 30));
        Socket idle = its.connect();
        live(idle);
        its.clock.pass(200);
        for (int i = 0; i < MOST_CLIENTS - 2; i++) {
            live(its.connect());
        }
        assertEquals(-1, idle.getInputStream().read(), "the one that is idle");
        its.server.answers.add(OK);
        send(client, whole.substring(30));
        served(client, "half");
    }

    @Test
    void requestOfAClientThatHasBeenIdleForTooLongIsServed() throws Exception {
        its = new ClientNode();
        Socket client = its.connect();
        live(client);
        its.clock.holdIn("Listener.sweep");
        its.clock.awaitHeld();
        its.clock.pass(61_000);
        send(client, file("late", 9000, "a"));
        its.server.answers.add(OK);
        its.clock.release();
        served(client, "late");
    }

    @Test
    void requestThatIsThereWhenAStoppingNodeEndsIdleConnectionsIsServed() throws Exception {
        its = new ClientNode(ClientNode.withDeadlines(500));
        Socket first = its.connect();
        live(first);
        Socket client = its.connect();
        live(client);
        its.clock.holdIn("ClientConnection.startLingering");
        its.node.stop();
        its.clock.awaitHeld();
        send(client, file("late", 9000, "a"));
        its.server.answers.add(OK);
        its.clock.stand();
        its.clock.release();
        served(client, "late");
        assertEquals(-1, client.getInputStream().read());
        assertEquals(-1, first.getInputStream().read());
    }

    @Test
    void requestThatIsThereWhenADrainedNodeEndsIdleConnectionsIsServed() throws Exception {
        its = new ClientNode();
        Socket resting = its.connect();
        live(resting);
        its.clock.stand();
        its.node.drain(true).get();
        its.clock.pass(650);
        assertEquals(-1, resting.getInputStream().read(), "from now on idle connections end");
        Socket client = its.connect();
        // A later connection is answered: this one has been accepted.
        live(its.connect());
        its.clock.holdIn("Listener.sweep");
        its.clock.awaitHeld();
        send(client, file("late", 9000, "a"));
        its.server.answers.add(OK);
        its.clock.pass(200);
        its.clock.release();
        served(client, "late");
    }
}

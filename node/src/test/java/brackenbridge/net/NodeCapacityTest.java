package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** A node at its limits of descriptors and memory. */
class NodeCapacityTest extends RunningNode {
    @Test
    void idleClientsAreClosedAtTheDescriptorLimit() throws Exception {
        node.kill();
        node = node(120);
        Socket[] idle = new Socket[150];
        for (int i = 0; i < idle.length; i++) {
            idle[i] = connect();
        }
        client = connect();
        server.responses.add(OK);
        send(fileRequest("a"));
        String back = String.valueOf(readResponse());
        assertTrue(back.startsWith("HTTP/1.1 200 "), back);
        for (Socket s : idle) {
            s.close();
        }
    }

    @Test
    void newestClientIsNotClosedAtTheDescriptorLimit() throws Exception {
        node.kill();
        node = node(64);
        Socket[] busy = new Socket[40];
        for (int i = 0; i < busy.length; i++) {
            busy[i] = connect();
            busy[i].getOutputStream()
                    .write("POST /file HTTP/1.1\r\nContent-Length: 9\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        client = connect();
        send("GET /health/live HTTP/1.1\r\n\r\n");
        // The client waits in the backlog: it gets neither a response nor a close while nothing can be shed.
        client.setSoTimeout(300);
        assertThrows(SocketTimeoutException.class, () -> client.getInputStream().read());
        client.setSoTimeout(10_000);
        for (Socket s : busy) {
            s.close();
        }
        String back = readResponse();
        assertTrue(back != null && back.startsWith("HTTP/1.1 200 "), back);
    }

    /**
     * The node can't see how long a client has waited in the backlog, but it knows since when it has not accepted any.
     */
    @Test
    void timeLeftAccountsForTheLongestPossibleBacklogWait() throws Exception {
        node.kill();
        node = node(64);
        Socket[] busy = new Socket[40];
        for (int i = 0; i < busy.length; i++) {
            busy[i] = connect();
            busy[i].getOutputStream()
                    .write("POST /file HTTP/1.1\r\nContent-Length: 9\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        client = connect();
        send(request("GET", "/view", "", ""));
        client.setSoTimeout(300);
        assertThrows(SocketTimeoutException.class, () -> client.getInputStream().read());
        client.setSoTimeout(10_000);
        clock.pass(1200);
        server.responses.add(FakeServer.CLOSE_CONNECTION);
        server.responses.add(OK);
        for (Socket s : busy) {
            s.close();
        }
        int first = timeLeftMs(server.nextRequest());
        assertTrue(first > 2000 && first <= 3800, "announced " + first);
        int second = timeLeftMs(server.nextRequest());
        assertTrue(second > 2000 && second <= 3800, "announced " + second);
        assertTrue(readResponse().endsWith("done"));
    }

    @Test
    void memoryOfIncompleteRequestsIsBounded() throws Exception {
        Socket[] many = new Socket[150];
        byte[] half = request("POST", "/file", "Content-Length: 65000\r\n", "x".repeat(60_000))
                .getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < many.length; i++) {
            many[i] = connect();
            many[i].getOutputStream().write(half);
        }
        String counted = "";
        for (int i = 0; i < 10_000 && !counted.matches("(?s).*clients_shed_for_memory [1-9].*"); i++) {
            send("GET /health/counters HTTP/1.1\r\n\r\n");
            counted = readResponse();
        }
        assertTrue(counted.matches("(?s).*clients_shed_for_memory [1-9].*"), counted);
        server.responses.add(OK);
        send(fileRequest("a"));
        assertTrue(readResponse().endsWith("done"));
        for (Socket s : many) {
            s.close();
        }
    }

    private static int timeLeftMs(String request) {
        return Integer.parseInt(request.replaceAll("(?s).*X-Time-Left-Ms: ([0-9]+).*", "$1"));
    }
}

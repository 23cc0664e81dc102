package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * All idle connections to servers become stale in the same period without traffic, and requests arrive all at once
 * after it.
 */
class StaleConnectionsTest {
    private static final int SERVERS = 8;
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    private static final double IDLE_MS = 12_000;
    /** Longer than the interval between two ticks of the decision module. */
    private static final long TICK_MS = 300;
    /** Longer than the delay after a response before a connection is reused. */
    private static final long REST_MS = 8;

    private static final int ROUNDS = 3;

    private final PausableClock clock = new PausableClock();
    private final List<Server> servers = new ArrayList<>();
    /** Requests that servers have read completely on connections that are not stale. */
    private final LinkedBlockingQueue<String> served = new LinkedBlockingQueue<>();
    /** Requests that servers have read completely on stale connections. */
    private final LinkedBlockingQueue<String> readOnStale = new LinkedBlockingQueue<>();

    private Node node;
    private final List<Socket> clients = new ArrayList<>();

    /** A server that serves requests, but resets a stale connection once it has read a request on it. */
    private final class Server {
        final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        final List<Socket> connections = new CopyOnWriteArrayList<>();
        final List<Thread> readers = new CopyOnWriteArrayList<>();
        /** Number of stale connections; these are the oldest ones. */
        volatile int staleConnections;

        Server() throws IOException {
            startDaemon(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = listening.accept();
                    connections.add(connection);
                    int number = connections.size();
                    readers.add(startDaemon(() -> serve(connection, number)));
                }
            } catch (IOException e) {
                return;
            }
        }

        private void serve(Socket connection, int number) {
            try (connection) {
                String request;
                while ((request = FakeServer.readMessage(connection.getInputStream())) != null) {
                    if (number <= staleConnections) {
                        readOnStale.add(request);
                        connection.setSoLinger(true, 0);
                        return;
                    }
                    served.add(request);
                    connection.getOutputStream().write(OK.getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                return;
            }
        }

        void makeAllStale() {
            staleConnections = connections.size();
        }

        /**
         * Closes all connections and waits until that has been sent: a socket is closed only once the thread that reads
         * it has returned.
         */
        void closeAll(boolean reset) throws Exception {
            for (Socket s : connections) {
                s.setSoLinger(reset, 0);
                s.close();
            }
            for (Thread t : readers) {
                t.join(10_000);
                assertFalse(t.isAlive());
            }
        }
    }

    private static Thread startDaemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @BeforeEach
    void start() throws Exception {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < SERVERS; i++) {
            Server server = new Server();
            servers.add(server);
            hosts.append(i == 0 ? "" : ",")
                    .append("{\"host\":\"s-" + i + "\",\"dial\":\"127.0.0.1:" + server.listening.getLocalPort()
                            + "\",\"health\":\"active\"}");
        }
        node = new Node(
                Config.parse(ConfigTest.TEXT.replace("\"hosts\":[]", "\"hosts\":[" + hosts + "]")),
                clock,
                new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        node.start();
        for (int i = 0; i < SERVERS; i++) {
            Socket s = new Socket(node.address().getAddress(), node.address().getPort());
            s.setSoTimeout(10_000);
            clients.add(s);
        }
        for (int i = 0; i < ROUNDS; i++) {
            // Concurrent requests open a connection to each server.
            clock.pause();
            sendAll("first", "POST", "/file");
            clock.resume();
            assertEquals(SERVERS, countResponses("200"));
            awaitLoopTurns(REST_MS);
        }
        assertTrue(servers.stream().noneMatch(s -> s.connections.isEmpty()), "a server has no connection");
        served.clear();
        // The tick that processes the last responses is over before the idle period begins, and another one falls into
        // it.
        awaitLoopTurns(TICK_MS);
        clock.pass(IDLE_MS);
        awaitLoopTurns(TICK_MS);
    }

    @AfterEach
    void end() throws IOException {
        clock.resume();
        for (Socket s : clients) {
            s.close();
        }
        node.kill();
        for (Server s : servers) {
            s.listening.close();
        }
    }

    /**
     * Waits for this time, then until the event loop has run the tasks that were due; their delays follow the system's
     * clock.
     */
    private void awaitLoopTurns(long ms) throws Exception {
        long start = System.nanoTime();
        while (System.nanoTime() - start < ms * 1_000_000) {
            node.tenantUse().get(10, TimeUnit.SECONDS);
        }
        for (int i = 0; i < 3; i++) {
            node.tenantUse().get(10, TimeUnit.SECONDS);
        }
    }

    private int readCounter(String name) throws IOException {
        try (Socket socket =
                new Socket(node.address().getAddress(), node.address().getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write("GET /health/counters HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String counters = FakeServer.readMessage(socket.getInputStream());
            return Integer.parseInt(counters.replaceAll("(?s).*\n" + name + " ([0-9]+)\n.*", "$1"));
        }
    }

    private void sendAll(String round, String method, String path) throws IOException {
        for (int i = 0; i < SERVERS; i++) {
            String text = method + " " + path + " HTTP/1.1\r\nX-Correlation-Id: " + round + i
                    + "\r\nX-Time-Left-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
            clients.get(i).getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Reads one response per client and returns how many have this status. */
    private int countResponses(String status) throws IOException {
        int count = 0;
        for (Socket s : clients) {
            String response = String.valueOf(FakeServer.readMessage(s.getInputStream()));
            assertTrue(response.startsWith("HTTP/1.1 "), response);
            count += response.startsWith("HTTP/1.1 " + status + " ") ? 1 : 0;
        }
        return count;
    }

    private static Set<String> ids(Iterable<String> requests) {
        Set<String> ids = new HashSet<>();
        for (String r : requests) {
            assertTrue(ids.add(r.replaceAll("(?s).*X-Correlation-Id: ([a-z0-9]+)\r.*", "$1")), "read twice: " + r);
        }
        return ids;
    }

    /** Servers close all connections just as the requests arrive; the node sees both in the same poll. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void connectionsClosedByServersAllAtOnceCostNoRequest(boolean reset) throws Exception {
        int opened = readCounter("connections_opened") - readCounter("connections_joined");
        clock.pause();
        for (Server s : servers) {
            s.closeAll(reset);
        }
        sendAll("next", "POST", "/file");
        clock.resume();
        assertEquals(SERVERS, countResponses("200"));
        assertEquals(SERVERS, ids(served).size());
        int now = readCounter("connections_opened") - readCounter("connections_joined");
        assertTrue(now - opened <= SERVERS, "connections for " + SERVERS + " requests: " + (now - opened));
    }

    @Test
    void idempotentRequestsOnStaleConnectionsAreServed() throws Exception {
        servers.forEach(Server::makeAllStale);
        clock.pause();
        sendAll("next", "GET", "/view");
        clock.resume();
        assertEquals(SERVERS, countResponses("200"));
        assertEquals(SERVERS, ids(served).size());
        assertTrue(readOnStale.size() >= 1, "no request was sent on a stale connection");
    }

    /** It is unknown whether they were executed: they fail immediately, and no others do. */
    @Test
    void nonIdempotentRequestsOnStaleConnectionsFailAtOnceAndAreNotRetried() throws Exception {
        servers.forEach(Server::makeAllStale);
        clock.pause();
        sendAll("next", "POST", "/file");
        clock.resume();
        int failed = countResponses("502");
        assertTrue(failed >= 1, "no request was sent on a stale connection");
        assertEquals(failed, ids(readOnStale).size(), "each failed request was sent once");
        assertEquals(SERVERS - failed, ids(served).size());
        assertTrue(Collections.disjoint(ids(readOnStale), ids(served)), "a failed request was retried");
        served.clear();
        sendAll("then", "POST", "/file");
        assertEquals(SERVERS, countResponses("200"), "an idle connection was reused after stale ones");
        assertEquals(SERVERS, ids(served).size());
    }
}

package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a server is told of its client's time, and what is not sent any more, when a node or a connection is late. */
class TimeToldTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    /** A wait for a connection outlasts every test. */
    private static final String PATIENT =
            ConfigTest.TEXT.replace("\"connectTimeout\":120000", "\"connectTimeout\":10000000");
    /** What the rules allow a server to be told beyond what is left. */
    private static final double SLACK_MS = 150;

    private final HeldClock clock = new HeldClock();
    private FakeServer server;
    private Node node;
    private Socket client;

    @BeforeEach
    void start() throws IOException {
        server = new FakeServer();
        node = node(PATIENT);
        client = connect();
    }

    private Node node(String text) {
        Node n = new Node(
                config(text, "active"), clock, new Log(clock, new PrintStream(OutputStream.nullOutputStream())));
        n.start();
        return n;
    }

    private Config config(String text, String health) {
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.dial() + "\",\"health\":\"" + health + "\"}";
        return Config.parse(text.replace("\"hosts\":[]", "\"hosts\":[" + host + "]"));
    }

    /** The server's connections do not come up until it is told to accept. */
    private void notUpYet() throws IOException {
        node.kill();
        server.close();
        server = FakeServer.full();
        node = node(PATIENT);
        client = connect();
    }

    private Socket connect() throws IOException {
        Socket s = new Socket(node.address().getAddress(), node.address().getPort());
        s.setSoTimeout(10_000);
        return s;
    }

    @AfterEach
    void end() throws IOException {
        clock.release();
        client.close();
        server.close();
        node.kill();
    }

    private void ask(String method, String path, int left, int length) throws IOException {
        send(
                client,
                method + " " + path + " HTTP/1.1\r\nX-Correlation-Id: " + left + "\r\nX-Time-Left-Ms: " + left
                        + "\r\nContent-Length: " + length + "\r\n\r\n" + "x".repeat(length));
    }

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String answer() throws IOException {
        return String.valueOf(FakeServer.message(client.getInputStream()));
    }

    private static int told(String request) {
        assertNotNull(request);
        return Integer.parseInt(request.replaceAll("(?s).*X-Time-Left-Ms: ([0-9]+).*", "$1"));
    }

    /** All that had come to the node has been taken in. */
    private void settle() throws Exception {
        for (int i = 0; i < 3; i++) {
            node.tenantUse().get(10, TimeUnit.SECONDS);
        }
    }

    private void await(String count) throws IOException {
        String counted = "";
        for (int i = 0; i < 2000 && !counted.contains(count + "\n"); i++) {
            try (Socket s = connect()) {
                send(s, "GET /health/counters HTTP/1.1\r\n\r\n");
                counted = FakeServer.message(s.getInputStream());
            }
        }
        assertTrue(counted.contains(count + "\n"), count + " is not among\n" + counted);
    }

    /** An attempt that the node was slow to dispatch starts to connect later than its request is counted. */
    private void awaitConnectBegun() throws Exception {
        int servers = 0;
        for (int i = 0; i < 2000 && servers == 0; i++) {
            servers = node.snapshot().get(10, TimeUnit.SECONDS).servers();
        }
        assertTrue(servers > 0, "no connection to the server was begun");
    }

    /** While the node rests, the connection that a request waits for comes up: it must have begun to connect before. */
    private void comesUpWhileTheNodeRests() throws Exception {
        awaitConnectBegun();
        // The system call is made in a later task than the one that counts the connection.
        settle();
        clock.hold();
        server.accept();
        assertNotNull(server.connections.poll(20, TimeUnit.SECONDS));
    }

    @Test
    void connectionThatComesUpLateCarriesWhatIsLeftThen() throws Exception {
        for (int length : new int[] {1, 200_000}) {
            notUpYet();
            ask("POST", "/file", 5000, length);
            await("flows_in 1");
            comesUpWhileTheNodeRests();
            clock.pass(1500);
            clock.release();
            int told = told(server.next());
            assertTrue(told > 0 && told <= 3500, "told " + told + " of a body of " + length);
        }
    }

    @Test
    void attemptThatHasNothingLeftWhenItsConnectionComesUpIsNotSent() throws Exception {
        notUpYet();
        ask("POST", "/file", 60_000, 1);
        await("flows_in 1");
        comesUpWhileTheNodeRests();
        clock.pass(60_000);
        clock.release();
        assertTrue(answer().startsWith("HTTP/1.1 503 "), "refused: it never began");
        await("forwards_moot 1");
        await("forwards_written 0");
        server.answers.add(OK);
        ask("POST", "/file", 5000, 2);
        assertTrue(answer().endsWith("done"), "the connection serves the next, and its server is in use");
        assertTrue(server.next().endsWith("\r\n\r\nxx"), "the first request that the server sees");
    }

    @Test
    void retryIsToldWhatIsLeftThen() throws Exception {
        ask("GET", "/view", 5000, 0);
        assertTrue(told(server.next()) <= 5000);
        clock.pass(1000);
        server.answers.add(FakeServer.HANG_UP);
        int second = told(server.next());
        assertTrue(second > 0 && second <= 4000, "told " + second);
    }

    @Test
    void nodeThatIsHeldUpBehindItsLastReadingStaysWithinTheSlack() throws Exception {
        clock.holdBehindReadingIn("ReducerStartCheck.timeLeftMs");
        double asked = clock.nowMs();
        ask("POST", "/file", 5000, 1);
        clock.awaitHeld();
        clock.pass(SLACK_MS);
        double left = asked + 5000 - clock.nowMs();
        clock.release();
        int told = told(server.next());
        assertTrue(told <= left + SLACK_MS, "told " + told + " of " + left);
    }

    @Test
    void requestWhoseClientGoesWhileTheNodeIsHeldUpBeforeItSendsIsNotSent() throws Exception {
        clock.holdBehindReadingIn("UpstreamConnections.startAttempt");
        ask("POST", "/file", 5000, 1);
        clock.awaitHeld();
        client.close();
        clock.pass(SLACK_MS);
        clock.release();
        onlyTheNextIsServed();
    }

    @Test
    void requestWhoseClientGoesWhileItsConnectionComesUpIsNotSent() throws Exception {
        notUpYet();
        ask("POST", "/file", 5000, 1);
        await("flows_in 1");
        comesUpWhileTheNodeRests();
        client.close();
        clock.release();
        onlyTheNextIsServed();
    }

    private void onlyTheNextIsServed() throws Exception {
        server.answers.add(OK);
        client = connect();
        ask("POST", "/file", 9000, 2);
        assertTrue(answer().endsWith("done"));
        assertTrue(server.next().endsWith("\r\n\r\nxx"), "the first request that the server sees");
        await("forwards_written 1");
        await("flows_gone 1");
    }

    /** It is told of the drain, rests, and finds the connection up before it comes to its own timers. */
    @Test
    void requestWhoseConnectionComesUpBehindTheGraceIsNotSent() throws Exception {
        notUpYet();
        ask("POST", "/file", 60_000, 1);
        await("flows_in 1");
        clock.stand();
        node.reconfigure(() -> config(PATIENT.replace("\"seq\":41", "\"seq\":42"), "leaving"));
        await("reconfigured 1");
        comesUpWhileTheNodeRests();
        clock.standAhead(400);
        clock.release();
        await("forwards_unconnected 1");
        settle();
        assertEquals(0, server.requests.size());
    }

    /** Servers may drop what has so little time left without a word. */
    @Test
    void requestsWithVeryLittleTimeLeftHaveOneAnswerEachAndHarmNoServer() throws Exception {
        for (int left = 0; left <= 20; left++) {
            double asked = System.nanoTime();
            ask(left % 2 == 0 ? "GET" : "POST", left % 2 == 0 ? "/view" : "/file", left, 0);
            String back = answer();
            double took = (System.nanoTime() - asked) / 1e6;
            assertTrue(back.matches("(?s)HTTP/1.1 50[34] .*"), left + ": " + back);
            assertTrue(took < left + 500, "an answer after " + took + " ms of " + left);
        }
        await("flows_in 21");
        for (int i = 0; i < 1000 && !node.metricsText().contains("proxy.active:0|g\n"); i++) {
            settle();
        }
        assertTrue(node.metricsText().contains("proxy.pool_ejected:0|g\n"), node.metricsText());
        client.setSoTimeout(100);
        try {
            assertEquals(-1, client.getInputStream().read(), "a second answer");
        } catch (java.net.SocketTimeoutException e) {
            assertNotNull(e, "nothing more comes");
        }
    }
}

package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import brackenbridge.net.channel.SocketCalls;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** More clients wait in the backlog than the node has descriptors. */
class AcceptLimitTest {
    /**
     * Minimum of the setting: besides the files that a test process has open, 16 descriptors are left, 8 of them for
     * clients.
     */
    private static final int SOCKETS = 64;

    private static final int IDLE_CLIENTS = 15;
    private static final String REQUEST = "GET /view HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Time-Left-Ms: 5000\r\n\r\n";

    private final CountDownLatch allConnected = new CountDownLatch(1);
    private final List<Socket> clients = new ArrayList<>();
    private FakeServer server;
    private Node node;

    @BeforeEach
    void start() throws Exception {
        server = new FakeServer();
        server.responses.add("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        String host = "{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"active\"}";
        Config config = Config.parse(ConfigTest.TEXT
                .replace("\"hosts\":[]", "\"hosts\":[" + host + "]")
                .replace("\"sockets\":1024", "\"sockets\":" + SOCKETS));
        SocketCalls system = SocketCalls.system();
        SocketCalls.AcceptCall accept = (parent, listening) -> {
            awaitAllConnected();
            return system.accept().acceptNext(parent, listening);
        };
        Clock clock = Clock.system();
        Log log = new Log(clock, new PrintStream(OutputStream.nullOutputStream()));
        node = new Node(config, clock, log, null, new SocketCalls(system.outgoing(), accept, system.steer()));
        node.start();
    }

    @AfterEach
    void end() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        server.close();
        node.kill();
    }

    private void awaitAllConnected() {
        try {
            allConnected.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Socket connect() throws Exception {
        Socket client = new Socket(node.address().getAddress(), node.address().getPort());
        client.setSoTimeout(10_000);
        clients.add(client);
        return client;
    }

    /**
     * Guards against accepting so many clients in one turn that their requests lack descriptors for connections to
     * servers.
     */
    @Test
    void clientsAcceptedInOneTurnLeaveDescriptorsForTheirRequests() throws Exception {
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            connect();
        }
        Socket last = connect();
        last.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        allConnected.countDown();
        String back = String.valueOf(FakeServer.readMessage(last.getInputStream()));
        assertTrue(back.startsWith("HTTP/1.1 200 "), back);
    }
}

package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import brackenbridge.log.Log;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A node on loopback, against a discovery that says what it says at a bad moment. */
class DiscoveryTest {
    private static final String ASKED = ConfigTest.TEXT;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

    private FakeServer discovery;
    private Node node;

    @BeforeEach
    void listen() throws IOException {
        discovery = new FakeServer();
    }

    @AfterEach
    void end() throws IOException {
        node.kill();
        discovery.close();
    }

    /** A node that knows s-0 to s-3 as version 41. */
    private void start(String text, String dial) {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            hosts.append(i == 0 ? "" : ",").append(host(i, "active"));
        }
        Clock clock = Clock.system();
        node = new Node(Config.parse(text.replace("\"hosts\":[]", "\"hosts\":[" + hosts + "]")
                .replace("127.0.0.1:1\"", dial + "\"")), clock,
                new Log(clock, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8)));
        node.start();
    }

    private void move(String dial) {
        node.reconfigure(() -> Config.parse(ASKED.replace("127.0.0.1:1\"", dial + "\"")));
    }

    private static String host(int i, String health) {
        return "{\"host\":\"s-" + i + "\",\"dial\":\"127.0.0.1:" + (2 + i) + "\",\"health\":\"" + health + "\"}";
    }

    /** Discovery's next call, with its connection. */
    private Socket call() throws InterruptedException {
        assertNotNull(discovery.next(), "no call");
        return discovery.connections.poll(10, TimeUnit.SECONDS);
    }

    /** Waits until the node holds so many servers that it knows to run. */
    private void awaitServers(int listed) {
        while (!node.figures().contains("proxy.pool_size:" + listed + "|g")) {
            Thread.onSpinWait();
        }
    }

    @Test
    void discoveryThatRefusedForAWhileIsAskedSoonAndHeardOnceItIsBack() throws Exception {
        start(ASKED, "127.0.0.1:1");
        move(discovery.dial());
        for (int refused = 0; refused < 4; refused++) {
            discovery.answers.add(FakeServer.HANG_UP);
            call();
        }
        long back = System.nanoTime();
        discovery.answers.add(HEAD + "{\"seq\":42,\"whole\":true,\"hosts\":[" + host(1, "active") + "]}\n");
        call();
        awaitServers(1);
        double ms = (System.nanoTime() - back) / 1e6;
        assertTrue(ms < 3000, "known " + ms + " ms after discovery is back");
    }
}

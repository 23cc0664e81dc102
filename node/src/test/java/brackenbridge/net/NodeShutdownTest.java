package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.ConfigTest;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A node that is drained or stopped. */
class NodeShutdownTest extends RunningNode {
    @Test
    void drainedNodeClosesItsConnectionsAndReturnsToService() throws Exception {
        node.kill();
        node = node(1024, 2);
        client = connect();
        Socket idle = connect();
        send(fileRequest("a"));
        assertNotNull(server.nextRequest());
        Socket late = connect();
        assertTrue(node.drain(true).get(10, TimeUnit.SECONDS));
        assertTrue(node.acceptsClients(), "the listening socket stays open");
        assertEquals(-1, idle.getInputStream().read(), "the idle connection was not closed");
        server.responses.add(OK);
        String back = readResponse();
        assertTrue(back.endsWith("done") && back.contains("Connection: close\r\n"), back);
        assertEquals(-1, client.getInputStream().read());
        assertEquals(-1, late.getInputStream().read());
        expectStatus(503, "GET /health/ready HTTP/1.1\r\n\r\n");
        assertTrue(node.drain(false).get(10, TimeUnit.SECONDS));
        expectStatus(200, "GET /health/ready HTTP/1.1\r\n\r\n");
        server.responses.add(OK);
        expectStatus(200, fileRequest("b"));
        send(fileRequest("c"));
        server.responses.add(OK);
        assertTrue(readResponse().endsWith("done"), "connections are kept alive again");
        String metrics = "";
        for (int i = 0; i < 500 && !metrics.contains("proxy.ok.file:3|c\n"); i++) {
            settle();
            metrics = node.metricsText();
        }
        assertTrue(
                metrics.contains("proxy.ok.file:3|c\nproxy.shed.file:0|c\n")
                        && metrics.contains("proxy.tries:3|c\n")
                        && metrics.contains("proxy.active:0|g\nproxy.pool_size:1|g\n"),
                metrics);
    }

    @Test
    void stoppingNodeAnswersOpenRequestsAndAnnouncesClose() throws Exception {
        node.kill();
        String brief = "\"aim\":9000,\"giveUp\":500000";
        node = node(
                1024,
                2,
                ConfigTest.TEXT
                        .replace("\"aim\":4000000,\"giveUp\":8000000", brief)
                        .replace("\"aim\":3000000,\"giveUp\":6000000", brief));
        expectStatus(200, "GET /health/live HTTP/1.1\r\n\r\n");
        Socket idle = client;
        client = connect();
        send(fileRequest("a"));
        assertNotNull(server.nextRequest());
        CompletableFuture<Void> ended = node.stop();
        Socket first = client;
        String ready = "";
        for (int i = 0; i < 1000 && !ready.startsWith("HTTP/1.1 503 "); i++) {
            client = connect();
            send("GET /health/ready HTTP/1.1\r\n\r\n");
            ready = readResponse();
        }
        assertFalse(ready.contains("Connection: close\r\n"), "existing connections are served for a while");
        assertNull(FakeServer.readMessage(idle.getInputStream()), "the idle connection was not closed");
        client = first;
        assertFalse(ended.isDone());
        server.responses.add(OK);
        String back = readResponse();
        assertTrue(back.startsWith("HTTP/1.1 200 ") && back.contains("Connection: close\r\n"), back);
        ended.get(10, TimeUnit.SECONDS);
    }
}

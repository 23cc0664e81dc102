package brackenbridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.config.Config;
import brackenbridge.config.ConfigTest;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;

/** New configurations and endpoint lists in a running node. */
class NodeReconfigurationTest extends RunningNode {
    @Test
    void reconfiguredNodeFollowsDiscoveryAndAnInvalidFileChangesNothing() throws Exception {
        try (FakeServer moved = new FakeServer()) {
            node.reconfigure(() -> Config.parse("{"));
            node.reconfigure(() -> Config.parse(ConfigTest.TEXT.replace("127.0.0.1:1\"", moved.address() + "\"")));
            assertTrue(moved.nextRequest().startsWith("GET /registry/instances?watch=1&after=41 "));
            send("GET /health/counters HTTP/1.1\r\n\r\n");
            String counted = readResponse();
            assertTrue(counted.contains("reconfigured 1\nreconfigure_failed 1\n"), counted);
        }
        server.responses.add(OK);
        send(fileRequest("a"));
        assertTrue(readResponse().endsWith("done"));
    }

    @Test
    void discoveryIsPolledAtItsLatestAddress() throws Exception {
        try (FakeServer first = new FakeServer();
                FakeServer second = new FakeServer();
                FakeServer last = new FakeServer();
                FakeServer listed = new FakeServer()) {
            last.responses.add("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"seq\":7,\"whole\":true,\"hosts\":"
                    + "[{\"host\":\"s-2\",\"dial\":\"" + listed.address() + "\",\"health\":\"active\"}]}\n");
            for (FakeServer at : List.of(first, second, last)) {
                node.reconfigure(() -> Config.parse(ConfigTest.TEXT.replace("127.0.0.1:1\"", at.address() + "\"")));
            }
            assertTrue(last.nextRequest().startsWith("GET /registry/instances?watch=1"));
            String counted = "";
            for (int i = 0; i < 10_000 && !counted.contains("target_lists 1\n"); i++) {
                send("GET /health/counters HTTP/1.1\r\n\r\n");
                counted = readResponse();
            }
            assertTrue(counted.contains("target_lists 1\n") && counted.contains("reconfigured 3\n"), counted);
            listed.responses.add(OK);
            send(fileRequest("a"));
            assertTrue(readResponse().endsWith("done"));
            assertNotNull(listed.nextRequest());
            assertEquals(0, server.requests.size());
        }
    }

    @Test
    void nodeWithPushedListsOpensItsWatchAtOnceAndReceivesADrain() throws Exception {
        try (FakeServer agent = new FakeServer()) {
            agent.responses.add("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"seq\":42,\"whole\":false,\"hosts\":"
                    + "[{\"host\":\"s-1\",\"dial\":\"" + server.address() + "\",\"health\":\"leaving\"}]}\n");
            node.kill();
            node = node(
                    1024,
                    1,
                    ConfigTest.TEXT
                            .replace("\"discovery\":\"on_request\"", "\"discovery\":\"pushed\"")
                            .replace("127.0.0.1:1\"", agent.address() + "\""));
            assertTrue(agent.nextRequest().startsWith("GET /registry/instances?watch=1&after=41 "));
            while (!node.metricsText().contains("proxy.pool_size:1|g")) {
                Thread.onSpinWait();
            }
            expectStatus(503, "GET /health/ready HTTP/1.1\r\n\r\n");
        }
    }

    @Test
    void newSettingsApplyToNewRequestsOnly() throws Exception {
        String other = ConfigTest.TEXT.replace("\"name\":\"file\"", "\"name\":\"sign\"");
        node.reconfigure(() -> Config.parse(other.replace("\"giveUp\":6000000", "\"giveUp\":0")));
        node.reconfigure(() -> Config.parse(other.replace("\"maxRetryAfter\":3000000,", "")));
        settle();
        assertTrue(
                node.metricsText().contains("proxy.config_applied:0|c\nproxy.config_rejected:2|c\n"),
                node.metricsText());
        server.responses.add(OK);
        expectStatus(200, fileRequest("still here"));
        send(fileRequest("a"));
        Socket open = client;
        assertNotNull(server.nextRequest());
        assertNotNull(server.nextRequest());
        node.reconfigure(() -> Config.parse(other));
        settle();
        expectStatus(404, fileRequest("gone").replace("Id: 9b", "Id: 9c"));
        client = open;
        server.responses.add(OK);
        assertTrue(readResponse().endsWith("done"), "the open request keeps its settings");
        server.responses.add(OK);
        expectStatus(200, fileRequest("new").replace("/file", "/sign"));
        String metrics = node.metricsText();
        for (int i = 0;
                i < 500 && !(metrics.contains("proxy.errors.file:1|c\n") && metrics.contains("proxy.ok.sign:1|c\n"));
                i++) {
            settle();
            metrics = node.metricsText();
        }
        assertTrue(
                metrics.contains("proxy.ok.file:2|c\n")
                        && metrics.contains("proxy.errors.file:1|c\n")
                        && metrics.contains("proxy.ok.sign:1|c\n")
                        && metrics.contains("proxy.config_applied:1|c\n"),
                metrics);
    }

    @Test
    void newIdleTimeoutAppliesToConnectionsThatAreAlreadyIdle() throws Exception {
        server.responses.add(OK);
        server.responses.add(OK);
        send(fileRequest("a"));
        assertTrue(readResponse().endsWith("done"));
        settle();
        String shorter = ConfigTest.TEXT.replace("\"idleClose\":30000000", "\"idleClose\":2000000");
        node.reconfigure(() -> Config.parse(shorter));
        settle();
        clock.pass(1500);
        send(fileRequest("b"));
        assertTrue(readResponse().endsWith("done"));
        assertEquals(2, server.connections.size(), "half of the old timeout has not passed, half of the new one has");
    }
}

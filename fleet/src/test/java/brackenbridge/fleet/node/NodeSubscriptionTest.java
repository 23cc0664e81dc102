package brackenbridge.fleet.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.config.Config;
import brackenbridge.fleet.config.FleetFile;
import brackenbridge.fleet.config.FleetFileException;
import brackenbridge.fleet.control.ControlServer;
import brackenbridge.fleet.control.FleetStatus;
import brackenbridge.fleet.control.NodeNames;
import brackenbridge.fleet.control.ReportExchange;
import brackenbridge.fleet.control.Resource;
import brackenbridge.log.Log;
import brackenbridge.net.Node;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A real node validates and applies the values that a control machine sends, as in a reload. */
class NodeSubscriptionTest {
    private static final String SETTINGS = "settings/tier-0";

    @TempDir
    private Path directory;

    private Path configFile;
    private ControlServer server;
    private Node node;
    private NodeSubscription subscription;
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();

    private static String settings(String classes) {
        return "{\"tier\":0,\"me\":0,\"replicasOfMe\":1,\"discovery\":\"pushed\",\"classes\":[" + classes + "]}";
    }

    private static String requestClass(String name, long aim) {
        return "{\"name\":\"" + name + "\",\"aim\":" + aim + ",\"giveUp\":4000000,\"effect\":\"safe\",\"worth\":1}";
    }

    private static String config(String settings) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\","
                + "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},\"settings\":" + settings + "}";
    }

    @BeforeEach
    void start() throws IOException, FleetFileException {
        configFile = directory.resolve("config.json");
        Files.writeString(configFile, config(settings(requestClass("view", 900_000))));
        FleetFile anyFleet = fleet(1);
        server = new ControlServer(
                new ControlServer.Settings(
                        "f",
                        "c1",
                        new InetSocketAddress("127.0.0.1", 0),
                        new NodeNames(List.of("n*")),
                        anyFleet.control().limits()),
                Clock.system(),
                () -> true,
                new SimpleMeterRegistry());
        server.start();
        Config config = Config.read(configFile);
        node = new Node(config, Clock.system(), new Log(Clock.system(), new PrintStream(logOutput, true)));
        subscription = new NodeSubscription(fleet(server.address().getPort()), configFile, "r", config);
        subscription.onStarting(node);
        node.start();
    }

    private static FleetFile fleet(int port) throws FleetFileException {
        return FleetFile.parse(
                "f",
                "fleet = \"f\"\n[[member]]\nname = \"c1\"\naddress = \"127.0.0.1:1\"\n[control]\n"
                        + "heartbeat = \"50ms\"\nsilence = \"150ms\"\n[[control.machine]]\n"
                        + "name = \"c1\"\nregion = \"r\"\n"
                        + "address = \"127.0.0.1:" + port + "\"\n");
    }

    @AfterEach
    void end() throws Exception {
        subscription.onStopped();
        server.close();
        node.stop().get();
    }

    private void publish(long version, String content) {
        server.publish(new Resource(SETTINGS, version, content.getBytes(StandardCharsets.UTF_8)));
    }

    private static void await(java.util.concurrent.Callable<Boolean> condition) {
        Awaitility.await()
                .atMost(Duration.ofSeconds(20))
                .pollInterval(Duration.ofMillis(10))
                .until(condition);
    }

    private boolean servesClass(String name) {
        return node.metricsText().contains("proxy.ok." + name + ":");
    }

    private String fleetStatus() {
        return FleetStatus.format(List.of(new ReportExchange.AgedReport(server.report(), 0)));
    }

    @Test
    void agreedSettingsAreAppliedAndInvalidOnesAreRejectedAndReported() {
        publish(3, settings(requestClass("view", 700_000) + "," + requestClass("tag", 500_000)));
        await(() -> servesClass("tag"));
        await(() -> fleetStatus().contains("1 nodes, 1 act by the newest versions"));
        publish(4, "{\"tier\":0}");
        await(() -> fleetStatus().contains("n1: " + SETTINGS + " at version 3, newest 4, refused: "));
        publish(5, "no settings at all");
        await(() -> subscription.status().rejected() == 2);
        assertTrue(servesClass("tag"));
        publish(6, settings(requestClass("view", 700_000) + "," + requestClass("sign", 500_000)));
        await(() -> servesClass("sign"));
        await(() -> fleetStatus().contains("1 nodes, 1 act by the newest versions"));
    }

    @Test
    void agreedEndpointListIsApplied() {
        server.publish(new Resource(
                "list/tier-0",
                1,
                ("{\"seq\":7,\"whole\":true,\"hosts\":[{\"host\":\"s1\",\"dial\":"
                                + "\"127.0.0.1:1\",\"site\":\"a\",\"class\":\"m\",\"block\":1,"
                                + "\"health\":\"active\",\"share\":1.0,"
                                + "\"born_ms\":0}]}")
                        .getBytes(StandardCharsets.UTF_8)));
        await(() -> node.metricsText().contains("proxy.pool_size:1|"));
    }

    @Test
    void agreedSettingsAreAppliedAgainAfterAReload() {
        publish(1, settings(requestClass("view", 700_000) + "," + requestClass("tag", 500_000)));
        await(() -> servesClass("tag"));
        int reloadsBefore = reloadCount();
        node.reconfigure(() -> Config.read(configFile));
        await(() -> reloadCount() >= reloadsBefore + 2);
        await(() -> servesClass("tag"));
    }

    private int reloadCount() {
        return Integer.parseInt(node.metricsText().replaceAll("(?s).*proxy.config_applied:([0-9]+).*", "$1"));
    }

    @Test
    void fleetWithoutControlMachinesIsRejected() throws FleetFileException {
        FleetFile withoutControl =
                FleetFile.parse("f", "fleet = \"f\"\n[[member]]\nname = \"c1\"\naddress = \"127.0.0.1:1\"\n");
        assertEquals(
                "the fleet file contains no control machine",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> new NodeSubscription(withoutControl, configFile, "r", Config.read(configFile)))
                        .getMessage());
    }
}

package brackenbridge.fleet.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.fleet.cli.StateCommand;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Commands reach their handler, and its response determines the exit status of the command line. */
class AdminHttpServerTest {
    private final PrintStream originalOut = System.out;
    private final PrintStream originalErr = System.err;
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private AdminHttpServer server;

    @BeforeEach
    void open() throws Exception {
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        metrics.counter("fleet.tests", "kind", "page").increment(3);
        server = new AdminHttpServer(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                metrics,
                Map.of("state", (words, body, json) -> {
                    if (words.get(0).equals("fault")) {
                        throw new IllegalStateException("broken");
                    }
                    return new AdminHttpServer.Reply(!words.get(0).equals("no"), words + " " + json);
                }));
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        System.setErr(System.out);
    }

    @AfterEach
    void close() {
        System.setOut(originalOut);
        System.setErr(originalErr);
        server.close();
    }

    private String serverAddress() {
        return "127.0.0.1:" + server.address().getPort();
    }

    private String run(int status, String... words) {
        output.reset();
        assertEquals(status, new StateCommand().run(words), () -> output.toString(StandardCharsets.UTF_8));
        return output.toString(StandardCharsets.UTF_8).strip();
    }

    @Test
    void wordsArriveUnchanged() {
        assertEquals("[diff, a b/c?] false", run(0, "--at", serverAddress(), "diff", "a b/c?"));
        assertEquals("[status] true", run(0, "--json", "status", "--at", serverAddress()));
    }

    @Test
    void failedAndBrokenCommandsExitWithOne() {
        assertEquals("[no] false", run(1, "--at", serverAddress(), "no"));
        assertTrue(run(1, "--at", serverAddress(), "fault").contains("broken"));
    }

    @Test
    void invalidCommandLineExitsWithTwo() {
        assertTrue(run(2, "--at", serverAddress()).contains("state status"));
        assertTrue(run(2, "status", "--file", "no/such/file", "--at", serverAddress())
                .contains("no/such/file"));
    }

    @Test
    void metricsAreServedAndUnknownCommandsAreNotFound() throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        String metrics = client.send(
                        HttpRequest.newBuilder(URI.create("http://" + serverAddress() + "/metrics"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
        assertTrue(metrics.contains("fleet_tests_total{kind=\"page\"} 3.0"), metrics);
        assertEquals(
                404,
                client.send(
                                HttpRequest.newBuilder(URI.create("http://" + serverAddress() + "/call/none/x"))
                                        .POST(HttpRequest.BodyPublishers.noBody())
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .statusCode());
    }
}

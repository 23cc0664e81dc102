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

/** Staff's commands reach the room they name, and what it says decides the exit status. */
class AdminHttpServerTest {
    private final PrintStream out = System.out;
    private final PrintStream err = System.err;
    private final ByteArrayOutputStream said = new ByteArrayOutputStream();
    private AdminHttpServer page;

    @BeforeEach
    void open() throws Exception {
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        metrics.counter("fleet.tests", "kind", "page").increment(3);
        page = new AdminHttpServer(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                metrics,
                Map.of("state", (words, body, json) -> {
                    if (words.get(0).equals("fault")) {
                        throw new IllegalStateException("broken");
                    }
                    return new AdminHttpServer.Reply(!words.get(0).equals("no"), words + " " + json);
                }));
        System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
        System.setErr(System.out);
    }

    @AfterEach
    void close() {
        System.setOut(out);
        System.setErr(err);
        page.close();
    }

    private String at() {
        return "127.0.0.1:" + page.address().getPort();
    }

    private String run(int status, String... words) {
        said.reset();
        assertEquals(status, new StateCommand().run(words), () -> said.toString(StandardCharsets.UTF_8));
        return said.toString(StandardCharsets.UTF_8).strip();
    }

    @Test
    void wordsArriveAsTheyWereGiven() {
        assertEquals("[diff, a b/c?] false", run(0, "--at", at(), "diff", "a b/c?"));
        assertEquals("[status] true", run(0, "--json", "status", "--at", at()));
    }

    @Test
    void roomThatSaysNoAndOneThatFailsEndWithOne() {
        assertEquals("[no] false", run(1, "--at", at(), "no"));
        assertTrue(run(1, "--at", at(), "fault").contains("broken"));
    }

    @Test
    void lineThatCannotBeUsedEndsWithTwo() {
        assertTrue(run(2, "--at", at()).contains("state status"));
        assertTrue(run(2, "status", "--file", "no/such/file", "--at", at()).contains("no/such/file"));
    }

    @Test
    void metricsArePublishedAndOtherRoomsAreNone() throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        String metrics = client.send(
                        HttpRequest.newBuilder(URI.create("http://" + at() + "/metrics"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
        assertTrue(metrics.contains("fleet_tests_total{kind=\"page\"} 3.0"), metrics);
        assertEquals(
                404,
                client.send(
                                HttpRequest.newBuilder(URI.create("http://" + at() + "/call/none/x"))
                                        .POST(HttpRequest.BodyPublishers.noBody())
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .statusCode());
    }
}

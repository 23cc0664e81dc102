package brackenbridge.lab.scale;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/** Calls of an operator to a control machine's admin endpoint. */
final class AdminClient {
    private static final Duration CONNECT = Duration.ofSeconds(2);
    private static final Duration ANSWER = Duration.ofSeconds(12);
    private static final int DONE = 200;

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(CONNECT).build();

    /** The answer to {@code settings status}; empty if there is none, or the machine knows of no majority. */
    Optional<String> status(String address) throws InterruptedException {
        return call(address, "status", "");
    }

    /** Proposes a content; returns whether it is in force. */
    boolean propose(String address, String name, String content) throws InterruptedException {
        return call(address, "propose/" + URLEncoder.encode(name, StandardCharsets.UTF_8), content)
                .isPresent();
    }

    private Optional<String> call(String address, String path, String body) throws InterruptedException {
        return send(HttpRequest.newBuilder(URI.create("http://" + address + "/call/settings/" + path))
                .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** The sum of a metric's series; 0 if it is not there. */
    double metric(String address, String name) throws InterruptedException {
        return send(HttpRequest.newBuilder(URI.create("http://" + address + "/metrics"))
                        .GET())
                .map(text -> text.lines()
                        .filter(line -> line.startsWith(name + " ") || line.startsWith(name + "{"))
                        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                        .sum())
                .orElse(0.0);
    }

    private Optional<String> send(HttpRequest.Builder request) throws InterruptedException {
        try {
            HttpResponse<String> answer =
                    http.send(request.timeout(ANSWER).build(), HttpResponse.BodyHandlers.ofString());
            return answer.statusCode() == DONE ? Optional.of(answer.body()) : Optional.empty();
        } catch (IOException e) {
            // The machine is not there at the moment.
            return Optional.empty();
        }
    }
}

package brackenbridge.fleet.cli;

import brackenbridge.cli.Extension;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A command that a running member answers: its words go to the member's page, what comes back is printed. Exit status:
 * 0; 1 where the member said no or did not answer; 2 for a command line that can't be used.
 */
abstract class AdminCommand implements Extension {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private static final class Options {
        @Parameter(names = "--at", description = "A member's page, address:port; by default $BRACKENBRIDGE_FLEET")
        private String at = System.getenv("BRACKENBRIDGE_FLEET");

        @Parameter(names = "--json", description = "For programs")
        private boolean json;

        @Parameter(names = "--file", description = "A file that goes with the call")
        private String file;

        @Parameter(description = "WORDS")
        private List<String> words = new ArrayList<>();
    }

    private final String name;
    private final String usage;

    AdminCommand(String name, String usage) {
        this.name = name;
        this.usage = usage;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public int run(String[] args) {
        Options line = new Options();
        byte[] body = new byte[0];
        try {
            JCommander.newBuilder()
                    .programName("brackenbridge " + name)
                    .addObject(line)
                    .build()
                    .parse(args);
            if (line.file != null) {
                body = Files.readAllBytes(Path.of(line.file));
            }
        } catch (ParameterException | IOException e) {
            return reportUsageError(String.valueOf(e.getMessage()));
        }
        if (line.words.isEmpty() || line.at == null) {
            return reportUsageError(
                    line.at == null ? "no member: give --at ADDRESS:PORT or set BRACKENBRIDGE_FLEET" : usage);
        }
        try {
            String path = line.words.stream()
                    .map(w -> URLEncoder.encode(w, StandardCharsets.UTF_8))
                    .collect(Collectors.joining("/"));
            HttpResponse<String> answer = HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://" + line.at + "/call/" + name + "/" + path
                                            + (line.json ? "?json" : "")))
                                    .timeout(TIMEOUT)
                                    .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            (answer.statusCode() == 200 ? System.out : System.err)
                    .println(
                            answer.body().isEmpty()
                                    ? "brackenbridge: " + line.at + " answers " + answer.statusCode()
                                    : answer.body().stripTrailing());
            return answer.statusCode() == 200 ? 0 : 1;
        } catch (IllegalArgumentException e) {
            return reportUsageError(e.getMessage());
        } catch (IOException e) {
            System.err.println("brackenbridge: no answer from " + line.at + ": " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static int reportUsageError(String why) {
        System.err.println("brackenbridge: " + why);
        return 2;
    }
}

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
 * A command that is sent to the admin server of a running member and prints the response. The exit status is 0 on
 * success, 1 if the member rejected the command or did not respond, and 2 for an invalid command line.
 */
abstract class AdminCommand implements Extension {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private static final class Options {
        @Parameter(
                names = "--at",
                description = "The admin address of a member, address:port; by default $BRACKENBRIDGE_FLEET")
        private String at = System.getenv("BRACKENBRIDGE_FLEET");

        @Parameter(names = "--json", description = "Print the response as JSON")
        private boolean json;

        @Parameter(names = "--file", description = "A file to send with the command")
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
        Options options = new Options();
        byte[] body = new byte[0];
        try {
            JCommander.newBuilder()
                    .programName("brackenbridge " + name)
                    .addObject(options)
                    .build()
                    .parse(args);
            if (options.file != null) {
                body = Files.readAllBytes(Path.of(options.file));
            }
        } catch (ParameterException | IOException e) {
            return reportUsageError(String.valueOf(e.getMessage()));
        }
        if (options.words.isEmpty() || options.at == null) {
            return reportUsageError(
                    options.at == null
                            ? "no member address: give --at ADDRESS:PORT or set BRACKENBRIDGE_FLEET"
                            : usage);
        }
        try {
            String path = options.words.stream()
                    .map(w -> URLEncoder.encode(w, StandardCharsets.UTF_8))
                    .collect(Collectors.joining("/"));
            HttpResponse<String> response = HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://" + options.at + "/call/" + name + "/" + path
                                            + (options.json ? "?json" : "")))
                                    .timeout(TIMEOUT)
                                    .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            (response.statusCode() == 200 ? System.out : System.err)
                    .println(
                            response.body().isEmpty()
                                    ? "brackenbridge: " + options.at + " responded with status " + response.statusCode()
                                    : response.body().stripTrailing());
            return response.statusCode() == 200 ? 0 : 1;
        } catch (IllegalArgumentException e) {
            return reportUsageError(e.getMessage());
        } catch (IOException e) {
            System.err.println("brackenbridge: no response from " + options.at + ": " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static int reportUsageError(String reason) {
        System.err.println("brackenbridge: " + reason);
        return 2;
    }
}

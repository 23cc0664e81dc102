package brackenbridge.lab.experiment;

import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.stats.Scoreboard;
import brackenbridge.lab.world.Experiment;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;

/**
 * A folder of results: {@code results.jsonl} with a line a run, {@code latency.hlog} with a histogram a run, and
 * {@code breaches.txt} with the history behind each broken rule. What is written is whole after each run, so that
 * what was interrupted can still be read; nothing in it depends on how long a run took.
 */
public final class Results implements AutoCloseable {
    /** The lines of results. */
    public static final String LINES = "results.jsonl";

    private static final String HISTOGRAMS = "latency.hlog";
    private static final String BREACHES = "breaches.txt";

    private final Path folder;
    private final PrintStream histograms;
    private final HistogramLogWriter log;
    private final StringBuilder breaches = new StringBuilder();

    /** Starts a folder anew. */
    public Results(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(BREACHES));
        Files.writeString(folder.resolve(LINES), "");
        histograms = new PrintStream(Files.newOutputStream(folder.resolve(HISTOGRAMS)), true, StandardCharsets.UTF_8);
        log = new HistogramLogWriter(histograms);
        log.outputLogFormatVersion();
        log.outputLegend();
    }

    /** One run's line. */
    public static JsonObject line(
            Experiment experiment, Experiment.Run run, String mode, Scoreboard board, RuleChecker ledger) {
        JsonObject rules = Json.object();
        for (RuleChecker.Rule rule : RuleChecker.Rule.values()) {
            rules.add(rule.name().toLowerCase(Locale.ROOT), ledger.broken(rule));
        }
        return Json.object()
                .add("experiment", experiment.name())
                .add("run", run.number())
                .add("mode", mode)
                .add("policy", run.label())
                .add("servers", run.servers())
                .add("nodes", run.world().nodes(0))
                .add("load", Scoreboard.round(run.load()))
                .add("seed", run.seed())
                .add("figures", board.json())
                .add("rules", rules)
                .add("checked", ledger.checked());
    }

    /** Adds a run's line, its histogram and its breaches. */
    public void add(JsonObject line, Histogram latency, RuleChecker ledger) {
        try {
            Files.writeString(folder.resolve(LINES), line + "\n", StandardOpenOption.APPEND);
            int run = line.getInt("run", 0);
            // A run's place stands for time, so that two plays of one seed write the same log.
            latency.setStartTimeStamp(run * 1000L);
            latency.setEndTimeStamp(run * 1000L + 1000);
            latency.setTag("run-" + run);
            log.outputIntervalHistogram(latency);
            histograms.flush();
            for (RuleChecker.Breach b : ledger.breaches()) {
                breaches.append("run ")
                        .append(run)
                        .append(' ')
                        .append(line.getString("policy", ""))
                        .append(" seed ")
                        .append(line.getLong("seed", 0))
                        .append(": ")
                        .append(b.text())
                        .append("\n\n");
            }
            if (!breaches.isEmpty()) {
                Files.writeString(folder.resolve(BREACHES), breaches);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Keeps a file beside the results. */
    public void keep(String name, String text) throws IOException {
        Files.writeString(folder.resolve(name), text);
    }

    @Override
    public void close() {
        log.close();
    }

    /** Reads a folder's lines back; a last line that was cut off is passed over. */
    public static List<JsonObject> read(Path folder) throws IOException {
        List<JsonObject> lines = new ArrayList<>();
        List<String> text = Files.readAllLines(folder.resolve(LINES));
        for (int i = 0; i < text.size(); i++) {
            try {
                JsonValue v = Json.parse(text.get(i));
                lines.add(v.asObject());
            } catch (RuntimeException e) {
                if (i < text.size() - 1) {
                    throw new IOException(folder.resolve(LINES) + ":" + (i + 1) + ": not a line of results", e);
                }
            }
        }
        return lines;
    }
}

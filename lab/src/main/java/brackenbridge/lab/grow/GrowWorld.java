package brackenbridge.lab.grow;

import brackenbridge.lab.policy.Policies;
import brackenbridge.lab.world.Experiment;
import brackenbridge.lab.world.ExperimentFile;
import brackenbridge.lab.world.FileFault;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;

/** The world of a run: the same traffic and the same capacity of all servers together, whatever their number. */
public final class GrowWorld {
    /** The most servers: each has one core then, and more cores where there are fewer servers. */
    public static final int MOST_SERVERS = 3200;
    /** The fewest servers. */
    public static final int LEAST_SERVERS = 20;

    /** How servers go. */
    public enum Ends {
        /** Processes die under the requests that they have. */
        ABRUPT("crash", "replace"),
        /** Machines fall silent, or leave the list before their processes end: no connection breaks under a request. */
        QUIET("cut_off", "leave");

        private final String failure;
        private final String replacement;

        Ends(String failure, String replacement) {
            this.failure = failure;
            this.replacement = replacement;
        }
    }

    /** The one node of the fleet that runs; where it begins among the servers moves with the servers' number. */
    static final int NODE = 9;

    private static final String FILE = "grow.toml";
    private static final int SLOTS_PER_CORE = 8;
    private static final int ROOM_PER_CORE = 4;
    /** Parts of all servers that a trouble strikes, and parts of the run. */
    private static final double FAIL = 0.05;

    private static final double REPLACED = 0.3;
    private static final double DRAIN_TIME = 0.2;
    private static final double REPLACE_TIME = 0.25;

    private GrowWorld() {}

    /** The experiment with so many servers. */
    public static Experiment of(int servers, double seconds, long seed, Ends ends) throws FileFault, IOException {
        String text = text();
        for (Map.Entry<String, String> value : values(servers, seconds, ends).entrySet()) {
            text = text.replace("${" + value.getKey() + "}", value.getValue());
        }
        return ExperimentFile.parse(FILE, text, Path.of("."), Policies.names()).withSeed(seed);
    }

    private static Map<String, String> values(int servers, double seconds, Ends ends) {
        int cores = Math.max(1, Math.round((float) MOST_SERVERS / servers));
        double speed = MOST_SERVERS / (double) (servers * cores);
        int failing = (int) Math.ceil(FAIL * servers);
        int replaced = (int) Math.ceil(REPLACED * servers);
        return Map.ofEntries(
                Map.entry("length", time(seconds)),
                Map.entry("servers", Integer.toString(servers)),
                Map.entry("cores", Integer.toString(cores)),
                Map.entry("speed", String.format(Locale.ROOT, "%.4f", speed)),
                Map.entry("slots", Integer.toString(SLOTS_PER_CORE * cores)),
                Map.entry("room", Integer.toString(ROOM_PER_CORE * cores)),
                Map.entry("silent_at", time(0.1 * seconds)),
                Map.entry("hang_at", time(0.15 * seconds)),
                Map.entry("drain_at", time(0.2 * seconds)),
                Map.entry("failure", ends.failure),
                Map.entry("replacement", ends.replacement),
                Map.entry("failure_at", time(0.4 * seconds)),
                Map.entry("replace_at", time(0.5 * seconds)),
                Map.entry("failing", Integer.toString(failing)),
                Map.entry("drain_every", time(DRAIN_TIME * seconds / failing)),
                Map.entry("replaced", Integer.toString(replaced)),
                Map.entry("replace_every", time(REPLACE_TIME * seconds / replaced)));
    }

    private static String time(double seconds) {
        return String.format(Locale.ROOT, "\"%.3fms\"", seconds * 1000);
    }

    private static String text() throws IOException {
        try (InputStream in = GrowWorld.class.getResourceAsStream("/brackenbridge/lab/" + FILE)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}

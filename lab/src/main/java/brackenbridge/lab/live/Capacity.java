package brackenbridge.lab.live;

import brackenbridge.BalancerApi.EndpointState;
import brackenbridge.core.Target;
import brackenbridge.core.TargetGroup;
import brackenbridge.lab.experiment.Results;
import brackenbridge.lab.world.Experiment;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Finds the highest rate that is served well: straight at servers that answer at once, which is the load tool's own
 * highest, through a bare relay, and through a node, by turns. Relay and node have one and the same core and the same
 * flags of the virtual machine.
 */
public final class Capacity implements AutoCloseable {
    private static final double LEAST_SERVED = 0.999;
    private static final double MOST_P99_MS = 50;
    private static final int ECHOES = 16;
    private static final double FIRST_RATE = 1000;
    private static final double STEP = 1.5;
    private static final double FINE = 1.1;

    private final Path home;
    private final Path out;
    private final Experiment experiment;
    private final double seconds;
    private final List<Process> processes = new ArrayList<>();

    /**
     * Prepares it.
     *
     * @param experiment what the load is like
     * @param seconds how long each rate is tried
     */
    public Capacity(Path home, Path out, Experiment experiment, double seconds) {
        this.home = home;
        this.out = out;
        this.experiment = experiment;
        this.seconds = seconds;
    }

    private static List<String> pinned(String core, List<String> command) {
        List<String> all = new ArrayList<>();
        if (Files.isExecutable(Path.of("/usr/bin/taskset"))) {
            all.addAll(List.of("/usr/bin/taskset", "-c", core));
        }
        all.addAll(command);
        return all;
    }

    /** Starts a command of the laboratory in a process of its own and reads the one line that it says. */
    private String child(String core, List<String> flags, String... words) throws IOException {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java")
                .toString()));
        command.addAll(flags);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "brackenbridge.cli.Main", "lab"));
        command.addAll(List.of(words));
        Process p = new ProcessBuilder(pinned(core, command)).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        processes.add(p);
        return new BufferedReader(new InputStreamReader(p.getInputStream(), StandardCharsets.UTF_8)).readLine();
    }

    private static InetSocketAddress address(String dial) {
        int colon = dial.lastIndexOf(':');
        return new InetSocketAddress(dial.substring(0, colon), Integer.parseInt(dial.substring(colon + 1)));
    }

    /**
     * Measures so many rounds.
     *
     * @param run the deployment's command for a node
     * @param said hears each figure as it comes
     * @return the highest rate of each round by target
     */
    public Map<String, List<Double>> measure(String run, int rounds, Consumer<String> said)
            throws IOException, InterruptedException {
        Files.createDirectories(out);
        List<String> flags = new ArrayList<>();
        for (String word : run.split(" +")) {
            if (word.startsWith("-X") || word.startsWith("-D")) {
                flags.add(word);
            }
        }
        String[] echoes = child("2,3", List.of(), "echo", "--addresses", Integer.toString(ECHOES)).split(" ");
        String relay = child("1", flags, "relay", "--to", echoes[0]);
        InetSocketAddress node = LiveRunner.freePort();
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < echoes.length; i++) {
            targets.add(new Target("echo-" + i, echoes[i], "room", -1, 1, 0, EndpointState.UP));
        }
        Path config = out.resolve("node.json");
        Files.writeString(config, SettingsJson.config("n0", node.getHostString() + ":" + node.getPort(), "127.0.0.1:1",
                4096, experiment.world().settings(0, 0, 1), new TargetGroup(1, true, targets)).toString());
        ProcessBuilder b = new ProcessBuilder(pinned("1", List.of("/bin/sh", "-c", run))).directory(home.toFile())
                .redirectErrorStream(true).redirectOutput(out.resolve("node.log").toFile());
        b.environment().put("PROXY_CONFIG", config.toAbsolutePath().toString());
        processes.add(b.start());
        Thread.sleep(2000);
        Map<String, InetSocketAddress> ways = new LinkedHashMap<>();
        ways.put("load tool, straight", address(echoes[0]));
        ways.put("bare relay", address(relay));
        ways.put("node", node);
        Map<String, List<Double>> best = new LinkedHashMap<>();
        for (int round = 0; round < rounds; round++) {
            for (Map.Entry<String, InetSocketAddress> way : ways.entrySet()) {
                double rate = highest(way.getKey(), way.getValue(), said);
                best.computeIfAbsent(way.getKey(), k -> new ArrayList<>()).add(rate);
                said.accept(String.format(java.util.Locale.ROOT, "round %d: %s: %.0f a second", round + 1,
                        way.getKey(), rate));
            }
        }
        return best;
    }

    private double highest(String name, InetSocketAddress at, Consumer<String> said)
            throws IOException, InterruptedException {
        double good = 0;
        double rate = FIRST_RATE;
        double step = STEP;
        while (true) {
            if (well(name, at, rate, said) || well(name, at, rate, said)) {
                good = rate;
                rate *= step;
            } else if (step == FINE || good == 0) {
                return good;
            } else {
                step = FINE;
                rate = good * FINE;
            }
        }
    }

    private boolean well(String name, InetSocketAddress at, double rate, Consumer<String> said)
            throws IOException, InterruptedException {
        Experiment e = experiment.withLoad(rate, seconds, 1);
        LiveRunner.Outcome r;
        try (Results results = new Results(out.resolve("last"))) {
            r = LoadRunner.play(e, e.runs().get(0), at, 2000, true, results);
        }
        double p99 = r.board().latency().getValueAtPercentile(99) / 1000.0;
        boolean well = !r.overrun() && r.board().servedPart() >= LEAST_SERVED && p99 <= MOST_P99_MS;
        said.accept(String.format(java.util.Locale.ROOT, "  %s at %.0f: served %.4f, p50 %.2f ms, p99 %.1f ms, late "
                + "sends %d of %d%s", name, rate, r.board().servedPart(),
                r.board().latency().getValueAtPercentile(50) / 1000.0, p99, r.late(), r.sent(),
                well ? "" : ": too much"));
        return well;
    }

    @Override
    public void close() {
        for (Process p : processes) {
            p.destroyForcibly();
            try {
                p.waitFor(2, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}

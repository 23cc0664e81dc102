package brackenbridge.lab.live;

import brackenbridge.core.EndpointList;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.lab.experiment.Results;
import brackenbridge.lab.world.Experiment;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
    private final PinnedProcesses processes = new PinnedProcesses();

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
        List<String> flags = PinnedProcesses.flags(run);
        String[] echoes = processes
                .lab("2,3", List.of(), "echo", "--addresses", Integer.toString(ECHOES))
                .split(" ");
        String relay = processes.lab("1", flags, "relay", "--to", echoes[0]);
        InetSocketAddress node = LiveRunner.freePort();
        List<ServerEndpoint> targets = new ArrayList<>();
        for (int i = 0; i < echoes.length; i++) {
            targets.add(new ServerEndpoint("echo-" + i, echoes[i], "room", -1, 1, 0, EndpointState.UP));
        }
        Path config = out.resolve("node.json");
        Files.writeString(
                config,
                SettingsJson.config(
                                "n0",
                                node.getHostString() + ":" + node.getPort(),
                                "127.0.0.1:1",
                                4096,
                                experiment.world().settings(0, 0, 1),
                                new EndpointList(1, true, targets))
                        .toString());
        processes.node("1", run, home, config, out.resolve("node.log"));
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
                said.accept(String.format(
                        java.util.Locale.ROOT, "round %d: %s: %.0f a second", round + 1, way.getKey(), rate));
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
            boolean passed = well(name, at, rate, said);
            if (!passed) {
                passed = well(name, at, rate, said);
            }
            if (passed) {
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
        said.accept(String.format(
                java.util.Locale.ROOT,
                "  %s at %.0f: served %.4f, p50 %.2f ms, p99 %.1f ms, late " + "sends %d of %d%s",
                name,
                rate,
                r.board().servedPart(),
                r.board().latency().getValueAtPercentile(50) / 1000.0,
                p99,
                r.late(),
                r.sent(),
                well ? "" : ": too much"));
        return well;
    }

    @Override
    public void close() {
        processes.close();
    }
}

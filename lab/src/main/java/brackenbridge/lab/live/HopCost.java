package brackenbridge.lab.live;

import brackenbridge.core.EndpointList;
import brackenbridge.core.ServerEndpoint;
import brackenbridge.core.balancing.EndpointState;
import brackenbridge.lab.world.Experiment;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * What a node adds to a call: the same calls straight at a server, through a relay that only passes bytes on, and
 * through a node, in turns. Client and server never sleep, so that they add little of their own; relay and node share
 * one core and the deployment's flags of the virtual machine.
 */
public final class HopCost {
    private static final String NODE_CORE = "1";
    private static final double[] RATES = {100, 500};
    private static final int FIRST_CALLS = 10_000;
    private static final double NS_PER_MS = 1e6;
    private static final long LISTENS_WITHIN_MS = 20_000;
    private static final double[] QUANTILES = {50, 99, 99.9};

    /** A way to the server. */
    private enum Way {
        STRAIGHT,
        RELAY,
        NODE
    }

    private final Path home;
    private final Path out;
    private final Experiment experiment;
    private final double seconds;
    private final int rounds;
    private final Consumer<String> said;

    /**
     * Prepares it.
     *
     * @param home the project's folder, in which the deployment's command runs
     * @param out the folder of what is left over
     * @param experiment what the calls are like
     * @param seconds how long each way is measured at each rate, in each round
     * @param rounds how many rounds, in turns
     * @param said hears each line as it comes
     */
    public HopCost(Path home, Path out, Experiment experiment, double seconds, int rounds, Consumer<String> said) {
        this.home = home;
        this.out = out;
        this.experiment = experiment;
        this.seconds = seconds;
        this.rounds = rounds;
        this.said = said;
    }

    /** Measures a node that is started with this command; the name stands before each line. */
    public void measure(String name, String run) throws IOException, InterruptedException {
        Files.createDirectories(out);
        String className = experiment.world().settings(0, 0, 1).classes().get(0).name();
        try (SpinEcho echo = new SpinEcho();
                PinnedProcesses processes = new PinnedProcesses()) {
            Map<Way, InetSocketAddress> addresses = new LinkedHashMap<>();
            addresses.put(Way.STRAIGHT, echo.address());
            String relay = processes.lab(NODE_CORE, PinnedProcesses.flags(run), "relay", "--to", dial(echo.address()));
            addresses.put(Way.RELAY, address(relay));
            addresses.put(Way.NODE, startNode(processes, run, echo.address()));
            Map<Way, SpinClient> clients = new LinkedHashMap<>();
            for (Map.Entry<Way, InetSocketAddress> way : addresses.entrySet()) {
                SpinClient client = new SpinClient(way.getValue(), className);
                clients.put(way.getKey(), client);
                tell(name, way.getKey(), "first " + FIRST_CALLS + " calls", client.flood(FIRST_CALLS), 0);
            }
            for (double rate : RATES) {
                measure(name, rate, clients);
            }
            for (SpinClient client : clients.values()) {
                client.close();
            }
        }
    }

    private void measure(String name, double rate, Map<Way, SpinClient> clients) throws IOException {
        Map<Way, Histogram> sums = new LinkedHashMap<>();
        for (int round = 0; round < rounds; round++) {
            for (Map.Entry<Way, SpinClient> way : clients.entrySet()) {
                Histogram latencies = way.getValue().pace(rate, seconds);
                tell(
                        name,
                        way.getKey(),
                        String.format(Locale.ROOT, "round %d, %.0f a second", round + 1, rate),
                        latencies,
                        way.getValue().late());
                sums.computeIfAbsent(way.getKey(), key -> SpinClient.histogram())
                        .add(latencies);
            }
        }
        said.accept(String.format(
                Locale.ROOT,
                "%s: %.0f a second: relay adds %s, node adds %s; straight p99 %.3f ms",
                name,
                rate,
                added(sums.get(Way.RELAY), sums.get(Way.STRAIGHT)),
                added(sums.get(Way.NODE), sums.get(Way.STRAIGHT)),
                sums.get(Way.STRAIGHT).getValueAtPercentile(99) / NS_PER_MS));
    }

    private static String added(Histogram through, Histogram straight) {
        List<String> parts = new ArrayList<>();
        for (double quantile : QUANTILES) {
            parts.add(String.format(
                    Locale.ROOT,
                    "p%s %.3f ms",
                    quantile == 99.9 ? "99.9" : String.format(Locale.ROOT, "%.0f", quantile),
                    (through.getValueAtPercentile(quantile) - straight.getValueAtPercentile(quantile)) / NS_PER_MS));
        }
        return String.join(", ", parts);
    }

    private void tell(String name, Way way, String what, Histogram latencies, long late) {
        said.accept(String.format(
                Locale.ROOT,
                "%s: %-8s %s: p50 %.3f, p99 %.3f, p99.9 %.3f, max %.3f ms%s",
                name,
                way.name().toLowerCase(Locale.ROOT),
                what,
                latencies.getValueAtPercentile(50) / NS_PER_MS,
                latencies.getValueAtPercentile(99) / NS_PER_MS,
                latencies.getValueAtPercentile(99.9) / NS_PER_MS,
                latencies.getMaxValue() / NS_PER_MS,
                late > 0 ? ", " + late + " began late" : ""));
    }

    private InetSocketAddress startNode(PinnedProcesses processes, String run, InetSocketAddress echo)
            throws IOException, InterruptedException {
        InetSocketAddress node = LiveRunner.freePort();
        List<ServerEndpoint> targets =
                List.of(new ServerEndpoint("echo", dial(echo), "room", -1, 1, 0, EndpointState.UP));
        Path config = out.resolve("node.json");
        Files.writeString(
                config,
                SettingsJson.config(
                                "n0",
                                dial(node),
                                "127.0.0.1:1",
                                1024,
                                experiment.world().settings(0, 0, 1),
                                new EndpointList(1, true, targets))
                        .toString());
        processes.node(NODE_CORE, run, home, config, out.resolve("node.log"));
        long end = System.currentTimeMillis() + LISTENS_WITHIN_MS;
        while (!listens(node)) {
            if (System.currentTimeMillis() > end) {
                throw new IOException("the node does not listen: see " + out.resolve("node.log"));
            }
            Thread.sleep(50);
        }
        return node;
    }

    private static boolean listens(InetSocketAddress address) {
        try (java.net.Socket socket = new java.net.Socket()) {
            socket.connect(address, 500);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static String dial(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static InetSocketAddress address(String dial) {
        int colon = dial.lastIndexOf(':');
        return new InetSocketAddress(dial.substring(0, colon), Integer.parseInt(dial.substring(colon + 1)));
    }
}

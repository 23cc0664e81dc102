package brackenbridge.lab.scale;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.control.ControlClient;
import brackenbridge.fleet.control.ControlLimits;
import brackenbridge.fleet.control.ControlMachine;
import brackenbridge.fleet.control.Resource;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Nodes with the real control client and no data path, all on one event loop of one process. Commands are lines on
 * standard input: {@code start WITHIN_MS}, {@code status}, {@code dump}, {@code pause FIRST COUNT},
 * {@code resume FIRST COUNT}, {@code restart FIRST COUNT WITHIN_MS}, {@code end}. Answers are JSON lines; times are
 * milliseconds of the machine's monotonic clock, which all processes of a machine share.
 */
public final class HollowNodes {
    /** What stands before a change's number in the content of a resource. */
    static final String CHANGE = "change ";

    private static final class Options {
        @Parameter(names = "--fleet", description = "The fleet's name", required = true)
        private String fleet;

        @Parameter(
                names = "--machine",
                description = "NAME=REGION@ADDRESS:PORT of each control machine",
                required = true)
        private List<String> machines = new ArrayList<>();

        @Parameter(names = "--region", description = "The nodes' region", required = true)
        private String region;

        @Parameter(names = "--first", description = "The first node's number", required = true)
        private int first;

        @Parameter(names = "--count", description = "How many nodes", required = true)
        private int count;

        @Parameter(names = "--services", description = "How many lists there are", required = true)
        private int services;

        @Parameter(names = "--calls", description = "To how many lists a node subscribes", required = true)
        private int calls;

        @Parameter(names = "--tiers", description = "How many settings there are", required = true)
        private int tiers;

        @Parameter(names = "--seed", description = "The seed", required = true)
        private long seed;

        private List<ControlMachine> controlMachines() {
            return machines.stream()
                    .map(text -> {
                        int is = text.indexOf('=');
                        int at = text.indexOf('@');
                        return new ControlMachine(
                                text.substring(0, is), text.substring(is + 1, at), text.substring(at + 1));
                    })
                    .toList();
        }
    }

    /** A version that a node began to act by. */
    private record Applied(int node, String resource, long change, double atMs) {}

    private final Options options;
    private final List<ControlMachine> machines;
    private final Clock clock = Clock.system();
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final SplittableRandom random;

    // The event loop's only.
    private final TreeMap<Integer, ControlClient> nodes = new TreeMap<>();
    private List<Applied> applied = new ArrayList<>();
    private long starts;
    private long bytesOfEnded;
    private long connectionsOfEnded;

    private HollowNodes(Options options) {
        this.options = options;
        this.machines = options.controlMachines();
        this.random = new SplittableRandom(options.seed * 31 + options.first);
    }

    /** Runs until standard input ends. */
    public static void main(String[] args) throws IOException {
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse(args);
        HollowNodes process = new HollowNodes(options);
        say(Json.object().add("what", "ready"));
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null && !line.equals("end"); line = in.readLine()) {
            process.command(line.trim().split(" "));
        }
        Runtime.getRuntime().halt(0);
    }

    private static void say(JsonObject line) {
        System.out.println(line);
        System.out.flush();
    }

    private static double monotonicMs() {
        return System.nanoTime() / 1e6;
    }

    private void command(String[] words) {
        switch (words[0]) {
            case "start" -> startAll(Double.parseDouble(words[1]));
            case "status" -> loop.execute(this::status);
            case "dump" -> loop.execute(this::dump);
            case "pause", "resume" ->
                loop.execute(() ->
                        range(words).forEach(node -> nodes.get(node).setReadingPaused(words[0].equals("pause"))));
            case "restart" -> restart(range(words), Double.parseDouble(words[3]));
            default -> say(Json.object().add("what", "unknown").add("command", words[0]));
        }
    }

    private List<Integer> range(String[] words) {
        int first = Integer.parseInt(words[1]);
        int end = first + Integer.parseInt(words[2]);
        List<Integer> all = new ArrayList<>();
        for (int node = Math.max(first, options.first); node < Math.min(end, options.first + options.count); node++) {
            all.add(node);
        }
        return all;
    }

    private void startAll(double withinMs) {
        for (int node = options.first; node < options.first + options.count; node++) {
            int number = node;
            loop.schedule(() -> start(number), (long) (random.nextDouble() * withinMs * 1000), TimeUnit.MICROSECONDS);
        }
    }

    private void start(int node) {
        List<String> resources =
                ScalePlan.resourcesOf(node, options.services, options.calls, options.tiers, options.seed);
        ControlClient[] self = new ControlClient[1];
        ControlClient client = new ControlClient(
                new ControlClient.Settings(
                        options.fleet, "n" + node, options.region, machines, resources, ControlLimits.DEFAULTS),
                loop,
                clock,
                new SplittableRandom(options.seed * 7919 + node * 31L + ++starts),
                resource -> take(node, self, resource));
        self[0] = client;
        nodes.put(node, client);
        client.start();
    }

    private Optional<String> take(int node, ControlClient[] client, Resource resource) {
        if (nodes.get(node) != client[0]) {
            return Optional.of("ended");
        }
        String content = new String(resource.content(), StandardCharsets.UTF_8);
        int end = content.indexOf(' ', CHANGE.length());
        long change = Long.parseLong(content.substring(CHANGE.length(), end));
        applied.add(new Applied(node, resource.name(), change, monotonicMs()));
        return Optional.empty();
    }

    private void restart(List<Integer> which, double withinMs) {
        for (int node : which) {
            loop.schedule(
                    () -> {
                        ControlClient before = nodes.get(node);
                        if (before != null) {
                            ControlClient.Status last = before.status();
                            bytesOfEnded += last.bytesIn() + last.bytesOut();
                            connectionsOfEnded += last.connections();
                            before.close();
                        }
                        say(Json.object()
                                .add("what", "restarted")
                                .add("node", node)
                                .add("at", monotonicMs()));
                        start(node);
                    },
                    (long) (random.nextDouble() * withinMs * 1000),
                    TimeUnit.MICROSECONDS);
        }
    }

    private void status() {
        int connected = 0;
        int complete = 0;
        int resources = 1 + Math.min(options.calls, options.services);
        long bytes = bytesOfEnded;
        long mostBytes = 0;
        long connections = connectionsOfEnded;
        long rejected = 0;
        long accepted = 0;
        for (ControlClient node : nodes.values()) {
            ControlClient.Status status = node.status();
            connected += status.machine().isEmpty() ? 0 : 1;
            complete += status.accepted() >= resources ? 1 : 0;
            bytes += status.bytesIn() + status.bytesOut();
            mostBytes = Math.max(mostBytes, status.bytesIn() + status.bytesOut());
            connections += status.connections();
            rejected += status.rejected();
            accepted += status.accepted();
        }
        JsonObject byMachine = new JsonObject();
        TreeMap<String, Integer> counts = new TreeMap<>();
        nodes.values().forEach(node -> counts.merge(node.status().machine(), 1, Integer::sum));
        counts.forEach(byMachine::add);
        say(Json.object()
                .add("what", "status")
                .add("process", "nodes-" + options.first)
                .add("nodes", nodes.size())
                .add("connected", connected)
                .add("complete", complete)
                .add("bytes", bytes)
                .add("most_bytes", mostBytes)
                .add("connections", connections)
                .add("rejected", rejected)
                .add("accepted", accepted)
                .add("machines", byMachine)
                .add("at", monotonicMs()));
    }

    private void dump() {
        for (Applied one : applied) {
            System.out.println("applied " + one.node() + " " + one.resource() + " " + one.change() + " " + one.atMs());
        }
        applied = new ArrayList<>();
        say(Json.object().add("what", "dumped"));
    }
}

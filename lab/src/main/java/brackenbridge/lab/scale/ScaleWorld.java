package brackenbridge.lab.scale;

import brackenbridge.clock.Clock;
import brackenbridge.lab.fleet.LinkFault;
import brackenbridge.lab.fleet.Relay;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** The processes of a scale test with a relay on every link between them. */
final class ScaleWorld implements AutoCloseable {
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 10_000;
    private static final int PORT_TRIES = 300;
    /** Nobody listens there: members are reached by the addresses of the relays alone. */
    private static final String NOWHERE = "127.0.0.1:1";

    private static final int VOTERS = 5;
    private static final String FLEET = "scale";
    private static final List<String> MACHINE_FLAGS = List.of("-Xmx256m", "-XX:+UseSerialGC", "-Xshare:auto");
    private static final List<String> NODE_FLAGS = List.of("-Xmx128m", "-XX:+UseSerialGC", "-Xshare:auto");

    /** A control machine. */
    static final class Machine {
        private final String name;
        private final String region;
        private final String peerAddress;
        private final String nodeAddress;
        private final String page;
        private ChildProcess process;

        Machine(String name, String region, String peerAddress, String nodeAddress, String page) {
            this.name = name;
            this.region = region;
            this.peerAddress = peerAddress;
            this.nodeAddress = nodeAddress;
            this.page = page;
        }

        String name() {
            return name;
        }

        String region() {
            return region;
        }

        String page() {
            return page;
        }

        ChildProcess process() {
            return process;
        }
    }

    /** A process with hollow nodes of one region. */
    record Hollow(String region, int first, int count, ChildProcess process) {}

    /** A relay from one region, or one region's machine, to a machine. */
    private record Link(String fromRegion, String toRegion, boolean ofNodes, Relay relay) {}

    private final ScalePlan plan;
    private final long seed;
    private final Path folder;
    private final Consumer<String> lines;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Clock clock = Clock.system();
    private final SplittableRandom ports = new SplittableRandom();
    private final Set<Integer> taken = new HashSet<>();
    private final List<Machine> machines = new ArrayList<>();
    private final List<Hollow> hollows = new ArrayList<>();
    private final List<Link> links = new ArrayList<>();

    /** Makes files and relays; no process is started. {@code lines} hears what hollow nodes say. */
    ScaleWorld(ScalePlan plan, long seed, Path folder, Consumer<String> lines) throws IOException {
        this.plan = plan;
        this.seed = seed;
        this.folder = folder;
        this.lines = lines;
        Files.createDirectories(folder);
        makeMachines();
        for (Machine machine : machines) {
            Path file = folder.resolve(machine.name + ".toml");
            Files.writeString(file, fleetFile(machine));
            machine.process = new ChildProcess(
                    machine.name,
                    ChildProcess.java(
                            MACHINE_FLAGS,
                            "brackenbridge.cli.Main",
                            List.of("control", "--fleet", file.toString(), "--name", machine.name)),
                    folder.resolve(machine.name + ".log"),
                    line -> {});
        }
        int first = 0;
        int[] counts = plan.nodesByRegion();
        for (int i = 0; i < counts.length; i++) {
            for (int done = 0; done < counts[i]; done += plan.nodesPerProcess()) {
                int count = Math.min(plan.nodesPerProcess(), counts[i] - done);
                makeHollow(plan.regions().get(i).name(), first, count);
                first += count;
            }
        }
        // One node alone in its process: what it costs with nobody to share with.
        makeHollow(plan.regions().get(0).name(), first, 1);
    }

    /** The machines in the order of the file: one of each region first, so that voters stand in different regions. */
    private void makeMachines() throws IOException {
        int most = plan.regions().stream()
                .mapToInt(ScalePlan.Region::machines)
                .max()
                .orElse(0);
        for (int turn = 0; turn < most; turn++) {
            for (ScalePlan.Region region : plan.regions()) {
                if (turn < region.machines()) {
                    machines.add(new Machine(
                            "m" + (machines.size() + 1), region.name(), freeAddress(), freeAddress(), freeAddress()));
                }
            }
        }
    }

    /** Outside the ports that the kernel gives to connections, so that a machine finds its own free after a restart. */
    private String freeAddress() throws IOException {
        for (int i = 0; i < PORT_TRIES; i++) {
            int port = FIRST_PORT + ports.nextInt(PORTS);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (taken.add(port)) {
                    return "127.0.0.1:" + socket.getLocalPort();
                }
            } catch (BindException e) {
                // Taken by another process: the next one.
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " on");
    }

    private String relayed(String name, String fromRegion, Machine to, String address, boolean ofNodes) {
        EventLoop loop = group.next();
        int colon = address.lastIndexOf(':');
        Relay relay = new Relay(
                name,
                loop,
                clock,
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                seed * 31 + links.size());
        links.add(new Link(fromRegion, to.region, ofNodes, relay));
        return "127.0.0.1:" + relay.address().getPort();
    }

    private String fleetFile(Machine self) {
        StringBuilder text = new StringBuilder();
        text.append("fleet = \"")
                .append(FLEET)
                .append("\"\ndirectory = \"")
                .append(folder.resolve("disks").toAbsolutePath())
                .append("\"\n");
        for (Machine machine : machines) {
            boolean own = machine == self;
            text.append("[[member]]\nname = \"")
                    .append(machine.name)
                    .append("\"\naddress = \"")
                    .append(
                            own
                                    ? NOWHERE
                                    : relayed(
                                            self.name + ">" + machine.name,
                                            self.region,
                                            machine,
                                            machine.peerAddress,
                                            false))
                    .append("\"\nzone = \"")
                    .append(machine.region)
                    .append("\"\n");
            if (own) {
                text.append("listen = \"")
                        .append(machine.peerAddress)
                        .append("\"\npage = \"")
                        .append(machine.page)
                        .append("\"\n");
            }
        }
        int voters = Math.min(VOTERS, machines.size() % 2 == 0 ? machines.size() - 1 : machines.size());
        text.append("[agreed]\nvoters = ").append(voters).append("\n[control]\nnodes = [\"n*\"]\n");
        for (Machine machine : machines) {
            text.append("[[control.machine]]\nname = \"")
                    .append(machine.name)
                    .append("\"\nregion = \"")
                    .append(machine.region)
                    .append("\"\naddress = \"")
                    .append(machine.nodeAddress)
                    .append("\"\n");
        }
        return text.toString();
    }

    private void makeHollow(String region, int first, int count) {
        List<String> words = new ArrayList<>(List.of(
                "--fleet",
                FLEET,
                "--region",
                region,
                "--first",
                Integer.toString(first),
                "--count",
                Integer.toString(count),
                "--services",
                Integer.toString(plan.services()),
                "--calls",
                Integer.toString(plan.calls()),
                "--tiers",
                Integer.toString(plan.tiers()),
                "--seed",
                Long.toString(seed)));
        String name = "nodes-" + first;
        for (Machine machine : machines) {
            words.add("--machine");
            words.add(machine.name + "=" + machine.region + "@"
                    + relayed(name + ">" + machine.name, region, machine, machine.nodeAddress, true));
        }
        hollows.add(new Hollow(
                region,
                first,
                count,
                new ChildProcess(
                        name,
                        ChildProcess.java(NODE_FLAGS, HollowNodes.class.getName(), words),
                        folder.resolve(name + ".log"),
                        lines)));
    }

    List<Machine> machines() {
        return machines;
    }

    /** Processes with nodes; the last one has a single node. */
    List<Hollow> hollows() {
        return hollows;
    }

    /** Nothing comes through between this region and the others, or does again. */
    void cut(String region, boolean on) {
        strike(
                new LinkFault(LinkFault.Kind.BLACK_HOLE, 0, 0),
                on,
                link -> link.fromRegion().equals(region) != link.toRegion().equals(region));
    }

    /** Nothing that control machines send to this region's nodes comes through, or does again. */
    void deafen(String region, boolean on) {
        strike(
                new LinkFault(LinkFault.Kind.NO_WAY_BACK, 0, 0),
                on,
                link -> link.ofNodes() && link.fromRegion().equals(region));
    }

    private void strike(LinkFault fault, boolean on, java.util.function.Predicate<Link> which) {
        links.stream().filter(which).forEach(link -> {
            if (on) {
                link.relay().begin(fault);
            } else {
                link.relay().end(fault);
            }
        });
    }

    @Override
    public void close() {
        hollows.forEach(hollow -> hollow.process().close());
        machines.forEach(machine -> machine.process().close());
        links.forEach(link -> link.relay().close());
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }
}

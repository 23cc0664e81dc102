package brackenbridge.fleet.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.control.ControlMessage.NodeHeartbeat;
import brackenbridge.fleet.control.ControlMessage.Reject;
import brackenbridge.fleet.control.ControlMessage.ResumeVersion;
import brackenbridge.fleet.control.ControlMessage.Subscribe;
import brackenbridge.fleet.control.ControlMessage.Welcome;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Control machines and nodes over real sockets: a fault of one connection does not affect another. */
class ControlServerTest {
    private static final ControlLimits FAST =
            new ControlLimits(50, 150, 150, 5, 300, 300, 20, 200, 10, 300, 600, 1000, 100, 50, 20);
    private static final String SETTINGS = "settings/tier-1";

    /** A control machine whose lease is controlled by the test. */
    private static final class Machine implements AutoCloseable {
        private final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
        private final ControlServer server;
        private final String name;
        private final String region;
        private volatile boolean confirmed = true;

        Machine(String name, String region, ControlLimits limits) throws IOException {
            this.name = name;
            this.region = region;
            server = new ControlServer(
                    new ControlServer.Settings(
                            "fleet",
                            name,
                            new InetSocketAddress("127.0.0.1", 0),
                            new NodeNames(List.of("n*", "exact")),
                            limits),
                    Clock.system(),
                    () -> confirmed,
                    metrics);
            server.start();
        }

        ControlMachine address() {
            return new ControlMachine(
                    name, region, "127.0.0.1:" + server.address().getPort());
        }

        void publish(long version, String content) {
            server.publish(new Resource(SETTINGS, version, content.getBytes(StandardCharsets.UTF_8)));
        }

        double rejections(SubscriptionRejection rejection) {
            return metrics.get("control.refused")
                    .tag("reason", rejection.name().toLowerCase(Locale.ROOT))
                    .counter()
                    .count();
        }

        int nodes() {
            return server.report().regions().stream()
                    .mapToInt(MachineReport.RegionReport::nodes)
                    .sum();
        }

        @Override
        public void close() {
            server.close();
        }
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<AutoCloseable> opened = new ArrayList<>();
    private final Map<String, Long> appliedVersions = new ConcurrentHashMap<>();

    private Machine startMachine(String name, String region, ControlLimits limits) throws IOException {
        Machine machine = new Machine(name, region, limits);
        opened.add(machine);
        return machine;
    }

    private ControlClient startNode(String name, String region, ControlLimits limits, Machine... machines) {
        return startNode(name, region, limits, NioSocketChannel::new, machines);
    }

    private ControlClient startNode(
            String name,
            String region,
            ControlLimits limits,
            ChannelFactory<? extends Channel> sockets,
            Machine... machines) {
        List<ControlMachine> addresses =
                java.util.Arrays.stream(machines).map(Machine::address).toList();
        ControlClient client = new ControlClient(
                new ControlClient.Settings("fleet", name, region, addresses, List.of(SETTINGS), limits),
                group.next(),
                Clock.system(),
                new SplittableRandom(name.hashCode()),
                resource -> {
                    if (new String(resource.content(), StandardCharsets.UTF_8).startsWith("bad")) {
                        return Optional.of("it is bad");
                    }
                    appliedVersions.merge(name, resource.version(), Math::max);
                    return Optional.empty();
                },
                sockets);
        opened.add(client);
        client.start();
        return client;
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable closeable : opened) {
            closeable.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2000);
    }

    @Test
    void nodeConnectsOnceItCanOpenASocket() throws Exception {
        Machine machine = startMachine("c1", "here", FAST);
        machine.publish(1, "good");
        AtomicInteger attempts = new AtomicInteger();
        startNode(
                "n1",
                "here",
                FAST,
                () -> {
                    if (attempts.incrementAndGet() <= 3) {
                        throw new ChannelException(
                                "Failed to open a socket.", new SocketException("Too many open files"));
                    }
                    return new NioSocketChannel();
                },
                machine);
        await(() -> appliedVersions.getOrDefault("n1", 0L) == 1);
        assertEquals(4, attempts.get());
    }

    @Test
    void nodeRetriesAfterAFailedConnect() throws Exception {
        Machine machine = startMachine("c1", "here", FAST);
        machine.publish(1, "good");
        AtomicInteger attempts = new AtomicInteger();
        startNode(
                "n1",
                "here",
                FAST,
                () -> new NioSocketChannel() {
                    @Override
                    protected boolean doConnect(SocketAddress to, SocketAddress from) throws Exception {
                        if (attempts.incrementAndGet() <= 3) {
                            throw new java.net.BindException("Cannot assign requested address");
                        }
                        return super.doConnect(to, from);
                    }
                },
                machine);
        await(() -> appliedVersions.getOrDefault("n1", 0L) == 1);
        assertEquals(4, attempts.get());
    }

    private static void await(java.util.concurrent.Callable<Boolean> condition) {
        Awaitility.await()
                .atMost(Duration.ofSeconds(20))
                .pollInterval(Duration.ofMillis(5))
                .until(condition);
    }

    @Test
    void nodeReceivesTheValueInForceAndEachChange() throws IOException {
        Machine machine = startMachine("c1", "north", FAST);
        machine.publish(3, "first");
        ControlClient node = startNode("n1", "north", FAST, machine);
        await(() -> appliedVersions.getOrDefault("n1", 0L) == 3);
        machine.publish(4, "second");
        await(() -> appliedVersions.get("n1") == 4);
        machine.publish(2, "late");
        await(() -> machine.server.report().regions().stream().anyMatch(region -> region.current() == 1));
        assertEquals(4, appliedVersions.get("n1"));
        assertEquals(1, node.status().connections());
    }

    @Test
    void rejectedVersionIsReportedAndTheNextOneIsApplied() throws IOException {
        Machine machine = startMachine("c1", "north", FAST);
        machine.publish(1, "good");
        ControlClient node = startNode("n1", "north", FAST, machine);
        await(() -> appliedVersions.getOrDefault("n1", 0L) == 1);
        machine.publish(2, "bad settings");
        await(() -> FleetStatus.format(List.of(new ReportExchange.AgedReport(machine.server.report(), 0)))
                .contains("n1: " + SETTINGS + " at version 1, newest 2, refused: it is bad"));
        assertEquals(1, appliedVersions.get("n1"));
        assertEquals(1, node.status().rejected());
        machine.publish(3, "good again");
        await(() -> appliedVersions.get("n1") == 3);
        await(() -> machine.server.report().regions().stream().allMatch(region -> region.current() == 1));
    }

    @Test
    void nodesOfAStoppedMachineMoveToAnotherWithoutMissingAChange() throws IOException {
        Machine home = startMachine("c1", "north", FAST);
        Machine away = startMachine("c2", "south", FAST);
        ControlClient node = startNode("n1", "north", FAST, home, away);
        home.publish(1, "one");
        away.publish(1, "one");
        await(() -> node.status().machine().equals("c1") && appliedVersions.getOrDefault("n1", 0L) == 1);
        home.close();
        away.publish(2, "two");
        await(() -> appliedVersions.get("n1") == 2);
        assertEquals("c2", node.status().machine());
    }

    @Test
    void nodeLeavesAMachineWithoutALease() throws IOException {
        Machine home = startMachine("c1", "north", FAST);
        Machine away = startMachine("c2", "south", FAST);
        ControlClient node = startNode("n1", "north", FAST, home, away);
        away.publish(2, "newer");
        await(() -> node.status().machine().equals("c1"));
        home.confirmed = false;
        await(() -> appliedVersions.getOrDefault("n1", 0L) == 2);
        home.confirmed = true;
        await(() -> node.status().machine().equals("c1"));
        assertEquals(2, appliedVersions.get("n1"), "a machine that lags behind does not revert a version");
    }

    @Test
    void slowReaderIsDisconnectedAndResumes() throws IOException {
        Machine machine = startMachine("c1", "north", FAST);
        ControlClient slowReader = startNode("n1", "north", FAST, machine);
        startNode("n2", "north", FAST, machine);
        machine.publish(1, "one");
        await(() -> appliedVersions.size() == 2);
        slowReader.setReadingPaused(true);
        await(() -> machine.rejections(SubscriptionRejection.SLOW_READER) >= 1);
        machine.publish(2, "two");
        await(() -> appliedVersions.get("n2") == 2);
        assertEquals(1, appliedVersions.get("n1"));
        slowReader.setReadingPaused(false);
        await(() -> appliedVersions.get("n1") == 2);
    }

    @Test
    void nodesAboveTheAdmissionRateAreServedAfterRetryAfter() throws IOException {
        ControlLimits lowAdmissionRate =
                new ControlLimits(50, 150, 150, 5, 300, 300, 20, 200, 10, 300, 600, 40, 2, 50, 20);
        Machine machine = startMachine("c1", "north", lowAdmissionRate);
        for (int i = 0; i < 12; i++) {
            startNode("n" + i, "north", lowAdmissionRate, machine);
        }
        await(() -> machine.nodes() == 12);
        assertTrue(machine.rejections(SubscriptionRejection.BUSY) >= 1);
    }

    @Test
    void fullMachineMakesNodesTryTheNext() throws IOException {
        ControlLimits twoSubscribers =
                new ControlLimits(50, 150, 150, 5, 300, 300, 20, 200, 10, 60_000, 60_000, 1000, 100, 2, 20);
        Machine home = startMachine("c1", "north", twoSubscribers);
        Machine away = startMachine("c2", "south", FAST);
        for (int i = 0; i < 5; i++) {
            startNode("n" + i, "north", twoSubscribers, home, away);
        }
        await(() -> home.nodes() == 2 && away.nodes() == 3);
        assertTrue(home.rejections(SubscriptionRejection.FULL) >= 3);
    }

    /** A connection on which the test sends and receives frames itself. */
    private static final class RawConnection implements AutoCloseable {
        private final Socket socket;
        private final DataInputStream in;

        RawConnection(Machine machine) throws IOException {
            socket = new Socket("127.0.0.1", machine.server.address().getPort());
            socket.setSoTimeout(10_000);
            in = new DataInputStream(socket.getInputStream());
        }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        void send(ControlMessage message) throws IOException {
            send(ControlFrames.encode(message));
        }

        ControlMessage read() throws IOException {
            byte[] body = new byte[in.readInt()];
            in.readFully(body);
            return ControlCodec.decode(body);
        }

        /** Waits for a rejection, which must be the last message, and returns its reason. */
        SubscriptionRejection awaitRejection() throws IOException {
            ControlMessage message = read();
            while (!(message instanceof Reject)) {
                message = read();
            }
            try {
                in.readInt();
                throw new AssertionError("the connection continues after a rejection");
            } catch (EOFException e) {
                return ((Reject) message).rejection();
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static Subscribe subscribe(String fleet, String node, int resources) {
        List<ResumeVersion> versions = new ArrayList<>();
        for (int i = 0; i < resources; i++) {
            versions.add(new ResumeVersion("r" + i, 0, 0));
        }
        return new Subscribe(fleet, node, "north", 1, versions);
    }

    private void assertRejected(Machine machine, byte[] bytes, SubscriptionRejection expected) throws IOException {
        double before = machine.rejections(expected);
        try (RawConnection connection = new RawConnection(machine)) {
            connection.send(bytes);
            assertEquals(expected, connection.awaitRejection());
        }
        assertEquals(before + 1, machine.rejections(expected), expected + " is counted once");
    }

    @Test
    void malformedInputIsRejectedWithoutAffectingOtherNodes() throws IOException {
        Machine machine = startMachine("c1", "north", FAST);
        ControlClient bystander = startNode("n1", "north", FAST, machine);
        await(() -> bystander.status().machine().equals("c1"));
        byte[] validFrame = ControlFrames.encode(subscribe("fleet", "n9", 1));
        byte[] otherVersion = validFrame.clone();
        otherVersion[ControlFrames.LENGTH_BYTES] = 9;
        assertRejected(machine, otherVersion, SubscriptionRejection.UNKNOWN_PROTOCOL_VERSION);
        assertRejected(machine, new byte[] {0x7f, 0, 0, 0, 1}, SubscriptionRejection.FRAME_TOO_LONG);
        assertRejected(machine, new byte[] {-1, -1, -1, -1, 1}, SubscriptionRejection.FRAME_TOO_LONG);
        assertRejected(machine, new byte[] {0, 0, 0, 3, 1, 0, 0}, SubscriptionRejection.UNREADABLE);
        assertRejected(
                machine,
                "GET / HTTP/1.1\r\nHost: c1\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
                SubscriptionRejection.FRAME_TOO_LONG);
        assertRejected(machine, ControlFrames.encode(new NodeHeartbeat(1)), SubscriptionRejection.UNREADABLE);
        assertRejected(machine, ControlFrames.encode(subscribe("other", "n9", 1)), SubscriptionRejection.OTHER_FLEET);
        assertRejected(
                machine, ControlFrames.encode(subscribe("fleet", "stranger", 1)), SubscriptionRejection.UNKNOWN_NODE);
        assertRejected(
                machine,
                ControlFrames.encode(subscribe("fleet", "n9", ControlMessage.MAX_RESOURCES + 1)),
                SubscriptionRejection.TOO_MANY_RESOURCES);
        assertRejected(machine, new byte[0], SubscriptionRejection.NO_SUBSCRIPTION);
        assertRejected(
                machine,
                java.util.Arrays.copyOf(validFrame, validFrame.length / 2),
                SubscriptionRejection.NO_SUBSCRIPTION);
        try (RawConnection silent = new RawConnection(machine)) {
            silent.send(validFrame);
            assertTrue(silent.read() instanceof Welcome);
            assertEquals(SubscriptionRejection.SILENT, silent.awaitRejection());
        }
        machine.publish(5, "after malformed input");
        await(() -> appliedVersions.getOrDefault("n1", 0L) == 5);
        assertEquals(1, bystander.status().connections(), "the bystander keeps its first connection");
    }

    @Test
    void laterConnectionOfANodeReplacesTheEarlierAndNotViceVersa() throws IOException {
        Machine machine = startMachine("c1", "north", FAST);
        try (RawConnection first = new RawConnection(machine);
                RawConnection second = new RawConnection(machine);
                RawConnection late = new RawConnection(machine)) {
            first.send(new Subscribe("fleet", "exact", "north", 5, List.of()));
            assertTrue(first.read() instanceof Welcome);
            second.send(new Subscribe("fleet", "exact", "north", 6, List.of()));
            assertTrue(second.read() instanceof Welcome);
            assertEquals(SubscriptionRejection.REPLACED, first.awaitRejection());
            late.send(new Subscribe("fleet", "exact", "north", 4, List.of()));
            assertEquals(SubscriptionRejection.REPLACED, late.awaitRejection());
        }
    }

    @Test
    void connectionsWithoutASubscriptionAreBounded() throws IOException {
        Machine machine = startMachine("c1", "north", FAST);
        List<RawConnection> idle = new ArrayList<>();
        try {
            for (int i = 0; i < FAST.maxUnsubscribedConnections() + 5; i++) {
                idle.add(new RawConnection(machine));
            }
            await(() -> machine.rejections(SubscriptionRejection.BUSY) >= 5);
        } finally {
            for (RawConnection connection : idle) {
                connection.close();
            }
        }
        ControlClient node = startNode("n1", "north", FAST, machine);
        await(() -> node.status().machine().equals("c1"));
    }

    /** A machine or a node that is short of CPU time is late with its first message, not misconfigured. */
    @Test
    void rejectionsCausedByDelayAreTransient() {
        for (SubscriptionRejection rejection : List.of(
                SubscriptionRejection.NO_SUBSCRIPTION,
                SubscriptionRejection.SILENT,
                SubscriptionRejection.SLOW_READER,
                SubscriptionRejection.BUSY)) {
            assertTrue(rejection.isTransient(), rejection + " would keep a node away for 30 to 90 s");
        }
        for (SubscriptionRejection rejection : List.of(
                SubscriptionRejection.OTHER_FLEET,
                SubscriptionRejection.UNKNOWN_NODE,
                SubscriptionRejection.TOO_MANY_RESOURCES)) {
            assertTrue(!rejection.isTransient(), rejection + " needs another configuration");
        }
    }
}

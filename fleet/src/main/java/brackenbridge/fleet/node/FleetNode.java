package brackenbridge.fleet.node;

import brackenbridge.clock.Clock;
import brackenbridge.core.generation.LeaseTerms;
import brackenbridge.fleet.agreed.AgreedSettings;
import brackenbridge.fleet.agreed.AgreedValues;
import brackenbridge.fleet.agreed.AgreementMember;
import brackenbridge.fleet.agreed.SettingsAdminHandler;
import brackenbridge.fleet.config.FleetFile;
import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.PeerLimits;
import brackenbridge.fleet.peer.TcpPeerLinks;
import brackenbridge.fleet.replica.ReplicaDisk;
import brackenbridge.fleet.replica.ReplicaNode;
import brackenbridge.fleet.replica.ReplicationLimits;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A member of a fleet: its links to peers, its replica, its part in the agreement protocol and its admin server. */
public final class FleetNode implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FleetNode.class);
    private static final double AGREEMENT_HEARTBEAT_MS = 150;
    private static final int LEADER_TIMEOUT_HEARTBEATS = 5;
    private static final double MAX_ROLE_LEASE_MS = 60_000;
    /** How long an operator's command waits for a majority. */
    private static final double MAJORITY_TIMEOUT_MS = 10_000;

    /** Counters of the links that do not exist before their first event. */
    private static final List<String> LINK_COUNTS = List.of(
            "bytes_in",
            "bytes_out",
            "frames_in",
            "frames_out",
            "links_made",
            "links_lost",
            "dials_failed",
            "unsent_no_link",
            "unsent_queue_full",
            "beats_unsent",
            "frames_unreadable");

    private final FleetFile file;
    private final Member self;
    private final ReplicaDisk disk;
    private final TcpPeerLinks links;
    private final ReplicaNode replica;
    private final AgreementMember agreement;
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, AdminHttpServer.CommandHandler> commandHandlers = new LinkedHashMap<>();
    private AdminHttpServer adminServer;
    private Supplier<String> nodeStatusSupplier = () -> "";

    /**
     * Creates a member, which reads its data from disk and is not started yet.
     *
     * @throws IllegalArgumentException if the fleet file does not contain a member with this name
     * @throws IOException if the data on disk can't be used, for example because it belongs to another member
     */
    public FleetNode(FleetFile file, String name, Clock clock) throws IOException {
        this.file = file;
        self = file.member(name);
        if (self == null) {
            throw new IllegalArgumentException("the fleet file contains no member named '" + name + "'");
        }
        Path directory = file.directory() == null ? null : file.directory().resolve(name);
        disk = directory == null ? null : ReplicaDisk.open(directory, file.fleet(), name, clock.nowMs());
        long incarnation = disk == null ? ReplicaDisk.incarnationWithoutDisk(clock.nowMs()) : disk.incarnation();
        PeerLimits defaults = PeerLimits.defaults();
        FleetFile.Links linkSettings = file.links();
        List<Member> peers =
                file.members().stream().filter(m -> !m.name().equals(name)).toList();
        String listenAddress = file.listenAddresses().getOrDefault(name, self.address());
        links = new TcpPeerLinks(
                self,
                listenAddress,
                incarnation,
                file.fleet(),
                peers,
                clock,
                new PeerLimits(
                        linkSettings.maxFrameBytes(),
                        linkSettings.maxQueueBytes(),
                        defaults.maxQueueMessages(),
                        linkSettings.heartbeatMs(),
                        linkSettings.suspectAfterMs(),
                        linkSettings.deadAfterMs(),
                        defaults.handshakeTimeoutMs(),
                        defaults.dialBackoffMinMs(),
                        defaults.dialBackoffMaxMs(),
                        defaults.maxPendingHandshakes(),
                        defaults.probeHelpers()));
        replica = new ReplicaNode(
                links,
                disk,
                clock,
                ReplicationLimits.DEFAULT.withBytesPerSecond(file.replication().bytesPerSecond()));
        FleetFile.Agreement agreementSettings = file.agreement();
        agreement = new AgreementMember(
                links,
                directory,
                clock,
                new AgreedSettings(
                        file.fleet(),
                        file.members().stream()
                                .map(Member::name)
                                .limit(agreementSettings.voters())
                                .toList(),
                        new LeaseTerms(agreementSettings.leaseMs(), agreementSettings.maxClockDrift()),
                        AGREEMENT_HEARTBEAT_MS,
                        LEADER_TIMEOUT_HEARTBEATS,
                        MAX_ROLE_LEASE_MS,
                        incarnation));
        Set<String> linkMetrics = new TreeSet<>(links.metrics().keySet());
        linkMetrics.addAll(LINK_COUNTS);
        linkMetrics.forEach(k -> Gauge.builder(
                        "fleet.links." + k, () -> links.metrics().getOrDefault(k, 0.0))
                .register(metrics));
        Gauge.builder("fleet.replica.behind", () -> replica.syncState().missingWrites())
                .register(metrics);
        Gauge.builder("fleet.replica.differing", () -> replica.syncState().differingLogs())
                .register(metrics);
        Gauge.builder("fleet.replica.level", () -> replica.syncState().caughtUp() ? 1 : 0)
                .register(metrics);
        Gauge.builder("fleet.replica.on.disk", () -> replica.statistics().diskHealthy() ? 1 : 0)
                .description("1 while the disk takes what the replica writes; 0 without a disk")
                .register(metrics);
        agreement.registerMetrics(metrics);
        commandHandlers.put("state", new StateAdminHandler(replica));
        SettingsAdminHandler settingsHandler = new SettingsAdminHandler(agreement, MAJORITY_TIMEOUT_MS);
        commandHandlers.put("settings", (words, body, json) -> {
            SettingsAdminHandler.Reply reply =
                    runSettingsCommand(settingsHandler, words, new String(body, StandardCharsets.UTF_8));
            return new AdminHttpServer.Reply(
                    reply.succeeded(),
                    words.equals(List.of("status")) ? reply.text() + nodeStatusSupplier.get() : reply.text());
        });
    }

    private static SettingsAdminHandler.Reply runSettingsCommand(
            SettingsAdminHandler handler, List<String> words, String file) {
        String name = words.size() > 1 && !words.get(0).equals("withdraw") ? words.get(1) : AgreedValues.SETTINGS;
        return switch (words.get(0)) {
            case "propose" -> handler.propose(name, file, -1);
            case "show" -> handler.show(name);
            case "history" -> handler.history(name);
            case "withdraw" -> handler.withdraw(AgreedValues.SETTINGS, parseGeneration(words));
            case "status" -> handler.status();
            default ->
                throw new IllegalArgumentException(
                        "settings propose --file FILE | show | history | withdraw GENERATION | status");
        };
    }

    private static long parseGeneration(List<String> words) {
        try {
            return Long.parseLong(words.size() > 1 ? words.get(1) : "");
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "settings withdraw GENERATION: the generation whose content is to be restored", e);
        }
    }

    /** Returns the fleet file. */
    public FleetFile file() {
        return file;
    }

    /** Returns this member's entry of the fleet file. */
    public Member self() {
        return self;
    }

    /** Returns the links to the peers. */
    public TcpPeerLinks links() {
        return links;
    }

    /** Returns the replica of the fleet's records. */
    public ReplicaNode replica() {
        return replica;
    }

    /** Returns this member's part in the agreement protocol. */
    public AgreementMember agreement() {
        return agreement;
    }

    /** Returns the metrics of this member. */
    public PrometheusMeterRegistry metrics() {
        return metrics;
    }

    /** Sets what {@code settings status} reports about nodes; to be called before {@link #start}. */
    public void setNodeStatusSupplier(Supplier<String> supplier) {
        nodeStatusSupplier = supplier;
    }

    /** Adds a command that operators may call; to be called before {@link #start}. */
    public void addCommandHandler(String name, AdminHttpServer.CommandHandler handler) {
        commandHandlers.put(name, handler);
    }

    /** Starts the member; fails if an address can't be bound. */
    public void start() throws IOException {
        replica.start();
        agreement.start();
        links.start();
        String address = file.adminAddresses().get(self.name());
        if (address != null) {
            int colon = address.lastIndexOf(':');
            adminServer = new AdminHttpServer(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    metrics,
                    commandHandlers);
        }
        LOG.info(
                "member {} of fleet {} started: incarnation {}, {} peers, {} disk",
                self.name(),
                file.fleet(),
                links.incarnation(),
                links.peers().size(),
                disk == null ? "no" : "with a");
    }

    /** Returns the address of the admin server; null if there is none. */
    public InetSocketAddress adminAddress() {
        return adminServer == null ? null : adminServer.address();
    }

    @Override
    public void close() {
        if (adminServer != null) {
            adminServer.close();
        }
        agreement.close();
        links.close();
        replica.close();
    }
}

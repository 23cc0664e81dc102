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

/** A member of the fleet in a process: its links, its copy of the records, its part of the agreement, and its page. */
public final class FleetNode implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FleetNode.class);
    private static final double AGREED_BEAT_MS = 150;
    private static final int AGREED_PATIENCE = 5;
    private static final double LONGEST_ROLE_MS = 60_000;
    /** How long staff wait for a majority. */
    private static final double PATIENCE_MS = 10_000;

    /** Counts of the links that come into being only with their first event. */
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
    private final Member me;
    private final ReplicaDisk disk;
    private final TcpPeerLinks links;
    private final ReplicaNode replica;
    private final AgreementMember agreed;
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, AdminHttpServer.Calls> rooms = new LinkedHashMap<>();
    private AdminHttpServer page;
    private Supplier<String> statusOfNodes = () -> "";

    /**
     * A member that is not started; its disk is read.
     *
     * @throws IllegalArgumentException if the file does not name it
     * @throws IOException if its disk can't be used: it is another fleet's or another member's
     */
    public FleetNode(FleetFile file, String name, Clock clock) throws IOException {
        this.file = file;
        me = file.member(name);
        if (me == null) {
            throw new IllegalArgumentException("the fleet's file names no member '" + name + "'");
        }
        Path directory = file.directory() == null ? null : file.directory().resolve(name);
        disk = directory == null ? null : ReplicaDisk.open(directory, file.fleet(), name, clock.nowMs());
        long life = disk == null ? ReplicaDisk.incarnationWithoutDisk(clock.nowMs()) : disk.incarnation();
        PeerLimits usual = PeerLimits.defaults();
        FleetFile.Links l = file.links();
        List<Member> peers =
                file.members().stream().filter(m -> !m.name().equals(name)).toList();
        String listenAddress = file.listen().getOrDefault(name, me.address());
        links = new TcpPeerLinks(
                me,
                listenAddress,
                life,
                file.fleet(),
                peers,
                clock,
                new PeerLimits(
                        l.frameBytes(),
                        l.queueBytes(),
                        usual.maxQueueMessages(),
                        l.beatMs(),
                        l.suspectMs(),
                        l.goneMs(),
                        usual.handshakeTimeoutMs(),
                        usual.dialBackoffMinMs(),
                        usual.dialBackoffMaxMs(),
                        usual.maxPendingHandshakes(),
                        usual.probeHelpers()));
        replica = new ReplicaNode(
                links,
                disk,
                clock,
                ReplicationLimits.DEFAULT.withBytesPerSecond(file.replica().bytesPerSecond()));
        FleetFile.Agreement a = file.agreed();
        agreed = new AgreementMember(
                links,
                directory,
                clock,
                new AgreedSettings(
                        file.fleet(),
                        file.members().stream()
                                .map(Member::name)
                                .limit(a.voters())
                                .toList(),
                        new LeaseTerms(a.leaseMs(), a.drift()),
                        AGREED_BEAT_MS,
                        AGREED_PATIENCE,
                        LONGEST_ROLE_MS,
                        life));
        Set<String> shown = new TreeSet<>(links.metrics().keySet());
        shown.addAll(LINK_COUNTS);
        shown.forEach(k -> Gauge.builder(
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
        agreed.registerMetrics(metrics);
        rooms.put("state", new StateAdminHandler(replica));
        SettingsAdminHandler settings = new SettingsAdminHandler(agreed, PATIENCE_MS);
        rooms.put("settings", (words, body, json) -> {
            SettingsAdminHandler.Reply r = settings(settings, words, new String(body, StandardCharsets.UTF_8));
            return new AdminHttpServer.Answer(
                    r.succeeded(), words.equals(List.of("status")) ? r.text() + statusOfNodes.get() : r.text());
        });
    }

    private static SettingsAdminHandler.Reply settings(SettingsAdminHandler calls, List<String> words, String file) {
        String name = words.size() > 1 && !words.get(0).equals("withdraw") ? words.get(1) : AgreedValues.SETTINGS;
        return switch (words.get(0)) {
            case "propose" -> calls.propose(name, file, -1);
            case "show" -> calls.show(name);
            case "history" -> calls.history(name);
            case "withdraw" -> calls.withdraw(AgreedValues.SETTINGS, generation(words));
            case "status" -> calls.status();
            default ->
                throw new IllegalArgumentException(
                        "settings propose --file FILE | show | history | withdraw GENERATION | status");
        };
    }

    private static long generation(List<String> words) {
        try {
            return Long.parseLong(words.size() > 1 ? words.get(1) : "");
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "settings withdraw GENERATION: the generation whose content is to hold " + "again", e);
        }
    }

    /** Its fleet's file. */
    public FleetFile file() {
        return file;
    }

    /** Itself, as the file has it. */
    public Member me() {
        return me;
    }

    /** Its links. */
    public TcpPeerLinks links() {
        return links;
    }

    /** Its copy of the records. */
    public ReplicaNode replica() {
        return replica;
    }

    /** Its part of the agreement. */
    public AgreementMember agreed() {
        return agreed;
    }

    /** Its figures. */
    public PrometheusMeterRegistry metrics() {
        return metrics;
    }

    /** What {@code settings status} says of nodes beside the agreement; before {@link #start}. */
    public void statusOfNodes(Supplier<String> status) {
        statusOfNodes = status;
    }

    /** A room of this member that staff may call; before {@link #start}. */
    public void room(String name, AdminHttpServer.Calls calls) {
        rooms.put(name, calls);
    }

    /** Begins; fails if an address is not to be had. */
    public void start() throws IOException {
        replica.start();
        agreed.start();
        links.start();
        String at = file.page().get(me.name());
        if (at != null) {
            int colon = at.lastIndexOf(':');
            page = new AdminHttpServer(
                    new InetSocketAddress(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1))),
                    metrics,
                    rooms);
        }
        LOG.info(
                "member {} of fleet {}, life {}, {} peers, {} disk",
                me.name(),
                file.fleet(),
                links.incarnation(),
                links.peers().size(),
                disk == null ? "no" : "with a");
    }

    /** Where its page is; null if it has none. */
    public InetSocketAddress page() {
        return page == null ? null : page.address();
    }

    @Override
    public void close() {
        if (page != null) {
            page.close();
        }
        agreed.close();
        links.close();
        replica.close();
    }
}

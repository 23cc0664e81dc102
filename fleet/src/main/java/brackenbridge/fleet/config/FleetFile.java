package brackenbridge.fleet.config;

import brackenbridge.fleet.control.ControlLimits;
import brackenbridge.fleet.control.ControlMachine;
import brackenbridge.fleet.peer.Member;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * The fleet file: the members of a fleet and the limits and timeouts that they share. All members read the same file;
 * {@code deploy/fleet.toml} is an example with each key.
 *
 * @param fleet the fleet's name; members of another fleet are rejected
 * @param directory the directory under which each member stores its data; null to store nothing on disk
 * @param members the members of the fleet
 * @param links limits and timeouts of the links between members
 * @param agreement settings of the agreement protocol
 * @param replication limits of replication
 * @param shares settings of tenants' shares; null if shares are disabled
 * @param evacuation settings of evacuation rehearsals
 * @param control settings of the distribution of values to nodes; null if there is none
 * @param adminAddresses the address of each member's admin server, by member name; absent for none
 * @param listenAddresses the address at which a member listens for its peers, by member name; absent where it is the
 *     member's own address
 */
public record FleetFile(
        String fleet,
        Path directory,
        List<Member> members,
        Links links,
        Agreement agreement,
        Replication replication,
        Shares shares,
        Evacuation evacuation,
        Control control,
        Map<String, String> adminAddresses,
        Map<String, String> listenAddresses) {

    /**
     * Limits and timeouts of the links between members.
     *
     * @param heartbeatMs the interval between heartbeats, in milliseconds
     * @param suspectAfterMs how long a member may be silent before it is suspected, in milliseconds
     * @param deadAfterMs how long a member may be silent before it is declared dead, in milliseconds
     * @param maxFrameBytes the maximum size of a message
     * @param maxQueueBytes the maximum size of the send queue of one stream to one peer
     */
    public record Links(
            double heartbeatMs, double suspectAfterMs, double deadAfterMs, int maxFrameBytes, long maxQueueBytes) {}

    /**
     * Settings of the agreement protocol.
     *
     * @param voters the number of voters, which are the first members of the file; odd
     * @param leaseMs how long a member may use an agreed value without renewal, in milliseconds
     * @param maxClockDrift the maximum relative difference between the rates of two clocks
     */
    public record Agreement(int voters, double leaseMs, double maxClockDrift) {}

    /**
     * Limits of replication.
     *
     * @param bytesPerSecond the bandwidth that a member may use to catch up and to compare replicas
     * @param logEntries how many writes of each owner are kept in its log, in addition to its records
     * @param compareIntervalMs how often replicas are compared while there are no writes, in milliseconds
     */
    public record Replication(long bytesPerSecond, int logEntries, double compareIntervalMs) {}

    /**
     * Settings of tenants' shares.
     *
     * @param connectionsPerServer how many connections one server of the target group can handle
     * @param leaseMs the duration of a node's lease of connections, in milliseconds
     * @param guaranteedFraction the fraction of all connections that nodes keep even when the fleet is unavailable
     * @param starvedAfterMs how long a tenant with demand may stay below its floor before it is reported as starved
     */
    public record Shares(
            double connectionsPerServer, double leaseMs, double guaranteedFraction, double starvedAfterMs) {}

    /**
     * Settings of evacuation rehearsals.
     *
     * @param rehearsalFraction the fraction of a zone's load that a rehearsal moves
     * @param rehearsalStepMs how long the load stays moved, in milliseconds
     * @param maxSlotUtilization the slot utilization at which a rehearsal halts
     * @param maxForecastError the maximum relative error of a forecast value
     */
    public record Evacuation(
            double rehearsalFraction, double rehearsalStepMs, double maxSlotUtilization, double maxForecastError) {}

    /**
     * Distribution of agreed values to nodes.
     *
     * @param machines the members that serve subscriptions
     * @param nodes the names of the nodes that may subscribe; a name that ends in {@code *} is a prefix
     * @param limits limits and timeouts of the distribution
     */
    public record Control(List<ControlMachine> machines, List<String> nodes, ControlLimits limits) {
        /** Copies the collections, so that later changes to the arguments have no effect. */
        public Control {
            machines = List.copyOf(machines);
            nodes = List.copyOf(nodes);
        }

        /** Returns the control machine with this name; null if there is none. */
        public ControlMachine machine(String name) {
            return machines.stream()
                    .filter(machine -> machine.name().equals(name))
                    .findFirst()
                    .orElse(null);
        }
    }

    private static final long MAX_FILE_BYTES = 1 << 20;
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern NODE_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}\\*?|\\*");
    private static final Pattern ADDRESS_PATTERN = Pattern.compile("[^\\s:]+:[0-9]{1,5}");
    private static final Pattern PRINTABLE_PATTERN = Pattern.compile("[^\\p{Cntrl}]+");

    /** Copies the collections, so that later changes to the arguments have no effect. */
    public FleetFile {
        members = List.copyOf(members);
        adminAddresses = Map.copyOf(adminAddresses);
        listenAddresses = Map.copyOf(listenAddresses);
    }

    /** Returns the member with this name; null if there is none. */
    public Member member(String name) {
        return members.stream().filter(m -> m.name().equals(name)).findFirst().orElse(null);
    }

    /** Reads and validates the file; the exception lists all faults. */
    public static FleetFile read(Path file) throws FleetFileException {
        try {
            if (Files.exists(file) && !Files.isRegularFile(file)) {
                throw new FleetFileException(List.of(file + ":1:1: not a file"));
            }
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new FleetFileException(List.of(file + ":1:1: over " + MAX_FILE_BYTES + " bytes"));
            }
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new FleetFileException(List.of(file + ":1:1: can't be read: " + e.getMessage()));
        }
    }

    /** Parses and validates the text of a file; each fault begins with {@code name}. */
    public static FleetFile parse(String name, String text) throws FleetFileException {
        TomlTableReader.FaultCollector faults = new TomlTableReader.FaultCollector(name);
        TomlParseResult toml;
        try {
            toml = Toml.parse(text);
        } catch (StackOverflowError e) {
            throw new FleetFileException(List.of(name + ":1:1: syntax: nested too deeply"));
        }
        toml.errors()
                .forEach(e -> faults.add(e.position(), "syntax", e.getMessage().replaceAll("\\s+", " ")));
        faults.throwIfAny();
        TomlTableReader root = new TomlTableReader("", toml, null, faults);
        String fleet = root.string("fleet", null, NAME_PATTERN);
        String directory = root.string("directory", "-", PRINTABLE_PATTERN);
        List<Member> members = new ArrayList<>();
        Map<String, String> adminAddresses = new TreeMap<>();
        Map<String, String> listenAddresses = new TreeMap<>();
        Set<String> names = new HashSet<>();
        Set<String> addresses = new HashSet<>();
        for (TomlTableReader entry : root.tables("member")) {
            Member member = new Member(
                    entry.string("name", null, NAME_PATTERN),
                    entry.string("address", null, ADDRESS_PATTERN),
                    entry.string("zone", "-", NAME_PATTERN));
            String adminAddress = entry.string("page", "-", ADDRESS_PATTERN);
            if (!adminAddress.equals("-")) {
                adminAddresses.put(member.name(), adminAddress);
            }
            String listenAddress = entry.string("listen", "-", ADDRESS_PATTERN);
            if (!listenAddress.equals("-")) {
                listenAddresses.put(member.name(), listenAddress);
            }
            entry.rejectUnknownKeys();
            if (!names.add(member.name())) {
                entry.addFault("name", "'" + member.name() + "' is another member's");
            }
            if (!addresses.add(member.address()) || adminAddresses.containsValue(member.address())) {
                entry.addFault("address", member.address() + " is used already");
            }
            members.add(member);
        }
        if (members.isEmpty()) {
            root.addFault("member", "a fleet needs members");
        }
        TomlTableReader linkTable = root.table("links");
        Links links = new Links(
                linkTable.durationMs("beat", 250, 10, 10_000),
                linkTable.durationMs("suspect", 1250, 20, 60_000),
                linkTable.durationMs("gone", 4000, 50, 600_000),
                (int) linkTable.size("frame", 1 << 20, 4096, 16 << 20),
                linkTable.size("queue", 4 << 20, 65_536, 256 << 20));
        if (links.suspectAfterMs() < 4 * links.heartbeatMs()) {
            linkTable.addFault("suspect", "is less than four beats: a few late heartbeats would cause a suspicion");
        }
        if (links.deadAfterMs() < 2 * links.suspectAfterMs()) {
            linkTable.addFault("gone", "is less than twice suspect: a suspected member could not refute in time");
        }
        if (links.maxQueueBytes() < links.maxFrameBytes()) {
            linkTable.addFault("queue", "is less than one frame");
        }
        linkTable.rejectUnknownKeys();
        TomlTableReader agreementTable = root.table("agreed");
        Agreement agreement = new Agreement(
                agreementTable.integer("voters", largestOddUpTo(Math.min(5, members.size())), 1, 7),
                agreementTable.durationMs("lease", 1600, 200, 60_000),
                agreementTable.number("drift", 0.01, 0, 0.2));
        if (agreement.voters() % 2 == 0) {
            agreementTable.addFault(
                    "voters", agreement.voters() + " is even: one voter fewer tolerates as many failures");
        }
        if (!members.isEmpty() && agreement.voters() > members.size()) {
            agreementTable.addFault("voters", "there are only " + members.size() + " members");
        }
        agreementTable.rejectUnknownKeys();
        TomlTableReader replicationTable = root.table("replica");
        Replication replication = new Replication(
                replicationTable.size("catch_up", 1 << 20, 4096, 1L << 30),
                replicationTable.integer("log", 4096, 16, 1_000_000),
                replicationTable.durationMs("compare", 1000, 50, 600_000));
        replicationTable.rejectUnknownKeys();
        TomlTableReader shareTable = root.table("shares");
        boolean sharesEnabled = shareTable.bool("on", false);
        Shares shares = new Shares(
                shareTable.number("connections_per_server", 4, 0.01, 1e6),
                shareTable.durationMs("lease", 2000, 200, 60_000),
                shareTable.number("guaranteed", 0.2, 0, 1),
                shareTable.durationMs("hungry", 5000, 100, 600_000));
        shareTable.rejectUnknownKeys();
        TomlTableReader evacuationTable = root.table("evacuation");
        Evacuation evacuation = new Evacuation(
                evacuationTable.number("part", 0.2, 0.01, 1),
                evacuationTable.durationMs("step", 5000, 500, 600_000),
                evacuationTable.number("bound", 0.85, 0.1, 1),
                evacuationTable.number("off", 0.25, 0.01, 1));
        evacuationTable.rejectUnknownKeys();
        Control control = root.has("control") ? control(root.table("control"), names) : null;
        root.rejectUnknownKeys();
        faults.throwIfAny();
        return new FleetFile(
                fleet,
                directory.equals("-") ? null : Path.of(directory),
                members,
                links,
                agreement,
                replication,
                sharesEnabled ? shares : null,
                evacuation,
                control,
                adminAddresses,
                listenAddresses);
    }

    private static Control control(TomlTableReader table, Set<String> members) {
        List<ControlMachine> machines = new ArrayList<>();
        Set<String> namesAndAddresses = new HashSet<>();
        for (TomlTableReader entry : table.tables("machine")) {
            ControlMachine machine = new ControlMachine(
                    entry.string("name", null, NAME_PATTERN),
                    entry.string("region", null, NAME_PATTERN),
                    entry.string("address", null, ADDRESS_PATTERN));
            entry.rejectUnknownKeys();
            if (!members.contains(machine.name())) {
                entry.addFault("name", "'" + machine.name() + "' is no member");
            }
            if (!namesAndAddresses.add(machine.name()) || !namesAndAddresses.add(machine.address())) {
                entry.addFault("name", "'" + machine.name() + "' or its address is used already");
            }
            machines.add(machine);
        }
        if (machines.isEmpty()) {
            table.addFault("machine", "nobody serves: name at least one member");
        }
        ControlLimits defaults = ControlLimits.DEFAULTS;
        List<String> nodes = table.strings("nodes", NODE_PATTERN);
        double heartbeat = table.durationMs("heartbeat", defaults.heartbeatMs(), 10, 60_000);
        double silence = table.durationMs("silence", defaults.silenceTimeoutMs(), 30, 600_000);
        double admissions = table.number("admissions", defaults.admissionsPerSecond(), 0.1, 1e6);
        int maxNodes = table.integer("max_nodes", defaults.maxSubscribers(), 1, 100_000);
        table.rejectUnknownKeys();
        try {
            return new Control(
                    machines,
                    nodes.isEmpty() ? List.of("*") : nodes,
                    new ControlLimits(
                            heartbeat,
                            silence,
                            silence,
                            defaults.coalesceMs(),
                            Math.max(silence, defaults.slowReaderTimeoutMs()),
                            defaults.connectTimeoutMs(),
                            defaults.retryBaseMs(),
                            defaults.retryMaxMs(),
                            defaults.startSpreadMs(),
                            defaults.returnHomeMinMs(),
                            defaults.returnHomeMaxMs(),
                            admissions,
                            defaults.admissionBurst(),
                            maxNodes,
                            defaults.maxUnsubscribedConnections()));
        } catch (IllegalArgumentException e) {
            table.addFault("silence", e.getMessage());
            return null;
        }
    }

    private static int largestOddUpTo(int n) {
        return n % 2 == 0 ? Math.max(1, n - 1) : n;
    }
}

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
        TomlTableReader t = new TomlTableReader("", toml, null, faults);
        String fleet = t.string("fleet", null, NAME_PATTERN);
        String directory = t.string("directory", "-", PRINTABLE_PATTERN);
        List<Member> members = new ArrayList<>();
        Map<String, String> page = new TreeMap<>();
        Map<String, String> listen = new TreeMap<>();
        Set<String> names = new HashSet<>();
        Set<String> addresses = new HashSet<>();
        for (TomlTableReader m : t.tables("member")) {
            Member member = new Member(
                    m.string("name", null, NAME_PATTERN),
                    m.string("address", null, ADDRESS_PATTERN),
                    m.string("zone", "-", NAME_PATTERN));
            String at = m.string("page", "-", ADDRESS_PATTERN);
            if (!at.equals("-")) {
                page.put(member.name(), at);
            }
            String listens = m.string("listen", "-", ADDRESS_PATTERN);
            if (!listens.equals("-")) {
                listen.put(member.name(), listens);
            }
            m.rejectUnknownKeys();
            if (!names.add(member.name())) {
                m.addFault("name", "'" + member.name() + "' is another member's");
            }
            if (!addresses.add(member.address()) || page.containsValue(member.address())) {
                m.addFault("address", member.address() + " is used already");
            }
            members.add(member);
        }
        if (members.isEmpty()) {
            t.addFault("member", "a fleet needs members");
        }
        TomlTableReader l = t.table("links");
        Links links = new Links(
                l.durationMs("beat", 250, 10, 10_000),
                l.durationMs("suspect", 1250, 20, 60_000),
                l.durationMs("gone", 4000, 50, 600_000),
                (int) l.size("frame", 1 << 20, 4096, 16 << 20),
                l.size("queue", 4 << 20, 65_536, 256 << 20));
        if (links.suspectAfterMs() < 4 * links.heartbeatMs()) {
            l.addFault("suspect", "is less than four beats: a few late heartbeats would cause a suspicion");
        }
        if (links.deadAfterMs() < 2 * links.suspectAfterMs()) {
            l.addFault("gone", "is less than twice suspect: a suspected member could not refute in time");
        }
        if (links.maxQueueBytes() < links.maxFrameBytes()) {
            l.addFault("queue", "is less than one frame");
        }
        l.rejectUnknownKeys();
        TomlTableReader a = t.table("agreed");
        Agreement agreed = new Agreement(
                a.integer("voters", largestOddUpTo(Math.min(5, members.size())), 1, 7),
                a.durationMs("lease", 1600, 200, 60_000),
                a.number("drift", 0.01, 0, 0.2));
        if (agreed.voters() % 2 == 0) {
            a.addFault("voters", agreed.voters() + " is even: one voter fewer tolerates as many failures");
        }
        if (!members.isEmpty() && agreed.voters() > members.size()) {
            a.addFault("voters", "there are only " + members.size() + " members");
        }
        a.rejectUnknownKeys();
        TomlTableReader r = t.table("replica");
        Replication replica = new Replication(
                r.size("catch_up", 1 << 20, 4096, 1L << 30),
                r.integer("log", 4096, 16, 1_000_000),
                r.durationMs("compare", 1000, 50, 600_000));
        r.rejectUnknownKeys();
        TomlTableReader s = t.table("shares");
        boolean shared = s.bool("on", false);
        Shares shares = new Shares(
                s.number("connections_per_server", 4, 0.01, 1e6),
                s.durationMs("lease", 2000, 200, 60_000),
                s.number("guaranteed", 0.2, 0, 1),
                s.durationMs("hungry", 5000, 100, 600_000));
        s.rejectUnknownKeys();
        TomlTableReader e = t.table("evacuation");
        Evacuation evacuation = new Evacuation(
                e.number("part", 0.2, 0.01, 1),
                e.durationMs("step", 5000, 500, 600_000),
                e.number("bound", 0.85, 0.1, 1),
                e.number("off", 0.25, 0.01, 1));
        e.rejectUnknownKeys();
        Control control = t.has("control") ? control(t.table("control"), names) : null;
        t.rejectUnknownKeys();
        faults.throwIfAny();
        return new FleetFile(
                fleet,
                directory.equals("-") ? null : Path.of(directory),
                members,
                links,
                agreed,
                replica,
                shared ? shares : null,
                evacuation,
                control,
                page,
                listen);
    }

    private static Control control(TomlTableReader table, Set<String> members) {
        List<ControlMachine> machines = new ArrayList<>();
        Set<String> known = new HashSet<>();
        for (TomlTableReader entry : table.tables("machine")) {
            ControlMachine machine = new ControlMachine(
                    entry.string("name", null, NAME_PATTERN),
                    entry.string("region", null, NAME_PATTERN),
                    entry.string("address", null, ADDRESS_PATTERN));
            entry.rejectUnknownKeys();
            if (!members.contains(machine.name())) {
                entry.addFault("name", "'" + machine.name() + "' is no member");
            }
            if (!known.add(machine.name()) || !known.add(machine.address())) {
                entry.addFault("name", "'" + machine.name() + "' or its address is used already");
            }
            machines.add(machine);
        }
        if (machines.isEmpty()) {
            table.addFault("machine", "nobody serves: name at least one member");
        }
        ControlLimits usual = ControlLimits.STANDARD;
        List<String> nodes = table.strings("nodes", NODE_PATTERN);
        double heartbeat = table.durationMs("heartbeat", usual.heartbeatMs(), 10, 60_000);
        double silence = table.durationMs("silence", usual.silenceMs(), 30, 600_000);
        double admissions = table.number("admissions", usual.admissionsPerSecond(), 0.1, 1e6);
        int maxNodes = table.integer("max_nodes", usual.maxSubscribers(), 1, 100_000);
        table.rejectUnknownKeys();
        try {
            return new Control(
                    machines,
                    nodes.isEmpty() ? List.of("*") : nodes,
                    new ControlLimits(
                            heartbeat,
                            silence,
                            silence,
                            usual.coalesceMs(),
                            Math.max(silence, usual.slowReaderMs()),
                            usual.connectMs(),
                            usual.retryBaseMs(),
                            usual.retryMaxMs(),
                            usual.startSpreadMs(),
                            usual.homeMinMs(),
                            usual.homeMaxMs(),
                            admissions,
                            usual.admissionBurst(),
                            maxNodes,
                            usual.maxUnsubscribed()));
        } catch (IllegalArgumentException e) {
            table.addFault("silence", e.getMessage());
            return null;
        }
    }

    private static int largestOddUpTo(int n) {
        return n % 2 == 0 ? Math.max(1, n - 1) : n;
    }
}

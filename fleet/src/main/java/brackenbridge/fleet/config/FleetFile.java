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
 * The fleet's file: who belongs to it, and by which bounds its members deal with each other. One serves all of them.
 * {@code deploy/fleet.toml} is an example with each key.
 *
 * @param fleet its name: members of another fleet are refused
 * @param directory below which each member keeps its disk; null for none
 * @param members who belongs to it
 * @param links bounds of links
 * @param agreed bounds of agreement
 * @param replica bounds of replication
 * @param shares tenants' shares; null if they are not shared
 * @param evacuation bounds of rehearsals
 * @param control distribution to nodes; null if there is none
 * @param page where each member's page of metrics is, by member; absent for none
 * @param listen where a member listens for its peers, by member; absent where it is its address
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
     * Bounds of links.
     *
     * @param beatMs how often a member says that it lives, in milliseconds
     * @param suspectMs unheard of for so long, it is suspected
     * @param goneMs suspected for so long, it is taken for dead
     * @param frameBytes the longest message
     * @param queueBytes what waits at most for one peer in one stream
     */
    public record Links(
            double heartbeatMs, double suspectAfterMs, double deadAfterMs, int maxFrameBytes, long maxQueueBytes) {}

    /**
     * Bounds of agreement.
     *
     * @param voters how many members decide, the first of the file; odd
     * @param leaseMs for how long a member acts by what it was told, in milliseconds
     * @param drift by how much clocks' rates may be off, as a part
     */
    public record Agreement(int voters, double leaseMs, double maxClockDrift) {}

    /**
     * Bounds of replication.
     *
     * @param bytesPerSecond what catching up and comparing may cost a member
     * @param logEntries how many writes of each owner are kept beside its records
     * @param compareMs how often copies are compared at rest, in milliseconds
     */
    public record Replication(long bytesPerSecond, int logEntries, double compareIntervalMs) {}

    /**
     * Tenants' shares.
     *
     * @param connectionsPerServer connections that one server of the target group bears
     * @param leaseMs for how long a node's connections are its own, in milliseconds
     * @param guaranteed the part of all connections that stays with the nodes, whatever becomes of the fleet
     * @param hungryMs under its floor with demand for so long, a tenant is reported hungry
     */
    public record Shares(
            double connectionsPerServer, double leaseMs, double guaranteedFraction, double starvedAfterMs) {}

    /**
     * Bounds of rehearsals.
     *
     * @param part of a zone's load that a rehearsal moves
     * @param stepMs for how long, in milliseconds
     * @param bound use of slots at which a rehearsal halts
     * @param off by which a foretold figure may be off, as a part
     */
    public record Evacuation(
            double rehearsalFraction, double rehearsalStepMs, double maxSlotUtilization, double maxForecastError) {}

    /**
     * Distribution of agreed values to nodes.
     *
     * @param machines members that serve subscriptions
     * @param nodes names of the nodes that may subscribe, or beginnings of names with {@code *} behind them
     * @param limits limits
     */
    public record Control(List<ControlMachine> machines, List<String> nodes, ControlLimits limits) {
        /** Keeps its own copies. */
        public Control {
            machines = List.copyOf(machines);
            nodes = List.copyOf(nodes);
        }

        /** The control machine of this name; null if there is none. */
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

    /** Keeps its own copies. */
    public FleetFile {
        members = List.copyOf(members);
        adminAddresses = Map.copyOf(adminAddresses);
        listenAddresses = Map.copyOf(listenAddresses);
    }

    /** The member of this name; null if there is none. */
    public Member member(String name) {
        return members.stream().filter(m -> m.name().equals(name)).findFirst().orElse(null);
    }

    /** Reads the file; one that can't be used is reported whole. */
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

    /** Reads the file's text; {@code name} stands before each fault. */
    public static FleetFile parse(String name, String text) throws FleetFileException {
        TomlTableReader.FaultCollector faults = new TomlTableReader.FaultCollector(name);
        TomlParseResult toml;
        try {
            toml = Toml.parse(text);
        } catch (StackOverflowError e) {
            throw new FleetFileException(List.of(name + ":1:1: syntax: nested too deep"));
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
            l.addFault("suspect", "is less than four beats: a few that come late would be a suspicion");
        }
        if (links.deadAfterMs() < 2 * links.suspectAfterMs()) {
            l.addFault("gone", "is less than twice suspect: nobody could refute in time");
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
            a.addFault("voters", agreed.voters() + " is even: one less bears as many failures");
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
            table.addFault("machine", "nobody serves: name one member at least");
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

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
        Agreement agreed,
        Replication replica,
        Shares shares,
        Evacuation evacuation,
        Control control,
        Map<String, String> page,
        Map<String, String> listen) {

    /**
     * Bounds of links.
     *
     * @param beatMs how often a member says that it lives, in milliseconds
     * @param suspectMs unheard of for so long, it is suspected
     * @param goneMs suspected for so long, it is taken for dead
     * @param frameBytes the longest message
     * @param queueBytes what waits at most for one peer in one stream
     */
    public record Links(double beatMs, double suspectMs, double goneMs, int frameBytes, long queueBytes) {}

    /**
     * Bounds of agreement.
     *
     * @param voters how many members decide, the first of the file; odd
     * @param leaseMs for how long a member acts by what it was told, in milliseconds
     * @param drift by how much clocks' rates may be off, as a part
     */
    public record Agreement(int voters, double leaseMs, double drift) {}

    /**
     * Bounds of replication.
     *
     * @param bytesPerSecond what catching up and comparing may cost a member
     * @param logEntries how many writes of each owner are kept beside its records
     * @param compareMs how often copies are compared at rest, in milliseconds
     */
    public record Replication(long bytesPerSecond, int logEntries, double compareMs) {}

    /**
     * Tenants' shares.
     *
     * @param connectionsPerServer connections that one server of the target group bears
     * @param leaseMs for how long a node's connections are its own, in milliseconds
     * @param guaranteed the part of all connections that stays with the nodes, whatever becomes of the fleet
     * @param hungryMs under its floor with demand for so long, a tenant is reported hungry
     */
    public record Shares(double connectionsPerServer, double leaseMs, double guaranteed, double hungryMs) {}

    /**
     * Bounds of rehearsals.
     *
     * @param part of a zone's load that a rehearsal moves
     * @param stepMs for how long, in milliseconds
     * @param bound use of slots at which a rehearsal halts
     * @param off by which a foretold figure may be off, as a part
     */
    public record Evacuation(double part, double stepMs, double bound, double off) {}

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

    private static final long LONGEST = 1 << 20;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern NODES = Pattern.compile("[A-Za-z0-9._-]{1,64}\\*?|\\*");
    private static final Pattern ADDRESS = Pattern.compile("[^\\s:]+:[0-9]{1,5}");
    private static final Pattern ANY = Pattern.compile("[^\\p{Cntrl}]+");

    /** Keeps its own copies. */
    public FleetFile {
        members = List.copyOf(members);
        page = Map.copyOf(page);
        listen = Map.copyOf(listen);
    }

    /** The member of this name; null if there is none. */
    public Member member(String name) {
        return members.stream().filter(m -> m.name().equals(name)).findFirst().orElse(null);
    }

    /** Reads the file; one that can't be used is reported whole. */
    public static FleetFile read(Path file) throws FileFaults {
        try {
            if (Files.exists(file) && !Files.isRegularFile(file)) {
                throw new FileFaults(List.of(file + ":1:1: not a file"));
            }
            if (Files.size(file) > LONGEST) {
                throw new FileFaults(List.of(file + ":1:1: over " + LONGEST + " bytes"));
            }
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new FileFaults(List.of(file + ":1:1: can't be read: " + e.getMessage()));
        }
    }

    /** Reads the file's text; {@code name} stands before each fault. */
    public static FleetFile parse(String name, String text) throws FileFaults {
        Table.Faults faults = new Table.Faults(name);
        TomlParseResult toml;
        try {
            toml = Toml.parse(text);
        } catch (StackOverflowError e) {
            throw new FileFaults(List.of(name + ":1:1: syntax: nested too deep"));
        }
        toml.errors()
                .forEach(e -> faults.add(e.position(), "syntax", e.getMessage().replaceAll("\\s+", " ")));
        faults.none();
        Table t = new Table("", toml, null, faults);
        String fleet = t.text("fleet", null, NAME);
        String directory = t.text("directory", "-", ANY);
        List<Member> members = new ArrayList<>();
        Map<String, String> page = new TreeMap<>();
        Map<String, String> listen = new TreeMap<>();
        Set<String> names = new HashSet<>();
        Set<String> addresses = new HashSet<>();
        for (Table m : t.tables("member")) {
            Member member =
                    new Member(m.text("name", null, NAME), m.text("address", null, ADDRESS), m.text("zone", "-", NAME));
            String at = m.text("page", "-", ADDRESS);
            if (!at.equals("-")) {
                page.put(member.name(), at);
            }
            String listens = m.text("listen", "-", ADDRESS);
            if (!listens.equals("-")) {
                listen.put(member.name(), listens);
            }
            m.end();
            if (!names.add(member.name())) {
                m.fault("name", "'" + member.name() + "' is another member's");
            }
            if (!addresses.add(member.address()) || page.containsValue(member.address())) {
                m.fault("address", member.address() + " is used already");
            }
            members.add(member);
        }
        if (members.isEmpty()) {
            t.fault("member", "a fleet needs members");
        }
        Table l = t.table("links");
        Links links = new Links(
                l.span("beat", 250, 10, 10_000),
                l.span("suspect", 1250, 20, 60_000),
                l.span("gone", 4000, 50, 600_000),
                (int) l.size("frame", 1 << 20, 4096, 16 << 20),
                l.size("queue", 4 << 20, 65_536, 256 << 20));
        if (links.suspectMs() < 4 * links.beatMs()) {
            l.fault("suspect", "is less than four beats: a few that come late would be a suspicion");
        }
        if (links.goneMs() < 2 * links.suspectMs()) {
            l.fault("gone", "is less than twice suspect: nobody could refute in time");
        }
        if (links.queueBytes() < links.frameBytes()) {
            l.fault("queue", "is less than one frame");
        }
        l.end();
        Table a = t.table("agreed");
        Agreement agreed = new Agreement(
                a.whole("voters", odd(Math.min(5, members.size())), 1, 7),
                a.span("lease", 1600, 200, 60_000),
                a.number("drift", 0.01, 0, 0.2));
        if (agreed.voters() % 2 == 0) {
            a.fault("voters", agreed.voters() + " is even: one less bears as many failures");
        }
        if (!members.isEmpty() && agreed.voters() > members.size()) {
            a.fault("voters", "there are only " + members.size() + " members");
        }
        a.end();
        Table r = t.table("replica");
        Replication replica = new Replication(
                r.size("catch_up", 1 << 20, 4096, 1L << 30),
                r.whole("log", 4096, 16, 1_000_000),
                r.span("compare", 1000, 50, 600_000));
        r.end();
        Table s = t.table("shares");
        boolean shared = s.flag("on", false);
        Shares shares = new Shares(
                s.number("connections_per_server", 4, 0.01, 1e6),
                s.span("lease", 2000, 200, 60_000),
                s.number("guaranteed", 0.2, 0, 1),
                s.span("hungry", 5000, 100, 600_000));
        s.end();
        Table e = t.table("evacuation");
        Evacuation evacuation = new Evacuation(
                e.number("part", 0.2, 0.01, 1),
                e.span("step", 5000, 500, 600_000),
                e.number("bound", 0.85, 0.1, 1),
                e.number("off", 0.25, 0.01, 1));
        e.end();
        Control control = t.has("control") ? control(t.table("control"), names) : null;
        t.end();
        faults.none();
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

    private static Control control(Table table, Set<String> members) {
        List<ControlMachine> machines = new ArrayList<>();
        Set<String> known = new HashSet<>();
        for (Table entry : table.tables("machine")) {
            ControlMachine machine = new ControlMachine(
                    entry.text("name", null, NAME),
                    entry.text("region", null, NAME),
                    entry.text("address", null, ADDRESS));
            entry.end();
            if (!members.contains(machine.name())) {
                entry.fault("name", "'" + machine.name() + "' is no member");
            }
            if (!known.add(machine.name()) || !known.add(machine.address())) {
                entry.fault("name", "'" + machine.name() + "' or its address is used already");
            }
            machines.add(machine);
        }
        if (machines.isEmpty()) {
            table.fault("machine", "nobody serves: name one member at least");
        }
        ControlLimits usual = ControlLimits.DEFAULTS;
        List<String> nodes = table.texts("nodes", NODES);
        double heartbeat = table.span("heartbeat", usual.heartbeatMs(), 10, 60_000);
        double silence = table.span("silence", usual.silenceTimeoutMs(), 30, 600_000);
        double admissions = table.number("admissions", usual.admissionsPerSecond(), 0.1, 1e6);
        int maxNodes = table.whole("max_nodes", usual.maxSubscribers(), 1, 100_000);
        table.end();
        try {
            return new Control(
                    machines,
                    nodes.isEmpty() ? List.of("*") : nodes,
                    new ControlLimits(
                            heartbeat,
                            silence,
                            silence,
                            usual.coalesceMs(),
                            Math.max(silence, usual.slowReaderTimeoutMs()),
                            usual.connectTimeoutMs(),
                            usual.retryBaseMs(),
                            usual.retryMaxMs(),
                            usual.startSpreadMs(),
                            usual.returnHomeMinMs(),
                            usual.returnHomeMaxMs(),
                            admissions,
                            usual.admissionBurst(),
                            maxNodes,
                            usual.maxUnsubscribedConnections()));
        } catch (IllegalArgumentException e) {
            table.fault("silence", e.getMessage());
            return null;
        }
    }

    private static int odd(int n) {
        return n % 2 == 0 ? Math.max(1, n - 1) : n;
    }
}

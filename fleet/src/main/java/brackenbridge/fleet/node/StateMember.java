package brackenbridge.fleet.node;

import brackenbridge.clock.Clock;
import brackenbridge.fleet.agreed.AgreedSettings;
import brackenbridge.fleet.agreed.AgreedValues;
import brackenbridge.fleet.agreed.AgreementMember;
import brackenbridge.fleet.peer.Member;
import brackenbridge.fleet.peer.PeerLimits;
import brackenbridge.fleet.peer.PeerLinks;
import brackenbridge.fleet.peer.TcpPeerLinks;
import brackenbridge.fleet.replica.RecordSpace;
import brackenbridge.fleet.replica.Replica;
import brackenbridge.fleet.replica.ReplicaDisk;
import brackenbridge.fleet.replica.ReplicaNode;
import brackenbridge.fleet.replica.ReplicationLimits;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A member that shares state and serves nobody: links, replica and agreement of a directory, told what to do by lines
 * on standard input. What it does, sees and acts by goes out as JSON lines, each with the moment {@code at} by the
 * machine's monotonic clock, so that many members' lines make one log.
 *
 * <p>Lines: {@code put KEY N}, {@code remove KEY N}, {@code add KEY BY}, {@code sum KEY}, {@code seen}, {@code level},
 * {@code diff}, {@code status}, {@code propose NAME CONTENT}, {@code watch NAME}, {@code acting NAME},
 * {@code known NAME}, {@code hold ROLE MS}, {@code holds ROLE}, {@code final SUM...}, {@code end}. A number N grows
 * with each write; it is the record's value.
 */
public final class StateMember implements AutoCloseable {
    /** Own records of this space are written and told of. */
    private static final RecordSpace OWN = RecordSpace.SERVERS;

    private static final RecordSpace COUNTED = RecordSpace.ATTEMPTS;
    private static final double PROPOSED_WITHIN_MS = 5000;
    private static final long SAMPLE_MS = 10;
    private static final double SAY_EACH_MS = 200;
    private static final int MOST_WAITING = 20_000;
    private static final int MOST_NAMES = 64;
    /** The state of a role that this member does not hold, in place of a token. */
    private static final String NOT_HELD = "none";

    /** What it is started with. */
    static final class Options {
        @Parameter(names = "--name", description = "Its name", required = true)
        String name;

        @Parameter(names = "--zone", description = "Its zone")
        String zone = "a";

        @Parameter(names = "--listen", description = "ADDRESS:PORT for its peers", required = true)
        String listen;

        @Parameter(
                names = "--peers",
                description = "NAME=ADDRESS:PORT/ZONE of each other member, with commas",
                required = true)
        List<String> peers = List.of();

        @Parameter(names = "--disk", description = "Its directory", required = true)
        String disk;

        @Parameter(names = "--fleet", description = "The fleet's name")
        String fleet = "laboratory";

        Member me() {
            return new Member(name, listen, zone);
        }

        /** All members, this one too, in the same order at each of them. */
        List<Member> members() {
            List<Member> all = new ArrayList<>(List.of(me()));
            for (String p : peers) {
                int is = p.indexOf('=');
                int slash = p.lastIndexOf('/');
                if (is < 1 || slash < is) {
                    throw new ParameterException("--peers: '" + p + "' is not NAME=ADDRESS:PORT/ZONE");
                }
                all.add(new Member(p.substring(0, is), p.substring(is + 1, slash), p.substring(slash + 1)));
            }
            all.sort(Comparator.comparing(Member::name));
            return all;
        }
    }

    /** What a member was last seen to act by or to hold, and since when. */
    private static final class Span {
        Object state;
        double from;
        double until;
        double said;
    }

    private final ObjectMapper json = new ObjectMapper();
    private final BlockingQueue<String> out = new ArrayBlockingQueue<>(MOST_WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private final PeerLinks links;
    private final Replica replica;
    private final AgreedValues agreed;
    private final Map<String, Span> watched = new ConcurrentHashMap<>();
    private final Map<String, Span> roles = new ConcurrentHashMap<>();
    private final Map<String, List<String>> contents = new ConcurrentHashMap<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Thread sampler;
    private final Thread teller;
    private final Span level = new Span();

    /** A member with its parts, which are not started yet; its lines go there. */
    StateMember(PeerLinks links, Replica replica, AgreedValues agreed, PrintStream to) {
        this.links = links;
        this.replica = replica;
        this.agreed = agreed;
        replica.addListener(this::changed);
        sampler = daemon(this::sample, "sample");
        teller = daemon(() -> print(to), "tell");
    }

    private static Thread daemon(Runnable task, String name) {
        Thread t = new Thread(task, name);
        t.setDaemon(true);
        return t;
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    /** Starts to tell; its parts run. */
    void start() {
        teller.start();
        say(now(), "ready", Map.of("life", links.incarnation()));
        sampler.start();
    }

    private void say(double at, String what, Map<String, ?> more) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at", at);
        line.put("what", what);
        line.putAll(more);
        try {
            // Guards against a reader that does not read: no thread of the fleet's waits for it.
            if (!out.offer(json.writeValueAsString(line))) {
                dropped.incrementAndGet();
            }
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private void print(PrintStream to) {
        try {
            while (true) {
                to.println(out.take());
                if (out.isEmpty()) {
                    to.flush();
                }
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    to.println("{\"what\":\"dropped\",\"lines\":" + lost + "}");
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void changed(RecordSpace space, String owner, String key, Replica.ReadRecord now) {
        if (space != OWN || owner.equals(links.self().name())) {
            return;
        }
        say(
                now(),
                "saw",
                now == null
                        ? Map.of("owner", owner, "key", key, "gone", true)
                        : Map.of("owner", owner, "key", key, "n", number(now.value())));
    }

    private static long number(byte[] value) {
        try {
            return Long.parseLong(new String(value, StandardCharsets.UTF_8));
        } catch (NumberFormatException e) {
            // Not one that a line has put.
            return -1;
        }
    }

    private Map<String, Map<String, Long>> have() {
        Map<String, Map<String, Long>> all = new LinkedHashMap<>();
        for (Replica.ReadRecord s : replica.readAll(OWN)) {
            all.computeIfAbsent(s.owner(), o -> new LinkedHashMap<>()).put(s.key(), number(s.value()));
        }
        return all;
    }

    /** Asks all the time, as a member does before each act: a change that lasts is seen, and between which moments. */
    private void sample() {
        try {
            while (true) {
                double before = now();
                Replica.SyncState l = replica.syncState();
                span(
                        level,
                        l,
                        before,
                        () -> {},
                        () -> say(
                                now(),
                                "level",
                                Map.of(
                                        "level",
                                        l.caughtUp(),
                                        "behind",
                                        l.missingWrites(),
                                        "differing",
                                        l.differingLogs(),
                                        "out",
                                        l.excludedFromDecisions(),
                                        "have",
                                        have())));
                watched.forEach((name, s) -> sampleActs(name, s));
                roles.forEach((role, s) -> sampleHolds(role, s));
                Thread.sleep(SAMPLE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sampleActs(String name, Span s) {
        double before = now();
        List<AgreedValues.Value> values = new ArrayList<>();
        agreed.effectiveValues(name).ifPresent(a -> {
            values.add(a.inForce());
            if (a.staged() != null) {
                values.add(a.staged());
            }
        });
        List<Long> generations =
                values.stream().map(AgreedValues.Value::generation).toList();
        Runnable tell = () -> {
            if (!((List<?>) s.state).isEmpty()) {
                say(
                        now(),
                        "acts",
                        Map.of(
                                "name",
                                name,
                                "generations",
                                s.state,
                                "contents",
                                contents.get(name),
                                "from",
                                s.from,
                                "until",
                                s.until));
            }
        };
        span(s, generations, before, tell, tell);
        contents.put(
                name,
                values.stream()
                        .map(v -> new String(v.content(), StandardCharsets.UTF_8))
                        .toList());
    }

    private void sampleHolds(String role, Span s) {
        double before = now();
        Object state =
                agreed.heldLease(role).<Object>map(AgreedValues.Lease::token).orElse(NOT_HELD);
        Runnable tell = () -> {
            if (s.state instanceof Long held) {
                say(now(), "holds", Map.of("role", role, "token", held, "from", s.from, "until", s.until));
            }
        };
        span(s, state, before, tell, tell);
    }

    /** The state was so at some moment after {@code before} and before now. */
    private void span(Span s, Object state, double before, Runnable changes, Runnable tell) {
        if (!state.equals(s.state)) {
            if (s.state != null) {
                changes.run();
            }
            s.state = state;
            s.from = now();
            s.until = before;
            s.said = 0;
        } else {
            s.until = before;
        }
        if (now() - s.said >= SAY_EACH_MS && s.until >= s.from || s == level && s.said == 0) {
            tell.run();
            s.said = now();
        }
    }

    /** Does what a line says; one that is not understood is answered so. */
    void take(String line) {
        String[] w = line.trim().split("\\s+");
        try {
            switch (w[0]) {
                case "put" -> {
                    replica.put(OWN, w[1], w[2].getBytes(StandardCharsets.UTF_8));
                    say(now(), "wrote", Map.of("key", w[1], "n", Long.parseLong(w[2])));
                }
                case "remove" -> {
                    replica.remove(OWN, w[1]);
                    say(now(), "wrote", Map.of("key", w[1], "n", Long.parseLong(w[2]), "gone", true));
                }
                case "add" -> {
                    replica.add(COUNTED, w[1], Long.parseLong(w[2]));
                    say(now(), "added", Map.of("key", w[1], "by", Long.parseLong(w[2])));
                }
                case "sum" -> say(now(), "sum", Map.of("key", w[1], "sum", replica.sum(COUNTED, w[1])));
                case "seen" -> say(now(), "seen", Map.of("have", have()));
                case "level" -> level.said = 0;
                case "diff" ->
                    say(
                            now(),
                            "diff",
                            Map.of(
                                    "behind",
                                    replica.syncState().missingWrites(),
                                    "differing",
                                    replica.syncState().differingLogs()));
                case "status" ->
                    say(
                            now(),
                            "status",
                            Map.of(
                                    "agreed",
                                    agreed.status(),
                                    "peers",
                                    peers(),
                                    "level",
                                    replica.syncState().caughtUp(),
                                    "links",
                                    links instanceof TcpPeerLinks t ? t.metrics() : Map.of(),
                                    "replica",
                                    replica instanceof ReplicaNode n ? n.statistics() : Map.of()));
                case "propose" -> propose(w[1], w[2]);
                case "watch" -> put(watched, w[1]);
                case "acting" ->
                    say(
                            now(),
                            "acting",
                            Map.of(
                                    "name",
                                    w[1],
                                    "generations",
                                    agreed.effectiveValues(w[1])
                                            .map(a -> a.staged() == null
                                                    ? List.of(a.inForce().generation())
                                                    : List.of(
                                                            a.inForce().generation(),
                                                            a.staged().generation()))
                                            .orElse(List.of())));
                case "known" -> say(now(), "known", Map.of("name", w[1], "value", known(w[1])));
                case "hold" -> hold(w[1], Double.parseDouble(w[2]));
                case "holds" -> say(now(), "asked", Map.of("role", w[1], "holds", agreed.holdsLease(w[1])));
                case "final" -> sayAll(w);
                case "end" -> ended.countDown();
                default -> say(now(), "unknown", Map.of("line", line));
            }
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            say(now(), "unknown", Map.of("line", line, "why", String.valueOf(e.getMessage())));
        }
    }

    private static void put(Map<String, Span> all, String name) {
        // Guards against names without end on the command channel.
        if (all.size() < MOST_NAMES) {
            all.putIfAbsent(name, new Span());
        }
    }

    private Map<String, String> peers() {
        Map<String, String> all = new LinkedHashMap<>();
        links.peers().forEach(p -> all.put(p.name(), links.status(p.name()).text()));
        return all;
    }

    private Map<String, Object> known(String name) {
        Optional<AgreedValues.Value> v = agreed.lastKnown(name);
        return v.isEmpty()
                ? Map.of()
                : Map.of(
                        "generation",
                        v.get().generation(),
                        "content",
                        new String(v.get().content(), StandardCharsets.UTF_8));
    }

    private void propose(String name, String content) {
        long expected =
                agreed.lastKnown(name).map(AgreedValues.Value::generation).orElse(0L);
        agreed.propose(name, expected, content.getBytes(StandardCharsets.UTF_8), PROPOSED_WITHIN_MS)
                .whenComplete((verdict, fault) -> say(
                        now(),
                        "proposed",
                        Map.of(
                                "name",
                                name,
                                "content",
                                content,
                                "expected",
                                expected,
                                "verdict",
                                fault == null
                                        ? verdict.name().toLowerCase(Locale.ROOT)
                                        : "failed: " + fault.getMessage())));
    }

    private void hold(String role, double forMs) {
        put(roles, role);
        agreed.acquire(role, forMs);
    }

    private void sayAll(String[] w) {
        Map<String, Long> sums = new LinkedHashMap<>();
        for (int i = 1; i < w.length; i++) {
            sums.put(w[i], replica.sum(COUNTED, w[i]));
        }
        Map<String, Object> known = new LinkedHashMap<>();
        watched.keySet().forEach(n -> known.put(n, known(n)));
        say(now(), "final", Map.of("have", have(), "sums", sums, "known", known));
    }

    @Override
    public void close() {
        sampler.interrupt();
        teller.interrupt();
    }

    /** Runs a member until its standard input ends or a line says so. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Options o = new Options();
        List<Member> members;
        try {
            JCommander.newBuilder()
                    .programName("state-member")
                    .addObject(o)
                    .build()
                    .parse(args);
            members = o.members();
        } catch (ParameterException e) {
            System.err.println("brackenbridge: " + e.getMessage());
            System.exit(2);
            return;
        }
        PrintStream to = new PrintStream(new FileOutputStream(FileDescriptor.out), false, StandardCharsets.UTF_8);
        // What the log writes to standard output goes to standard error: lines of JSON stay lines of JSON.
        System.setOut(System.err);
        try {
            run(o, members, to);
            System.exit(0);
        } catch (IOException e) {
            System.err.println("brackenbridge: " + e.getMessage());
            System.exit(1);
        }
    }

    private static void run(Options o, List<Member> members, PrintStream to) throws IOException, InterruptedException {
        Clock clock = Clock.system();
        Path disk = Path.of(o.disk);
        try (ReplicaDisk records = ReplicaDisk.open(disk.resolve("replica"), o.fleet, o.name, clock.nowMs());
                TcpPeerLinks links = new TcpPeerLinks(
                        o.me(), records.incarnation(), o.fleet, members, clock, PeerLimits.defaults());
                ReplicaNode replica = new ReplicaNode(links, records, clock, ReplicationLimits.DEFAULT);
                AgreementMember agreed = new AgreementMember(
                        links,
                        disk.resolve("agreed"),
                        clock,
                        AgreedSettings.withDefaults(o.fleet, members, records.incarnation() ^ o.name.hashCode()));
                StateMember member = new StateMember(links, replica, agreed, to)) {
            agreed.start();
            replica.start();
            links.start();
            member.start();
            Thread reader = daemon(() -> member.read(), "lines");
            reader.start();
            member.ended.await();
        }
    }

    private void read() {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                take(line);
            }
        } catch (IOException e) {
            say(now(), "unknown", Map.of("line", "", "why", String.valueOf(e.getMessage())));
        }
        ended.countDown();
    }
}

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
 * A process that runs a fleet member without a node: links, replica and agreement with their data in a directory,
 * controlled by commands on standard input. It reports what it does, receives and uses as JSON lines, each with the time
 * {@code at} of the machine's monotonic clock, so that the lines of many members can be merged into one log.
 *
 * <p>Commands, one on each line: {@code put KEY N}, {@code remove KEY N}, {@code add KEY BY}, {@code sum KEY}, {@code seen}, {@code level},
 * {@code diff}, {@code status}, {@code propose NAME CONTENT}, {@code watch NAME}, {@code acting NAME},
 * {@code known NAME}, {@code hold ROLE MS}, {@code holds ROLE}, {@code final SUM...}, {@code end}. N is the
 * record's value, a number that increases with each write.
 */
public final class StateMember implements AutoCloseable {
    /** The space whose records {@code put} and {@code remove} write, and whose changes are reported. */
    private static final RecordSpace REGISTER_SPACE = RecordSpace.SERVERS;

    private static final RecordSpace COUNTER_SPACE = RecordSpace.ATTEMPTS;
    private static final double PROPOSAL_TIMEOUT_MS = 5000;
    private static final long SAMPLE_INTERVAL_MS = 10;
    private static final double REPORT_INTERVAL_MS = 200;
    private static final int MAX_QUEUED_LINES = 20_000;
    private static final int MAX_WATCHED_NAMES = 64;
    /** Stands in place of a token for a role that this member does not hold. */
    private static final String NOT_HELD = "none";

    /** The command line. */
    static final class Options {
        @Parameter(names = "--name", description = "The name of the member", required = true)
        String name;

        @Parameter(names = "--zone", description = "The zone of the member")
        String zone = "a";

        @Parameter(names = "--listen", description = "ADDRESS:PORT to listen at for peers", required = true)
        String listen;

        @Parameter(
                names = "--peers",
                description = "NAME=ADDRESS:PORT/ZONE of each other member, separated by commas",
                required = true)
        List<String> peers = List.of();

        @Parameter(names = "--disk", description = "The directory for the data of the member", required = true)
        String disk;

        @Parameter(names = "--fleet", description = "The name of the fleet")
        String fleet = "laboratory";

        Member self() {
            return new Member(name, listen, zone);
        }

        /** Returns all members including this one, in the same order at each member. */
        List<Member> members() {
            List<Member> all = new ArrayList<>(List.of(self()));
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

    /** A sampled state, and the interval in which it was observed unchanged. */
    private static final class Span {
        Object state;
        double observedSinceMs;
        double observedUntilMs;
        double reportedAtMs;
    }

    private final ObjectMapper json = new ObjectMapper();
    private final BlockingQueue<String> outputQueue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final PeerLinks links;
    private final Replica replica;
    private final AgreedValues agreement;
    private final Map<String, Span> watchedValues = new ConcurrentHashMap<>();
    private final Map<String, Span> watchedRoles = new ConcurrentHashMap<>();
    private final Map<String, List<String>> watchedContents = new ConcurrentHashMap<>();
    private final CountDownLatch stopRequested = new CountDownLatch(1);
    private final Thread sampler;
    private final Thread writer;
    private final Span syncState = new Span();

    /** Creates a member from components that are not started yet; its JSON lines are written to the stream. */
    StateMember(PeerLinks links, Replica replica, AgreedValues agreed, PrintStream to) {
        this.links = links;
        this.replica = replica;
        this.agreement = agreed;
        replica.listen(this::onRecordChanged);
        sampler = createDaemon(this::sample, "sample");
        writer = createDaemon(() -> writeLines(to), "tell");
    }

    private static Thread createDaemon(Runnable task, String name) {
        Thread t = new Thread(task, name);
        t.setDaemon(true);
        return t;
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** Starts to report; the components have to be started already. */
    void start() {
        writer.start();
        report(nowMs(), "ready", Map.of("life", links.life()));
        sampler.start();
    }

    private void report(double at, String what, Map<String, ?> more) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at", at);
        line.put("what", what);
        line.putAll(more);
        try {
            // Guards the threads of the fleet against a slow reader: a line that does not fit the queue is dropped.
            if (!outputQueue.offer(json.writeValueAsString(line))) {
                droppedLines.incrementAndGet();
            }
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private void writeLines(PrintStream to) {
        try {
            while (true) {
                to.println(outputQueue.take());
                if (outputQueue.isEmpty()) {
                    to.flush();
                }
                long lost = droppedLines.getAndSet(0);
                if (lost > 0) {
                    to.println("{\"what\":\"dropped\",\"lines\":" + lost + "}");
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void onRecordChanged(RecordSpace space, String owner, String key, Replica.Seen now) {
        if (space != REGISTER_SPACE || owner.equals(links.me().name())) {
            return;
        }
        report(
                nowMs(),
                "saw",
                now == null
                        ? Map.of("owner", owner, "key", key, "gone", true)
                        : Map.of("owner", owner, "key", key, "n", parseNumber(now.value())));
    }

    private static long parseNumber(byte[] value) {
        try {
            return Long.parseLong(new String(value, StandardCharsets.UTF_8));
        } catch (NumberFormatException e) {
            // The value was not written by a command of this program.
            return -1;
        }
    }

    private Map<String, Map<String, Long>> recordsByOwner() {
        Map<String, Map<String, Long>> all = new LinkedHashMap<>();
        for (Replica.Seen s : replica.seen(REGISTER_SPACE)) {
            all.computeIfAbsent(s.owner(), o -> new LinkedHashMap<>()).put(s.key(), parseNumber(s.value()));
        }
        return all;
    }

    /** Samples the state continuously, so that each lasting change is reported with the interval in which it happened. */
    private void sample() {
        try {
            while (true) {
                double before = nowMs();
                Replica.Level l = replica.level();
                recordSample(
                        syncState,
                        l,
                        before,
                        () -> {},
                        () -> report(
                                nowMs(),
                                "level",
                                Map.of(
                                        "level",
                                        l.level(),
                                        "behind",
                                        l.behind(),
                                        "differing",
                                        l.differing(),
                                        "out",
                                        l.outOfDecision(),
                                        "have",
                                        recordsByOwner())));
                watchedValues.forEach((name, s) -> sampleEffectiveValues(name, s));
                watchedRoles.forEach((role, s) -> sampleLease(role, s));
                Thread.sleep(SAMPLE_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sampleEffectiveValues(String name, Span s) {
        double before = nowMs();
        List<AgreedValues.Value> values = new ArrayList<>();
        agreement.acting(name).ifPresent(a -> {
            values.add(a.one());
            if (a.other() != null) {
                values.add(a.other());
            }
        });
        List<Long> generations =
                values.stream().map(AgreedValues.Value::generation).toList();
        Runnable tell = () -> {
            if (!((List<?>) s.state).isEmpty()) {
                report(
                        nowMs(),
                        "acts",
                        Map.of(
                                "name",
                                name,
                                "generations",
                                s.state,
                                "contents",
                                watchedContents.get(name),
                                "from",
                                s.observedSinceMs,
                                "until",
                                s.observedUntilMs));
            }
        };
        recordSample(s, generations, before, tell, tell);
        watchedContents.put(
                name,
                values.stream()
                        .map(v -> new String(v.content(), StandardCharsets.UTF_8))
                        .toList());
    }

    private void sampleLease(String role, Span s) {
        double before = nowMs();
        Object state =
                agreement.heldLease(role).<Object>map(AgreedValues.Lease::token).orElse(NOT_HELD);
        Runnable tell = () -> {
            if (s.state instanceof Long held) {
                report(
                        nowMs(),
                        "holds",
                        Map.of("role", role, "token", held, "from", s.observedSinceMs, "until", s.observedUntilMs));
            }
        };
        recordSample(s, state, before, tell, tell);
    }

    /** Records a state that was observed at some time between {@code before} and now. */
    private void recordSample(Span s, Object state, double before, Runnable changes, Runnable tell) {
        if (!state.equals(s.state)) {
            if (s.state != null) {
                changes.run();
            }
            s.state = state;
            s.observedSinceMs = nowMs();
            s.observedUntilMs = before;
            s.reportedAtMs = 0;
        } else {
            s.observedUntilMs = before;
        }
        if (nowMs() - s.reportedAtMs >= REPORT_INTERVAL_MS && s.observedUntilMs >= s.observedSinceMs
                || s == syncState && s.reportedAtMs == 0) {
            tell.run();
            s.reportedAtMs = nowMs();
        }
    }

    /** Executes a command; an invalid one is reported as unknown. */
    void execute(String line) {
        String[] w = line.trim().split("\\s+");
        try {
            switch (w[0]) {
                case "put" -> {
                    replica.put(REGISTER_SPACE, w[1], w[2].getBytes(StandardCharsets.UTF_8));
                    report(nowMs(), "wrote", Map.of("key", w[1], "n", Long.parseLong(w[2])));
                }
                case "remove" -> {
                    replica.remove(REGISTER_SPACE, w[1]);
                    report(nowMs(), "wrote", Map.of("key", w[1], "n", Long.parseLong(w[2]), "gone", true));
                }
                case "add" -> {
                    replica.add(COUNTER_SPACE, w[1], Long.parseLong(w[2]));
                    report(nowMs(), "added", Map.of("key", w[1], "by", Long.parseLong(w[2])));
                }
                case "sum" -> report(nowMs(), "sum", Map.of("key", w[1], "sum", replica.sum(COUNTER_SPACE, w[1])));
                case "seen" -> report(nowMs(), "seen", Map.of("have", recordsByOwner()));
                case "level" -> syncState.reportedAtMs = 0;
                case "diff" ->
                    report(
                            nowMs(),
                            "diff",
                            Map.of(
                                    "behind",
                                    replica.level().behind(),
                                    "differing",
                                    replica.level().differing()));
                case "status" ->
                    report(
                            nowMs(),
                            "status",
                            Map.of(
                                    "agreed",
                                    agreement.status(),
                                    "peers",
                                    peerStatuses(),
                                    "level",
                                    replica.level().level(),
                                    "links",
                                    links instanceof TcpPeerLinks t ? t.figures() : Map.of(),
                                    "replica",
                                    replica instanceof ReplicaNode n ? n.figures() : Map.of()));
                case "propose" -> propose(w[1], w[2]);
                case "watch" -> watch(watchedValues, w[1]);
                case "acting" ->
                    report(
                            nowMs(),
                            "acting",
                            Map.of(
                                    "name",
                                    w[1],
                                    "generations",
                                    agreement
                                            .acting(w[1])
                                            .map(a -> a.other() == null
                                                    ? List.of(a.one().generation())
                                                    : List.of(
                                                            a.one().generation(),
                                                            a.other().generation()))
                                            .orElse(List.of())));
                case "known" -> report(nowMs(), "known", Map.of("name", w[1], "value", lastKnownValue(w[1])));
                case "hold" -> acquireRole(w[1], Double.parseDouble(w[2]));
                case "holds" -> report(nowMs(), "asked", Map.of("role", w[1], "holds", agreement.holds(w[1])));
                case "final" -> reportFinalState(w);
                case "end" -> stopRequested.countDown();
                default -> report(nowMs(), "unknown", Map.of("line", line));
            }
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            report(nowMs(), "unknown", Map.of("line", line, "why", String.valueOf(e.getMessage())));
        }
    }

    private static void watch(Map<String, Span> all, String name) {
        // Guards memory against an unlimited number of names in commands.
        if (all.size() < MAX_WATCHED_NAMES) {
            all.putIfAbsent(name, new Span());
        }
    }

    private Map<String, String> peerStatuses() {
        Map<String, String> all = new LinkedHashMap<>();
        links.peers().forEach(p -> all.put(p.name(), links.standing(p.name()).text()));
        return all;
    }

    private Map<String, Object> lastKnownValue(String name) {
        Optional<AgreedValues.Value> v = agreement.known(name);
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
                agreement.known(name).map(AgreedValues.Value::generation).orElse(0L);
        agreement
                .propose(name, expected, content.getBytes(StandardCharsets.UTF_8), PROPOSAL_TIMEOUT_MS)
                .whenComplete((verdict, fault) -> report(
                        nowMs(),
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

    private void acquireRole(String role, double forMs) {
        watch(watchedRoles, role);
        agreement.acquire(role, forMs);
    }

    private void reportFinalState(String[] w) {
        Map<String, Long> sums = new LinkedHashMap<>();
        for (int i = 1; i < w.length; i++) {
            sums.put(w[i], replica.sum(COUNTER_SPACE, w[i]));
        }
        Map<String, Object> known = new LinkedHashMap<>();
        watchedValues.keySet().forEach(n -> known.put(n, lastKnownValue(n)));
        report(nowMs(), "final", Map.of("have", recordsByOwner(), "sums", sums, "known", known));
    }

    @Override
    public void close() {
        sampler.interrupt();
        writer.interrupt();
    }

    /** Runs a member until its standard input ends or it receives the command {@code end}. */
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
        // Log lines that are meant for standard output go to standard error, so that the output has only JSON lines.
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
                TcpPeerLinks links =
                        new TcpPeerLinks(o.self(), records.life(), o.fleet, members, clock, PeerLimits.standard());
                ReplicaNode replica = new ReplicaNode(links, records, clock, ReplicationLimits.DEFAULT);
                AgreementMember agreed = new AgreementMember(
                        links,
                        disk.resolve("agreed"),
                        clock,
                        AgreedSettings.of(o.fleet, members, records.life() ^ o.name.hashCode()));
                StateMember member = new StateMember(links, replica, agreed, to)) {
            agreed.start();
            replica.start();
            links.start();
            member.start();
            Thread reader = createDaemon(() -> member.readCommands(), "lines");
            reader.start();
            member.stopRequested.await();
        }
    }

    private void readCommands() {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                execute(line);
            }
        } catch (IOException e) {
            report(nowMs(), "unknown", Map.of("line", "", "why", String.valueOf(e.getMessage())));
        }
        stopRequested.countDown();
    }
}

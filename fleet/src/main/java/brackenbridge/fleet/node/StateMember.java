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
 * controlled by commands on standard input. It reports what it does, receives and uses as JSON lines, each with the
 * time {@code at} of the machine's monotonic clock, so that the lines of many members can be merged into one log.
 *
 * <p>Commands, one on each line: {@code put KEY N}, {@code remove KEY N}, {@code add KEY BY}, {@code sum KEY},
 * {@code seen}, {@code level}, {@code diff}, {@code status}, {@code propose NAME CONTENT}, {@code watch NAME},
 * {@code acting NAME}, {@code known NAME}, {@code hold ROLE MS}, {@code holds ROLE}, {@code final SUM...}, {@code end}.
 * N is the record's value, a number that increases with each write.
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
            for (String peer : peers) {
                int equalsSign = peer.indexOf('=');
                int slash = peer.lastIndexOf('/');
                if (equalsSign < 1 || slash < equalsSign) {
                    throw new ParameterException("--peers: '" + peer + "' is not NAME=ADDRESS:PORT/ZONE");
                }
                all.add(new Member(
                        peer.substring(0, equalsSign),
                        peer.substring(equalsSign + 1, slash),
                        peer.substring(slash + 1)));
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
    StateMember(PeerLinks links, Replica replica, AgreedValues agreement, PrintStream out) {
        this.links = links;
        this.replica = replica;
        this.agreement = agreement;
        replica.addListener(this::onRecordChanged);
        sampler = createDaemon(this::sample, "sample");
        writer = createDaemon(() -> writeLines(out), "tell");
    }

    private static Thread createDaemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** Starts to report; the components have to be started already. */
    void start() {
        writer.start();
        report(nowMs(), "ready", Map.of("life", links.incarnation()));
        sampler.start();
    }

    private void report(double atMs, String what, Map<String, ?> fields) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at", atMs);
        line.put("what", what);
        line.putAll(fields);
        try {
            // Guards the threads of the fleet against a slow reader: a line that does not fit the queue is dropped.
            if (!outputQueue.offer(json.writeValueAsString(line))) {
                droppedLines.incrementAndGet();
            }
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private void writeLines(PrintStream out) {
        try {
            while (true) {
                out.println(outputQueue.take());
                if (outputQueue.isEmpty()) {
                    out.flush();
                }
                long lost = droppedLines.getAndSet(0);
                if (lost > 0) {
                    out.println("{\"what\":\"dropped\",\"lines\":" + lost + "}");
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void onRecordChanged(RecordSpace space, String owner, String key, Replica.ReadRecord record) {
        if (space != REGISTER_SPACE || owner.equals(links.self().name())) {
            return;
        }
        report(
                nowMs(),
                "saw",
                record == null
                        ? Map.of("owner", owner, "key", key, "gone", true)
                        : Map.of("owner", owner, "key", key, "n", parseNumber(record.value())));
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
        Map<String, Map<String, Long>> records = new LinkedHashMap<>();
        for (Replica.ReadRecord record : replica.readAll(REGISTER_SPACE)) {
            records.computeIfAbsent(record.owner(), o -> new LinkedHashMap<>())
                    .put(record.key(), parseNumber(record.value()));
        }
        return records;
    }

    /**
     * Samples the state continuously, so that each lasting change is reported with the interval in which it happened.
     */
    private void sample() {
        try {
            while (true) {
                double beforeMs = nowMs();
                Replica.SyncState state = replica.syncState();
                recordSample(
                        syncState,
                        state,
                        beforeMs,
                        () -> {},
                        () -> report(
                                nowMs(),
                                "level",
                                Map.of(
                                        "level",
                                        state.caughtUp(),
                                        "behind",
                                        state.missingWrites(),
                                        "differing",
                                        state.differingLogs(),
                                        "out",
                                        state.excludedFromDecisions(),
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

    private void sampleEffectiveValues(String name, Span span) {
        double beforeMs = nowMs();
        List<AgreedValues.Value> values = new ArrayList<>();
        agreement.effectiveValues(name).ifPresent(a -> {
            values.add(a.inForce());
            if (a.staged() != null) {
                values.add(a.staged());
            }
        });
        List<Long> generations =
                values.stream().map(AgreedValues.Value::generation).toList();
        Runnable reportSpan = () -> {
            if (!((List<?>) span.state).isEmpty()) {
                report(
                        nowMs(),
                        "acts",
                        Map.of(
                                "name",
                                name,
                                "generations",
                                span.state,
                                "contents",
                                watchedContents.get(name),
                                "from",
                                span.observedSinceMs,
                                "until",
                                span.observedUntilMs));
            }
        };
        recordSample(span, generations, beforeMs, reportSpan, reportSpan);
        watchedContents.put(
                name,
                values.stream()
                        .map(v -> new String(v.content(), StandardCharsets.UTF_8))
                        .toList());
    }

    private void sampleLease(String role, Span span) {
        double beforeMs = nowMs();
        Object state =
                agreement.heldLease(role).<Object>map(AgreedValues.Lease::token).orElse(NOT_HELD);
        Runnable reportSpan = () -> {
            if (span.state instanceof Long held) {
                report(
                        nowMs(),
                        "holds",
                        Map.of(
                                "role",
                                role,
                                "token",
                                held,
                                "from",
                                span.observedSinceMs,
                                "until",
                                span.observedUntilMs));
            }
        };
        recordSample(span, state, beforeMs, reportSpan, reportSpan);
    }

    /** Records a state that was observed at some time between {@code beforeMs} and now. */
    private void recordSample(Span span, Object state, double beforeMs, Runnable onChange, Runnable onReport) {
        if (!state.equals(span.state)) {
            if (span.state != null) {
                onChange.run();
            }
            span.state = state;
            span.observedSinceMs = nowMs();
            span.observedUntilMs = beforeMs;
            span.reportedAtMs = 0;
        } else {
            span.observedUntilMs = beforeMs;
        }
        if (nowMs() - span.reportedAtMs >= REPORT_INTERVAL_MS && span.observedUntilMs >= span.observedSinceMs
                || span == syncState && span.reportedAtMs == 0) {
            onReport.run();
            span.reportedAtMs = nowMs();
        }
    }

    /** Executes a command; an invalid one is reported as unknown. */
    void execute(String line) {
        String[] words = line.trim().split("\\s+");
        try {
            switch (words[0]) {
                case "put" -> {
                    replica.put(REGISTER_SPACE, words[1], words[2].getBytes(StandardCharsets.UTF_8));
                    report(nowMs(), "wrote", Map.of("key", words[1], "n", Long.parseLong(words[2])));
                }
                case "remove" -> {
                    replica.remove(REGISTER_SPACE, words[1]);
                    report(nowMs(), "wrote", Map.of("key", words[1], "n", Long.parseLong(words[2]), "gone", true));
                }
                case "add" -> {
                    replica.add(COUNTER_SPACE, words[1], Long.parseLong(words[2]));
                    report(nowMs(), "added", Map.of("key", words[1], "by", Long.parseLong(words[2])));
                }
                case "sum" ->
                    report(nowMs(), "sum", Map.of("key", words[1], "sum", replica.sum(COUNTER_SPACE, words[1])));
                case "seen" -> report(nowMs(), "seen", Map.of("have", recordsByOwner()));
                case "level" -> syncState.reportedAtMs = 0;
                case "diff" ->
                    report(
                            nowMs(),
                            "diff",
                            Map.of(
                                    "behind",
                                    replica.syncState().missingWrites(),
                                    "differing",
                                    replica.syncState().differingLogs()));
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
                                    replica.syncState().caughtUp(),
                                    "links",
                                    links instanceof TcpPeerLinks tcpLinks ? tcpLinks.metrics() : Map.of(),
                                    "replica",
                                    replica instanceof ReplicaNode replicaNode ? replicaNode.statistics() : Map.of()));
                case "propose" -> propose(words[1], words[2]);
                case "watch" -> watch(watchedValues, words[1]);
                case "acting" ->
                    report(
                            nowMs(),
                            "acting",
                            Map.of(
                                    "name",
                                    words[1],
                                    "generations",
                                    agreement
                                            .effectiveValues(words[1])
                                            .map(a -> a.staged() == null
                                                    ? List.of(a.inForce().generation())
                                                    : List.of(
                                                            a.inForce().generation(),
                                                            a.staged().generation()))
                                            .orElse(List.of())));
                case "known" -> report(nowMs(), "known", Map.of("name", words[1], "value", lastKnownValue(words[1])));
                case "hold" -> acquireRole(words[1], Double.parseDouble(words[2]));
                case "holds" ->
                    report(nowMs(), "asked", Map.of("role", words[1], "holds", agreement.holdsLease(words[1])));
                case "final" -> reportFinalState(words);
                case "end" -> stopRequested.countDown();
                default -> report(nowMs(), "unknown", Map.of("line", line));
            }
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            report(nowMs(), "unknown", Map.of("line", line, "why", String.valueOf(e.getMessage())));
        }
    }

    private static void watch(Map<String, Span> watched, String name) {
        // Guards memory against an unlimited number of names in commands.
        if (watched.size() < MAX_WATCHED_NAMES) {
            watched.putIfAbsent(name, new Span());
        }
    }

    private Map<String, String> peerStatuses() {
        Map<String, String> statuses = new LinkedHashMap<>();
        links.peers().forEach(p -> statuses.put(p.name(), links.status(p.name()).text()));
        return statuses;
    }

    private Map<String, Object> lastKnownValue(String name) {
        Optional<AgreedValues.Value> value = agreement.lastKnown(name);
        return value.isEmpty()
                ? Map.of()
                : Map.of(
                        "generation",
                        value.get().generation(),
                        "content",
                        new String(value.get().content(), StandardCharsets.UTF_8));
    }

    private void propose(String name, String content) {
        long expected =
                agreement.lastKnown(name).map(AgreedValues.Value::generation).orElse(0L);
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

    private void acquireRole(String role, double durationMs) {
        watch(watchedRoles, role);
        agreement.acquire(role, durationMs);
    }

    private void reportFinalState(String[] words) {
        Map<String, Long> sums = new LinkedHashMap<>();
        for (int i = 1; i < words.length; i++) {
            sums.put(words[i], replica.sum(COUNTER_SPACE, words[i]));
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
        Options options = new Options();
        List<Member> members;
        try {
            JCommander.newBuilder()
                    .programName("state-member")
                    .addObject(options)
                    .build()
                    .parse(args);
            members = options.members();
        } catch (ParameterException e) {
            System.err.println("brackenbridge: " + e.getMessage());
            System.exit(2);
            return;
        }
        PrintStream out = new PrintStream(new FileOutputStream(FileDescriptor.out), false, StandardCharsets.UTF_8);
        // Log lines that are meant for standard output go to standard error, so that the output has only JSON lines.
        System.setOut(System.err);
        try {
            run(options, members, out);
            System.exit(0);
        } catch (IOException e) {
            System.err.println("brackenbridge: " + e.getMessage());
            System.exit(1);
        }
    }

    private static void run(Options options, List<Member> members, PrintStream out)
            throws IOException, InterruptedException {
        Clock clock = Clock.system();
        Path directory = Path.of(options.disk);
        try (ReplicaDisk records =
                        ReplicaDisk.open(directory.resolve("replica"), options.fleet, options.name, clock.nowMs());
                TcpPeerLinks links = new TcpPeerLinks(
                        options.self(), records.incarnation(), options.fleet, members, clock, PeerLimits.defaults());
                ReplicaNode replica = new ReplicaNode(links, records, clock, ReplicationLimits.DEFAULT);
                AgreementMember agreement = new AgreementMember(
                        links,
                        directory.resolve("agreed"),
                        clock,
                        AgreedSettings.withDefaults(
                                options.fleet, members, records.incarnation() ^ options.name.hashCode()));
                StateMember member = new StateMember(links, replica, agreement, out)) {
            agreement.start();
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

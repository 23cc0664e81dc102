package brackenbridge.lab.fleet;

import brackenbridge.clock.Clock;
import brackenbridge.lab.fleet.check.Entry;
import brackenbridge.lab.fleet.check.Promise;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Plays a fleet of members: processes, a relay for each ordered pair of them, the load on their command channel, the
 * faults of the script and the seed, and at the end each one's word on what it holds.
 */
public final class MembersRunner implements AutoCloseable {
    private static final double READY_MS = 30_000;
    private static final double FINAL_MS = 10_000;
    private static final double ASKED_EVERY_MS = 250;
    private static final double HELD_FOR_MS = 1000;
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 10_000;
    private static final int TRIES = 200;
    private static final long AGAIN_MS = 100;
    /** One of so many writes removes a record instead. */
    private static final int REMOVES = 16;

    /**
     * What came of it.
     *
     * @param findings by the kind of the promise
     * @param faults what was played
     * @param log all lines, in order of time
     * @param bytesPerSecond what all links passed in a second of the load
     */
    public record Outcome(
            Map<String, Promise.Finding> findings, List<Fault> faults, List<Entry> log, double bytesPerSecond) {
        /** The first breach; null if there is none. */
        public Promise.Breach first() {
            return findings.values().stream()
                    .flatMap(f -> f.breaches().stream())
                    .min(java.util.Comparator.comparingDouble(Promise.Breach::t))
                    .orElse(null);
        }
    }

    /** A relay with what is wrong with it. */
    private record Wrong(Relay relay, LinkFault fault) {}

    private final MembersPlan plan;
    private final SplittableRandom random;
    private final Path folder;
    private final Journal journal = new Journal();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Relays relays;
    private final Map<String, Relay> byLink = new HashMap<>();
    private final Map<String, MemberProcess> members = new LinkedHashMap<>();
    private final Map<String, Map<String, String>> words = new HashMap<>();
    private final ScheduledExecutorService load = Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "load"));
    private final ScheduledExecutorService blows = Executors.newScheduledThreadPool(4, r -> daemon(r, "blows"));
    /** By member: faults that are over once it is ready again. */
    private final Map<String, List<Long>> open = Collections.synchronizedMap(new HashMap<>());

    private final Set<String> struck = Collections.synchronizedSet(new LinkedHashSet<>());
    private final List<IOException> failed = Collections.synchronizedList(new ArrayList<>());
    private long faultIds;
    private long numbers;
    private long proposals;
    private volatile boolean over;

    private MembersRunner(MembersPlan plan, long seed, Path folder) throws IOException {
        this.plan = plan;
        this.random = new SplittableRandom(seed * 31 + 7);
        this.folder = folder;
        this.relays = new Relays(group.next(), Clock.system(), seed);
        Disks.wipe(folder);
        Map<String, String> listens = new LinkedHashMap<>();
        for (String m : plan.members()) {
            listens.put(m, "127.0.0.1:" + freePort(listens.values()));
        }
        for (String m : plan.members()) {
            Map<String, String> w = new HashMap<>();
            w.put(
                    "java",
                    Path.of(System.getProperty("java.home"), "bin", "java").toString());
            w.put("classes", classes());
            w.put("name", m);
            w.put("zone", zone(m));
            w.put("listen", listens.get(m));
            w.put("peers", peers(m, listens));
            w.put("disk", folder.resolve(m + ".disk").toString());
            words.put(m, w);
            members.put(m, member(m, w));
        }
    }

    private MemberProcess member(String name, Map<String, String> w) {
        List<String> command = new ArrayList<>();
        for (String part : plan.command()) {
            String whole = part;
            for (Map.Entry<String, String> e : w.entrySet()) {
                whole = whole.replace("{" + e.getKey() + "}", e.getValue());
            }
            command.add(whole);
        }
        return new MemberProcess(
                name,
                command,
                Path.of(w.get("disk")),
                folder.resolve(name + ".log"),
                journal,
                this::readied,
                this::refused);
    }

    private static Thread daemon(Runnable r, String name) {
        Thread t = new Thread(r, name);
        t.setDaemon(true);
        return t;
    }

    /** The class path of this process, which has all that a member needs. */
    private static String classes() {
        StringBuilder all = new StringBuilder();
        for (String p : System.getProperty("java.class.path").split(File.pathSeparator)) {
            all.append(all.length() == 0 ? "" : File.pathSeparator)
                    .append(Path.of(p).toAbsolutePath());
        }
        return all.toString();
    }

    private String zone(String m) {
        return plan.zones().get(Integer.parseInt(m.substring(1)) % plan.zones().size());
    }

    /** Outside the ports that the kernel gives to connections: a member that is away for a while finds its own free. */
    private static int freePort(java.util.Collection<String> taken) throws IOException {
        SplittableRandom any = new SplittableRandom();
        for (int i = 0; i < TRIES; i++) {
            int port = FIRST_PORT + any.nextInt(PORTS);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (!taken.contains("127.0.0.1:" + port)) {
                    return s.getLocalPort();
                }
            } catch (java.net.BindException e) {
                // Taken: the next one.
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " on");
    }

    private String peers(String m, Map<String, String> listens) {
        List<String> all = new ArrayList<>();
        listens.forEach((other, listen) -> {
            if (!other.equals(m)) {
                all.add(other + "=" + relays.through(m, other, listen) + "/" + zone(other));
                byLink.put(m + ">" + other, relays.of(m + ">" + other));
            }
        });
        return String.join(",", all);
    }

    /**
     * Plays it once.
     *
     * @param faults what goes wrong; null for the script with what the seed draws
     */
    public static Outcome play(MembersPlan plan, long seed, List<Fault> faults, Path folder)
            throws IOException, InterruptedException {
        List<Fault> played = faults != null ? faults : plan.faults(seed);
        try (MembersRunner r = new MembersRunner(plan, seed, folder)) {
            return r.play(played);
        }
    }

    private Outcome play(List<Fault> faults) throws IOException, InterruptedException {
        for (MemberProcess m : members.values()) {
            m.start();
        }
        await(READY_MS, () -> members.values().stream().allMatch(MemberProcess::ready));
        if (!members.values().stream().allMatch(MemberProcess::ready)) {
            throw new IOException("not every member was ready after " + READY_MS / 1000 + " s: see " + folder);
        }
        journal.begin();
        members.values().forEach(this::begun);
        double longest = plan.load().lengthMs();
        for (Fault f : faults) {
            schedule(f);
            longest = Math.max(longest, f.atMs() + f.forMs());
        }
        long before = bytes();
        startLoad();
        Thread.sleep((long) plan.load().lengthMs());
        over = true;
        final double rate = (bytes() - before) * 1000.0 / plan.load().lengthMs();
        Thread.sleep((long) (longest - plan.load().lengthMs()));
        await(READY_MS, () -> struck.isEmpty());
        Thread.sleep((long) plan.settleMs());
        askAll();
        List<Entry> log = journal.lines();
        if (!failed.isEmpty()) {
            throw failed.get(0);
        }
        Map<String, Promise.Finding> findings = new LinkedHashMap<>();
        plan.promises().forEach((name, p) -> findings.put(name, p.check(log)));
        return new Outcome(findings, faults, log, rate);
    }

    /** What a member is told each time that it has begun. */
    private void begun(MemberProcess m) {
        if (plan.load().proposals() > 0) {
            m.tell("watch settings");
        }
        plan.load().lines().forEach(m::tell);
    }

    private long bytes() {
        Relay.Counts c = relays.counts();
        return c.bytesThere() + c.bytesBack();
    }

    private static void await(double mostMs, BooleanSupplier until) throws InterruptedException {
        double end = Journal.now() + mostMs;
        while (!until.getAsBoolean() && Journal.now() < end) {
            Thread.sleep(10);
        }
    }

    private void startLoad() {
        for (MemberProcess m : members.values()) {
            every(plan.load().writes(), () -> write(m));
            every(plan.load().adds(), () -> add(m));
            if (!plan.load().role().isEmpty()) {
                every(1000 / ASKED_EVERY_MS, () -> m.tell("hold " + plan.load().role() + " " + (int) HELD_FOR_MS));
            }
        }
        every(plan.load().proposals(), () -> {
            String content = "c" + ++proposals;
            any().tell("propose settings " + content);
        });
    }

    private void every(double perSecond, Runnable task) {
        if (perSecond > 0) {
            long ns = (long) (1e9 / perSecond);
            load.scheduleAtFixedRate(
                    () -> {
                        if (!over) {
                            task.run();
                        }
                    },
                    random.nextLong(ns),
                    ns,
                    TimeUnit.NANOSECONDS);
        }
    }

    private MemberProcess any() {
        return List.copyOf(members.values()).get(random.nextInt(members.size()));
    }

    private void write(MemberProcess m) {
        String key = "k" + random.nextInt(plan.load().keys());
        boolean gone = random.nextInt(REMOVES) == 0;
        long n = ++numbers;
        // Before it is told: what it may have taken is known even if it never says so.
        if (m.ready() && !m.stalled()) {
            journal.lab(
                    "tries",
                    Json.object()
                            .add("member", m.name())
                            .add("key", key)
                            .add("n", n)
                            .add("gone", gone));
            m.tell((gone ? "remove " : "put ") + key + " " + n);
        }
    }

    private void add(MemberProcess m) {
        String key = "u" + random.nextInt(plan.load().sums());
        int by = 1 + random.nextInt(9);
        if (m.ready() && !m.stalled()) {
            journal.lab(
                    "tries_add",
                    Json.object().add("member", m.name()).add("key", key).add("by", by));
            m.tell("add " + key + " " + by);
        }
    }

    /** Each one's word on what it holds, on all that it was asked of. */
    private void askAll() throws InterruptedException {
        StringBuilder sums = new StringBuilder();
        for (int i = 0; i < plan.load().sums(); i++) {
            sums.append(" u").append(i);
        }
        members.values().forEach(m -> m.tell("final" + sums));
        await(
                FINAL_MS,
                () -> journal.count("final")
                        >= members.values().stream()
                                .filter(MemberProcess::ready)
                                .count());
    }

    private void schedule(Fault f) {
        blows.schedule(
                () -> {
                    if (over && f.blow() != null) {
                        return;
                    }
                    if (f.link() != null) {
                        strikeLinks(f);
                        return;
                    }
                    for (MemberProcess m : members.values()) {
                        if (f.strikes(m.name()) && m.ready() && struck.add(m.name())) {
                            strike(f, m);
                        }
                    }
                },
                (long) (f.atMs() * 1000),
                TimeUnit.MICROSECONDS);
    }

    private void later(Fault f, Task task) {
        blows.schedule(() -> run(task), (long) (f.forMs() * 1000), TimeUnit.MICROSECONDS);
    }

    private interface Task {
        void run() throws IOException;
    }

    private void run(Task task) {
        try {
            task.run();
        } catch (IOException | UncheckedIOException e) {
            failed.add(e instanceof IOException io ? io : new IOException(e));
        }
    }

    private synchronized long begins(String kind, JsonObject of) {
        journal.lab("fault", of.add("id", ++faultIds).add("kind", kind));
        return faultIds;
    }

    private void ends(long id) {
        journal.lab("over", Json.object().add("id", id));
    }

    /**
     * A way from one member to another fails the same whichever of the two made the connection; what only strikes
     * connections that one of them makes (refused ones, half open ones) strikes those alone.
     */
    private void strikeLinks(Fault f) {
        Set<Wrong> wrong = new LinkedHashSet<>();
        List<Long> ids = new ArrayList<>();
        for (String link : plan.links()) {
            String from = link.substring(0, link.indexOf('>'));
            String to = link.substring(link.indexOf('>') + 1);
            if (f.strikes(from, to)) {
                ids.add(begins(
                        f.link().kind().name().toLowerCase(java.util.Locale.ROOT),
                        Json.object().add("from", from).add("to", to)));
                wrong.add(new Wrong(byLink.get(link), f.link()));
                LinkFault.Kind other = switch (f.link().kind()) {
                    case NO_WAY_THERE -> LinkFault.Kind.NO_WAY_BACK;
                    case NO_WAY_BACK -> LinkFault.Kind.NO_WAY_THERE;
                    case BLACK_HOLE, RESET, DELAY, NARROW -> f.link().kind();
                    default -> null;
                };
                if (other != null) {
                    wrong.add(new Wrong(
                            byLink.get(to + ">" + from),
                            new LinkFault(other, f.link().amount(), f.link().jitterMs())));
                }
            }
        }
        wrong.forEach(w -> w.relay().begin(w.fault()));
        later(f, () -> {
            wrong.forEach(w -> w.relay().end(w.fault()));
            ids.forEach(this::ends);
        });
    }

    private void strike(Fault f, MemberProcess m) {
        run(() -> {
            long id = begins(
                    f.blow() == Fault.Blow.AGED || f.blow() == Fault.Blow.TWIN
                            ? "stop"
                            : f.blow().name().toLowerCase(java.util.Locale.ROOT),
                    Json.object().add("member", m.name()));
            switch (f.blow()) {
                case STALL -> {
                    m.stall(true);
                    later(f, () -> {
                        m.stall(false);
                        struck.remove(m.name());
                        ends(id);
                    });
                }
                case AGED -> aged(f, m, id);
                case TWIN -> twin(f, m, id);
                case SWAPPED -> swapped(f, m, id);
                case STOP -> {
                    m.stop();
                    later(f, () -> again(m, id));
                }
                default -> {
                    m.kill();
                    String file = switch (f.blow()) {
                        case WIPE -> {
                            Disks.wipe(m.disk());
                            yield "all";
                        }
                        case TORN -> Disks.tear(m.disk(), random.split());
                        case FLIPPED -> Disks.flip(m.disk(), random.split());
                        default -> "";
                    };
                    if (!file.isEmpty()) {
                        journal.lab(
                                "disk", Json.object().add("member", m.name()).add("file", file));
                    }
                    later(f, () -> again(m, id));
                }
            }
        });
    }

    /** Started again; its trouble is over once it is ready. */
    private void again(MemberProcess m, long... ids) throws IOException {
        List<Long> all = new ArrayList<>();
        for (long id : ids) {
            all.add(id);
        }
        open.put(m.name(), all);
        m.start();
    }

    private void readied(String name) {
        List<Long> ids = open.remove(name);
        if (ids != null) {
            ids.forEach(this::ends);
            struck.remove(name);
            begun(members.get(name));
        }
    }

    /** It does not start with the disk that it was given: it gets an empty one, as staff would give it. */
    private void refused(String name) {
        if (!over || !struck.isEmpty()) {
            blows.execute(() -> run(() -> {
                MemberProcess m = members.get(name);
                if (open.containsKey(name) && !m.alive()) {
                    journal.lab("refused", Json.object().add("member", name));
                    Disks.wipe(m.disk());
                    m.start();
                }
            }));
        }
    }

    private void aged(Fault f, MemberProcess m, long id) throws IOException {
        Path copy = folder.resolve(m.name() + ".copy");
        m.stop();
        Disks.copy(m.disk(), copy);
        again(m, id);
        later(
                f,
                () -> alone(m, () -> {
                    long second = begins("aged", Json.object().add("member", m.name()));
                    m.kill();
                    Disks.copy(copy, m.disk());
                    again(m, second);
                }));
    }

    /** As soon as nothing else strikes this member: two blows at its disk at once would be neither. */
    private void alone(MemberProcess m, Task task) throws IOException {
        if (struck.add(m.name())) {
            task.run();
        } else {
            blows.schedule(() -> run(() -> alone(m, task)), AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void swapped(Fault f, MemberProcess m, long id) throws IOException {
        List<MemberProcess> others =
                members.values().stream().filter(o -> o != m && o.ready()).toList();
        MemberProcess other = others.isEmpty() ? m : others.get(random.split().nextInt(others.size()));
        m.kill();
        if (other == m || !struck.add(other.name())) {
            later(f, () -> again(m, id));
            return;
        }
        long second = begins("kill", Json.object().add("member", other.name()));
        other.kill();
        Disks.copy(other.disk(), m.disk());
        later(f, () -> {
            again(m, id);
            again(other, second);
        });
    }

    /** The twin has the name and a copy of the disk; then it ends, and the other starts again with an empty disk. */
    private void twin(Fault f, MemberProcess m, long id) throws IOException {
        m.stop();
        Map<String, String> w = new HashMap<>(words.get(m.name()));
        Path disk = folder.resolve(m.name() + ".twin");
        w.put("disk", disk.toString());
        w.put("listen", "127.0.0.1:" + freePort(List.of()));
        Disks.copy(m.disk(), disk);
        again(m, id);
        long second = begins("twin", Json.object().add("member", m.name()));
        MemberProcess twin = new MemberProcess(
                m.name() + ".twin",
                member(m.name(), w).command(),
                disk,
                folder.resolve(m.name() + ".twin.log"),
                journal,
                n -> {},
                n -> {});
        twin.start();
        later(f, () -> {
            twin.kill();
            alone(m, () -> {
                m.kill();
                Disks.wipe(m.disk());
                again(m, second);
            });
        });
    }

    @Override
    public void close() {
        over = true;
        load.shutdownNow();
        blows.shutdownNow();
        members.values().forEach(MemberProcess::kill);
        relays.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Writes a log's lines into a file. */
    public static void write(List<Entry> log, Path file) throws IOException {
        Files.write(file, log.stream().map(Entry::line).toList());
    }
}

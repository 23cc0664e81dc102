package brackenbridge.lab.scale;

import brackenbridge.lab.scale.ScaleFigures.Change;
import brackenbridge.lab.scale.ScaleFigures.Unreachable;
import brackenbridge.lab.scale.ScaleWorld.Hollow;
import brackenbridge.lab.scale.ScaleWorld.Machine;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** Plays a scale test: starts all, measures at rest, makes changes with faults between, and collects the results. */
public final class ScaleRunner implements AutoCloseable {
    private static final double READY_MS = 60_000;
    private static final double ALL_STARTED_MS = 60_000;
    private static final double DUMP_MS = 30_000;
    private static final long POLL_MS = 50;
    private static final long STATUS_MS = 250;
    private static final int PROPOSERS_PER_MACHINE = 3;
    private static final long AGAIN_MS = 150;
    private static final double GIVE_UP_MS = 60_000;

    private final ScalePlan plan;
    private final long seed;
    private final SplittableRandom random;
    private final ScaleWorld world;
    private final AdminClient admin = new AdminClient();
    private final ScaleFigures figures;
    private final ExecutorService proposers;
    private final ScheduledExecutorService script = Executors.newScheduledThreadPool(4);
    private final Map<String, JsonObject> statuses = new ConcurrentHashMap<>();
    private final Set<String> changing = ConcurrentHashMap.newKeySet();
    private final List<Change> changes = Collections.synchronizedList(new ArrayList<>());
    private final List<String> failures = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger again = new AtomicInteger();
    private final AtomicInteger dumped = new AtomicInteger();
    private final AtomicInteger ready = new AtomicInteger();
    private long numbers;

    private ScaleRunner(ScalePlan plan, long seed, Path folder) throws IOException {
        this.plan = plan;
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.figures = new ScaleFigures(plan, plan.nodes() + 1, seed);
        this.world = new ScaleWorld(plan, seed, folder, this::heard);
        this.proposers = Executors.newFixedThreadPool(PROPOSERS_PER_MACHINE * plan.machines());
    }

    /** Plays it once; files and logs go to the folder. */
    public static ScaleOutcome play(ScalePlan plan, long seed, Path folder) throws IOException, InterruptedException {
        try (ScaleRunner runner = new ScaleRunner(plan, seed, folder)) {
            return runner.play();
        }
    }

    static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private ScaleOutcome play() throws IOException, InterruptedException {
        startMachines();
        proposeAll();
        double startedMs = startNodes();
        Sample before = sample();
        Thread.sleep((long) plan.restMs());
        Sample rested = sample();
        schedule();
        makeChanges();
        Sample after = sample();
        settle();
        Sample end = sample();
        collect();
        if (!failures.isEmpty()) {
            throw new IOException("the play failed: " + failures);
        }
        return new ScaleOutcome(
                plan,
                seed,
                startedMs,
                figures.result(List.copyOf(changes), nowMs()),
                cost(before, rested),
                cost(rested, after),
                end.connections(),
                end.rejected(),
                again.get(),
                plan.faults().stream().map(ScaleFault::text).toList());
    }

    private void startMachines() throws IOException, InterruptedException {
        for (Machine machine : world.machines()) {
            machine.process().start();
        }
        for (Machine machine : world.machines()) {
            await(READY_MS, "control machine " + machine.name() + " follows no leader", () -> leads(machine));
        }
    }

    private boolean leads(Machine machine) {
        try {
            return admin.status(machine.page())
                    .filter(status -> status.contains(" left"))
                    .isPresent();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static void await(double mostMs, String otherwise, BooleanSupplier until)
            throws IOException, InterruptedException {
        double end = nowMs() + mostMs;
        while (!until.getAsBoolean()) {
            if (nowMs() > end) {
                throw new IOException(otherwise + " after " + mostMs / 1000 + " s");
            }
            Thread.sleep(POLL_MS);
        }
    }

    private void proposeAll() throws InterruptedException, IOException {
        List<Future<?>> all = new ArrayList<>();
        for (String resource : plan.resources()) {
            all.add(proposers.submit(() -> propose(resource, 0)));
        }
        for (Future<?> one : all) {
            try {
                one.get();
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IOException("the first contents were not taken", e);
            }
        }
    }

    /** Proposes until it is in force; returns when. */
    private double propose(String resource, long number) throws InterruptedException, IOException {
        String content = HollowNodes.CHANGE + number + " "
                + "x".repeat(Math.max(0, plan.changes().bytes() - 20));
        double giveUp = nowMs() + GIVE_UP_MS;
        int at = Math.floorMod(
                resource.hashCode() + (int) number, world.machines().size());
        while (nowMs() < giveUp) {
            Machine machine = world.machines().get(at % world.machines().size());
            if (admin.propose(machine.page(), resource, content)) {
                return nowMs();
            }
            again.incrementAndGet();
            at++;
            Thread.sleep(AGAIN_MS);
        }
        failures.add(resource + " change " + number);
        throw new IOException(resource + ": change " + number + " was never decided");
    }

    private double startNodes() throws IOException, InterruptedException {
        for (Hollow hollow : world.hollows()) {
            hollow.process().start();
        }
        await(
                READY_MS,
                "not every process of nodes is ready",
                () -> ready.get() == world.hollows().size());
        double began = nowMs();
        tellAll("start " + plan.startMs());
        int nodes = plan.nodes() + 1;
        await(ALL_STARTED_MS, "not every node has everything", () -> askStatus("complete") == nodes);
        return nowMs() - began;
    }

    private void tellAll(String line) throws IOException {
        for (Hollow hollow : world.hollows()) {
            hollow.process().tell(line);
        }
    }

    /** Asks all processes of nodes and adds up one of their figures. */
    private long askStatus(String figure) {
        statuses.clear();
        try {
            tellAll("status");
            double end = nowMs() + STATUS_MS * 20;
            while (statuses.size() < world.hollows().size() && nowMs() < end) {
                Thread.sleep(POLL_MS);
            }
        } catch (IOException e) {
            return -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
        return statuses.values().stream()
                .mapToLong(status -> status.getLong(figure, 0))
                .sum();
    }

    /** A line of a process with nodes. */
    private void heard(String line) {
        if (line.startsWith("applied ")) {
            String[] words = line.split(" ");
            synchronized (figures) {
                figures.applied(
                        Integer.parseInt(words[1]), words[2], Long.parseLong(words[3]), Double.parseDouble(words[4]));
            }
            return;
        }
        JsonObject said = Json.parse(line).asObject();
        switch (said.getString("what", "")) {
            case "ready" -> ready.incrementAndGet();
            case "status" -> statuses.put(said.getString("process", ""), said);
            case "dumped" -> dumped.incrementAndGet();
            case "restarted" -> {
                double at = said.getDouble("at", 0);
                unreachable(said.getInt("node", -1), at, at);
            }
            default -> failures.add("unexpected line of a process with nodes: " + line);
        }
    }

    private void unreachable(int node, double fromMs, double untilMs) {
        synchronized (figures) {
            figures.unreachable(new Unreachable(node, fromMs, untilMs));
        }
    }

    private void makeChanges() throws InterruptedException {
        double end = nowMs() + plan.changes().lengthMs();
        double gapMs = 1000 / plan.changes().perSecond();
        List<String> resources = plan.resources();
        while (nowMs() < end) {
            boolean ofSettings = random.nextDouble() < plan.changes().settingsPart();
            String resource = ofSettings
                    ? resources.get(random.nextInt(plan.tiers()))
                    : resources.get(plan.tiers() + random.nextInt(plan.services()));
            if (changing.add(resource)) {
                change(resource, ++numbers);
            }
            Thread.sleep((long) (gapMs * (0.5 + random.nextDouble())));
        }
    }

    private void change(String resource, long number) {
        double proposedMs = nowMs();
        proposers.submit(() -> {
            double inForceMs = propose(resource, number);
            changes.add(new Change(number, resource, proposedMs, inForceMs));
            changing.remove(resource);
            return null;
        });
    }

    private void schedule() {
        for (ScaleFault fault : plan.faults()) {
            script.schedule(() -> strike(fault), (long) fault.atMs(), TimeUnit.MILLISECONDS);
        }
    }

    private void strike(ScaleFault fault) {
        try {
            switch (fault.kind()) {
                case KILL -> killMachines(fault);
                case CUT -> cut(fault, true);
                case ONE_WAY -> cut(fault, false);
                case SLOW -> pause(fault);
                default -> restart(fault);
            }
        } catch (IOException e) {
            failures.add(fault.text() + ": " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void later(ScaleFault fault, Runnable end) {
        script.schedule(end, (long) fault.forMs(), TimeUnit.MILLISECONDS);
    }

    private SplittableRandom drawn(ScaleFault fault) {
        return new SplittableRandom(seed * 131 + fault.text().hashCode());
    }

    private void killMachines(ScaleFault fault) throws InterruptedException {
        List<Machine> left = new ArrayList<>(world.machines().stream()
                .filter(machine -> fault.region().isEmpty() || machine.region().equals(fault.region()))
                .toList());
        SplittableRandom draw = drawn(fault);
        for (int i = 0; i < fault.amount() && !left.isEmpty(); i++) {
            Machine machine = left.remove(draw.nextInt(left.size()));
            machine.process().kill();
            later(fault, () -> {
                try {
                    machine.process().start();
                } catch (IOException e) {
                    failures.add(machine.name() + " did not start again: " + e.getMessage());
                }
            });
        }
    }

    private void cut(ScaleFault fault, boolean bothWays) {
        List<String> names = plan.regions().stream().map(ScalePlan.Region::name).toList();
        String region = fault.region().isEmpty() ? names.get(drawn(fault).nextInt(names.size())) : fault.region();
        double fromMs = nowMs();
        if (bothWays) {
            world.cut(region, true);
        } else {
            world.deafen(region, true);
        }
        later(fault, () -> {
            if (bothWays) {
                world.cut(region, false);
            } else {
                world.deafen(region, false);
            }
            double untilMs = nowMs();
            world.hollows().stream()
                    .filter(hollow -> hollow.region().equals(region))
                    .forEach(hollow -> {
                        for (int node = hollow.first(); node < hollow.first() + hollow.count(); node++) {
                            unreachable(node, fromMs, untilMs);
                        }
                    });
        });
    }

    private void pause(ScaleFault fault) throws IOException {
        int count = (int) Math.max(1, fault.amount() * plan.nodes());
        int first = drawn(fault).nextInt(Math.max(1, plan.nodes() - count + 1));
        double fromMs = nowMs();
        tellAll("pause " + first + " " + count);
        later(fault, () -> {
            try {
                tellAll("resume " + first + " " + count);
            } catch (IOException e) {
                failures.add(fault.text() + ": " + e.getMessage());
            }
            double untilMs = nowMs();
            for (int node = first; node < first + count; node++) {
                unreachable(node, fromMs, untilMs);
            }
        });
    }

    private void restart(ScaleFault fault) throws IOException {
        int count = (int) Math.max(1, fault.amount() * plan.nodes());
        int first = drawn(fault).nextInt(Math.max(1, plan.nodes() - count + 1));
        tellAll("restart " + first + " " + count + " " + fault.forMs());
    }

    /** Lets the last change come into force, within its bound; what is missing then is missing. */
    private void settle() throws InterruptedException, IOException {
        await(GIVE_UP_MS + READY_MS, "changes are under way still", () -> changing.isEmpty() || !failures.isEmpty());
        Thread.sleep((long) plan.bounds().inForceMs());
    }

    private void collect() throws IOException, InterruptedException {
        tellAll("dump");
        await(
                DUMP_MS,
                "not every process of nodes has told",
                () -> dumped.get() == world.hollows().size());
    }

    /** Costs by now. */
    private record Sample(
            double atMs,
            Map<String, ProcessUsage> usage,
            Map<String, JsonObject> statuses,
            Map<String, Double> toNodes,
            Map<String, Double> mesh,
            Map<String, Integer> nodes) {
        long connections() {
            return statuses.values().stream()
                    .mapToLong(status -> status.getLong("connections", 0))
                    .sum();
        }

        long rejected() {
            return statuses.values().stream()
                    .mapToLong(status -> status.getLong("rejected", 0))
                    .sum();
        }

        double bytes() {
            return statuses.values().stream()
                    .mapToLong(status -> status.getLong("bytes", 0))
                    .sum();
        }
    }

    private Sample sample() throws InterruptedException {
        askStatus("nodes");
        Map<String, ProcessUsage> usage = new HashMap<>();
        Map<String, Double> toNodes = new HashMap<>();
        Map<String, Double> mesh = new HashMap<>();
        Map<String, Integer> nodes = new HashMap<>();
        double at = nowMs();
        world.hollows()
                .forEach(hollow ->
                        usage.put(hollow.process().name(), hollow.process().usage()));
        for (Machine machine : world.machines()) {
            usage.put(machine.name(), machine.process().usage());
            toNodes.put(machine.name(), admin.metric(machine.page(), "control_bytes_out_total"));
            mesh.put(machine.name(), admin.metric(machine.page(), "fleet_links_bytes_out"));
            nodes.put(machine.name(), (int) admin.metric(machine.page(), "control_nodes"));
        }
        return new Sample(at, usage, Map.copyOf(statuses), toNodes, mesh, nodes);
    }

    private ScaleOutcome.Cost cost(Sample from, Sample to) {
        double seconds = (to.atMs() - from.atMs()) / 1000;
        Hollow alone = world.hollows().get(world.hollows().size() - 1);
        double shared = 0;
        double most = 0;
        for (Hollow hollow : world.hollows()) {
            String name = hollow.process().name();
            if (hollow != alone) {
                shared += corePercent(from, to, name, seconds);
            }
            JsonObject before = from.statuses().get(name);
            JsonObject after = to.statuses().get(name);
            if (before != null && after != null) {
                most = Math.max(most, (after.getLong("most_bytes", 0) - before.getLong("most_bytes", 0)) / seconds);
            }
        }
        ProcessUsage single = to.usage().get(alone.process().name());
        List<ScaleOutcome.MachineCost> machines = world.machines().stream()
                .map(machine -> {
                    String name = machine.name();
                    ProcessUsage usage = to.usage().get(name);
                    boolean restarted = usage.pid() != from.usage().get(name).pid();
                    return new ScaleOutcome.MachineCost(
                            name,
                            machine.region(),
                            to.nodes().get(name),
                            restarted ? Double.NaN : corePercent(from, to, name, seconds),
                            usage.memoryMb(),
                            usage.threads(),
                            usage.descriptors(),
                            (to.toNodes().get(name) - from.toNodes().get(name)) / seconds / 1000,
                            (to.mesh().get(name) - from.mesh().get(name)) / seconds / 1000);
                })
                .toList();
        return new ScaleOutcome.Cost(
                shared / plan.nodes(),
                corePercent(from, to, alone.process().name(), seconds),
                single.memoryMb(),
                single.threads(),
                (to.bytes() - from.bytes()) / seconds / (plan.nodes() + 1) / 1000,
                most / 1000,
                machines);
    }

    private static double corePercent(Sample from, Sample to, String process, double seconds) {
        return (to.usage().get(process).cpuMs() - from.usage().get(process).cpuMs()) / 10 / seconds;
    }

    @Override
    public void close() {
        script.shutdownNow();
        proposers.shutdownNow();
        world.close();
    }
}

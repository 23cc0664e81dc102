package brackenbridge.lab.soak;

import brackenbridge.clock.Clock;
import brackenbridge.lab.live.CallerLookup;
import brackenbridge.lab.live.LiveRunner;
import brackenbridge.lab.live.LiveWorld;
import brackenbridge.lab.live.LoopScheduler;
import brackenbridge.lab.live.Observation;
import brackenbridge.lab.random.Streams;
import brackenbridge.lab.rules.RuleChecker;
import brackenbridge.lab.rules.RuleChecker.Rule;
import brackenbridge.lab.trouble.Faults;
import brackenbridge.mgmt.ManagementCall;
import com.eclipsesource.json.JsonObject;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Plays a soak's plan with a real node: its requests, then a check of counts, then a last stop under load. */
public final class SoakRunner implements AutoCloseable {
    private static final String NODE = "n0-0";
    private static final int MEMORY_MB = 208;
    private static final double KIB_PER_MB = 1024;
    private static final double MS_PER_S = 1000;
    private static final long READY_LIMIT_MS = 30_000;
    private static final long QUIET_LIMIT_MS = 8000;
    /** The node's counts are so old at the most. */
    private static final long COUNTS_AGE_MS = 700;

    private static final long POLL_MS = 10;
    /** A delay by the machine that the log mentions. */
    private static final double NOTED_DELAY_MS = 100;

    private static final long LOAD_BEFORE_LAST_STOP_MS = 1000;
    /** For a process that a rule found alive after its kill. */
    private static final long AFTER_KILL_MS = 2500;

    private final SoakPlan plan;
    private final InjectedFaults faults;
    private final Clock clock = Clock.system();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LoopScheduler scheduler = new LoopScheduler(loop, clock);
    private final ResourceWatch resources = new ResourceWatch();
    private final ClientTally tally = new ClientTally();
    private final List<SoakClient> clients = new ArrayList<>();
    private final List<LongBodyClient> longBodyClients = new ArrayList<>();
    private final SoakLog log;
    private final LiveWorld world;
    private final RuleChecker rules;
    private final SoakNode node;
    private final ClientSetting clientSetting;
    private final IdleCrowd crowd;
    private Map<String, Long> servedAtReady = Map.of();
    private long leftAtReady;
    private long attemptsAtReady;
    private boolean countsChecked;

    private SoakRunner(SoakPlan plan, Set<SoakFault> chosenFaults, Path home, String command, Path folder)
            throws IOException {
        this.plan = plan;
        this.faults = new InjectedFaults(chosenFaults);
        Files.createDirectories(folder);
        log = new SoakLog(clock, folder.resolve("soak.log"));
        InetSocketAddress address = LiveRunner.freePort();
        world = new LiveWorld(
                plan.world(),
                plan.seed(),
                loop,
                clock,
                new Observation(SoakClient.ANSWER_SLACK_MS, new Callers(), faults));
        rules = world.ledger();
        JsonObject config = world.nodeConfig(NODE, 0, address.getHostString() + ":" + address.getPort());
        node = new SoakNode(
                new SoakNode.Setting(NODE, address, command, home, folder, plan, faults),
                loop,
                scheduler,
                rules,
                log,
                config,
                MEMORY_MB);
        clientSetting = new ClientSetting(
                NODE,
                address,
                plan.world(),
                plan.crowd() > 0,
                loop,
                clock,
                scheduler,
                rules,
                world.registry(),
                node,
                tally,
                faults,
                log);
        crowd = new IdleCrowd(clientSetting);
        UniformRandomProvider seeds = new Streams(plan.seed()).take();
        for (int i = 0; i < plan.clients().size(); i++) {
            clients.add(new SoakClient(clientSetting, plan.clients().get(i), new Streams(seeds.nextLong()).take()));
        }
        for (int i = 0; i < plan.longBodyClients(); i++) {
            longBodyClients.add(new LongBodyClient(clientSetting, new Streams(seeds.nextLong()).take()));
        }
    }

    /**
     * Plays once.
     *
     * @param faults what is done wrong on purpose; none in an ordinary play
     * @param home the root of the repository, where the command runs
     * @param command what the deployment starts a node with
     * @param folder for logs
     */
    public static SoakOutcome play(SoakPlan plan, Set<SoakFault> faults, Path home, String command, Path folder)
            throws IOException, InterruptedException {
        try (SoakRunner runner = new SoakRunner(plan, faults, home, command, folder)) {
            return runner.play();
        }
    }

    private final class Callers implements CallerLookup {
        @Override
        public List<String> candidates(String name) {
            return node.running().stream().map(NodeInstance::name).toList();
        }

        @Override
        public String caller(String name, Channel accepted) {
            return node.caller(accepted);
        }
    }

    private SoakOutcome play() throws IOException, InterruptedException {
        Signals.load();
        resources.start();
        onLoop(() -> {
            node.start();
            return null;
        });
        await(READY_LIMIT_MS, () -> node.serving() != null);
        if (!onLoop(() -> node.serving() != null)) {
            throw new IOException("no process was ready after " + READY_LIMIT_MS / MS_PER_S + " s; see its log");
        }
        onLoop(this::begin);
        TimeUnit.MILLISECONDS.sleep((long) (plan.world().seconds() * MS_PER_S));
        onLoop(() -> {
            clients.forEach(SoakClient::rest);
            longBodyClients.forEach(LongBodyClient::rest);
            return null;
        });
        await(READY_LIMIT_MS, () -> node.serving() != null && node.running().size() == 1);
        await(QUIET_LIMIT_MS, this::isQuiet);
        TimeUnit.MILLISECONDS.sleep(COUNTS_AGE_MS);
        checkCounts();
        lastStop();
        return onLoop(this::outcome);
    }

    private Void begin() {
        double nowMs = scheduler.nowMs();
        log.add("requests begin; " + plan.kind() + ", killed after " + plan.killAfterMs() + " ms");
        new Faults(world).schedule(plan.world().troubles(), nowMs);
        plan.world()
                .troubles()
                .forEach(trouble -> scheduler.at(
                        nowMs + trouble.atMs(),
                        () -> log.add("trouble " + trouble.kind() + " for " + trouble.forMs() + " ms")));
        plan.steps().forEach(step -> scheduler.at(nowMs + step.atMs(), () -> node.act(step)));
        startClients();
        crowd.start(plan.crowd());
        watchProcesses();
        return null;
    }

    private void startClients() {
        clients.forEach(SoakClient::start);
        longBodyClients.forEach(LongBodyClient::start);
    }

    private boolean isQuiet() {
        return clients.stream().allMatch(SoakClient::isQuiet)
                && longBodyClients.stream().allMatch(LongBodyClient::isQuiet);
    }

    /** What each process holds, and what clients had seen when the newest one started alone. */
    private void watchProcesses() {
        resources.watch(node.running().stream()
                .map(instance -> instance.process().pid())
                .toList());
        double delayMs = resources.schedulingDelayMs();
        if (delayMs > NOTED_DELAY_MS && rules.machineDelayMs() <= NOTED_DELAY_MS) {
            log.add(String.format(Locale.ROOT, "the machine is crowded: processes waited %.0f ms for it", delayMs));
        }
        rules.machineDelay(delayMs);
        scheduler.at(scheduler.nowMs() + POLL_MS, this::watchProcesses);
    }

    private void checkCounts() throws IOException, InterruptedException {
        NodeInstance instance = onLoop(node::serving);
        if (instance == null || !onLoop(() -> node.starts() == 1)) {
            return;
        }
        String answer = ManagementCall.send(instance.management(), "INFO");
        String info = faults.has(SoakFault.WRONG_COUNTS) ? CountCheck.inflated(answer) : answer;
        onLoop(() -> {
            countsChecked = true;
            CountCheck.check(
                            info,
                            since(servedAtReady),
                            tally.clientsLeft() - leftAtReady,
                            rules.attempts() - attemptsAtReady)
                    .forEach(untrue -> rules.report(Rule.COUNTS, scheduler.nowMs(), untrue));
            return null;
        });
    }

    private Map<String, Long> since(Map<String, Long> before) {
        Map<String, Long> served = new HashMap<>(tally.servedByClass());
        before.forEach((className, count) -> served.merge(className, -count, Long::sum));
        return served;
    }

    /** SIGTERM while clients go on, on the connections that they have, until the kill. */
    private void lastStop() throws InterruptedException {
        onLoop(() -> {
            startClients();
            return null;
        });
        TimeUnit.MILLISECONDS.sleep(LOAD_BEFORE_LAST_STOP_MS);
        CountDownLatch ended = new CountDownLatch(1);
        boolean stopped = onLoop(() -> {
            node.finish();
            NodeInstance instance = node.serving();
            if (instance != null) {
                node.stop(instance, ended::countDown);
            }
            return instance != null;
        });
        if (stopped) {
            ended.await((long) plan.killAfterMs() + AFTER_KILL_MS, TimeUnit.MILLISECONDS);
        } else {
            onLoop(() -> {
                rules.report(Rule.EXIT, scheduler.nowMs(), "no process serves at the end of the play");
                return null;
            });
        }
        onLoop(() -> {
            crowd.end();
            clients.forEach(SoakClient::end);
            longBodyClients.forEach(LongBodyClient::end);
            return null;
        });
    }

    private SoakOutcome outcome() {
        double memoryMb = resources.peakResidentKib() / KIB_PER_MB;
        if (resources.peakDescriptors() > plan.descriptors()) {
            rules.report(
                    Rule.LIMITS,
                    scheduler.nowMs(),
                    resources.peakDescriptors() + " descriptors of " + plan.descriptors());
        }
        if (memoryMb > MEMORY_MB) {
            rules.report(
                    Rule.LIMITS,
                    scheduler.nowMs(),
                    String.format(Locale.ROOT, "%.1f MB of memory of %d", memoryMb, MEMORY_MB));
        }
        rules.breaches().forEach(breach -> log.add(breach.text()));
        return new SoakOutcome(
                plan,
                tally.requests(),
                tally.served(),
                tally.refused(),
                tally.failed(),
                tally.resent(),
                tally.untaken(),
                tally.connections(),
                node.signals(),
                node.starts(),
                node.kills(),
                resources.peakDescriptors(),
                memoryMb,
                countsChecked,
                brokenRules(),
                rules.breaches());
    }

    private Map<Rule, Long> brokenRules() {
        Map<Rule, Long> broken = new EnumMap<>(Rule.class);
        for (Rule rule : Rule.values()) {
            if (rules.broken(rule) > 0) {
                broken.put(rule, rules.broken(rule));
            }
        }
        return broken;
    }

    private <T> T onLoop(Callable<T> task) throws InterruptedException {
        try {
            return loop.submit(task).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private void await(long limitMs, BooleanSupplier condition) throws InterruptedException {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        while (System.nanoTime() < untilNs && !onLoop(condition::getAsBoolean)) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    @Override
    public void close() throws IOException {
        resources.close();
        loop.submit(() -> {
                    node.finish();
                    node.running().forEach(instance -> instance.process().destroyForcibly());
                })
                .syncUninterruptibly();
        world.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        log.close();
    }
}
